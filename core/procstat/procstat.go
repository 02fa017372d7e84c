// Package procstat reads the resource usage of processes from the proc file system, and limits their
// descriptors. It is for tests and measurement tools only and not part of the daemon.
package procstat

import (
	"fmt"
	"os"
	"os/exec"
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

// PeakMemory returns the largest resident memory that a process has had, in bytes.
func PeakMemory(pid int) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")), 10, 64)
			return kib << 10, err
		}
	}
	return 0, fmt.Errorf("process %d has no peak memory", pid)
}

// descriptorInterval is the time between two counts of WatchDescriptors.
const descriptorInterval = 20 * time.Millisecond

// WatchDescriptors counts the open descriptors of a process again and again until the returned function
// is called, which returns the largest number.
func WatchDescriptors(pid int) (stop func() int) {
	most, end, ended := 0, make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			if u, err := Read(pid); err == nil { // otherwise it has ended
				most = max(most, u.OpenDescriptors)
			}
			select {
			case <-time.After(descriptorInterval):
			case <-end:
				return
			}
		}
	}()
	return func() int {
		close(end)
		<-ended
		return most
	}
}

// Command returns a command whose process may have a number of descriptors, 0 for as many as this
// process.
func Command(maxDescriptors int, program string, args ...string) *exec.Cmd {
	if maxDescriptors > 0 {
		args = append([]string{"-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, maxDescriptors), program}, args...)
		program = "/bin/sh"
	}
	return exec.Command(program, args...)
}
