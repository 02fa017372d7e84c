// Package procstat reads the resource usage of a process from the proc file system. It is
// for measurement tools only and not part of the daemon.
package procstat

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// ticksPerSecond is the unit of CPU time in /proc.
const ticksPerSecond = 100

// Fields of a process's stat file, counted from the first one after the name.
const (
	fieldUser     = 11
	fieldSystem   = 12
	fieldResident = 21
)

// Usage is the resource usage of a process.
type Usage struct {
	// CPUTime is the user and system time since the process started.
	CPUTime time.Duration
	// ResidentBytes is the resident memory.
	ResidentBytes int64
	// OpenDescriptors is the number of open file descriptors.
	OpenDescriptors int
}

// Read returns the usage of a process; it fails once the process has ended.
func Read(pid int) (Usage, error) {
	folder := fmt.Sprintf("/proc/%d", pid)
	stat, err := os.ReadFile(folder + "/stat")
	if err != nil {
		return Usage{}, eris.Wrapf(err, "read usage of process %d", pid)
	}
	ticks, pages, err := parse(string(stat))
	if err != nil {
		return Usage{}, eris.Wrapf(err, "parse usage of process %d", pid)
	}
	open, err := os.ReadDir(folder + "/fd")
	if err != nil {
		return Usage{}, eris.Wrapf(err, "list descriptors of process %d", pid)
	}
	return Usage{
		CPUTime:         time.Duration(ticks) * time.Second / ticksPerSecond,
		ResidentBytes:   pages * int64(os.Getpagesize()),
		OpenDescriptors: len(open),
	}, nil
}

// parse reads a stat file. The process name may contain any characters, so that fields are
// counted from its closing parenthesis, the last one in the file.
func parse(stat string) (ticks, pages int64, err error) {
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(fields) <= fieldResident {
		return 0, 0, eris.Errorf("only %d fields", len(fields))
	}
	var values [3]int64
	for i, field := range []int{fieldUser, fieldSystem, fieldResident} {
		if values[i], err = strconv.ParseInt(fields[field], 10, 64); err != nil {
			return 0, 0, err
		}
	}
	return values[0] + values[1], values[2], nil
}
