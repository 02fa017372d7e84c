package settings

import (
	"fmt"
	"math"
	"runtime/debug"
	"syscall"
)

// Bounds of the machine's settings.
const (
	maxMemoryMB    = 1 << 24
	maxDescriptors = 1 << 24
	// minMemoryMB and minDescriptors are less than what a process needs without any client.
	minMemoryMB    = 16
	minDescriptors = 64
	// unknownMemoryMB and unknownDescriptors are used where the system does not tell.
	unknownMemoryMB    = 256
	unknownDescriptors = 1024
)

// parseMachine parses what the machine gives the process, or asks the system for it.
func (s *Settings) parseMachine(p *tuningParser) {
	memory := p.atLeast("machine.memory_mb", s.Machine.MemoryMB, systemMemoryMB(), minMemoryMB, maxMemoryMB)
	s.tuning.MemoryBytes = int64(memory * (1 << 20))
	s.tuning.MaxDescriptors = int(p.atLeast("machine.max_descriptors", s.Machine.MaxDescriptors, systemDescriptors(), minDescriptors, maxDescriptors))
}

// atLeast parses a number within bounds.
func (p *tuningParser) atLeast(key string, value Text, byDefault, lowest, highest float64) float64 {
	v := p.number(key, value, byDefault, highest)
	if v < lowest {
		p.warn(key, value, fmt.Sprintf("is below %g", lowest), fmt.Sprintf("%g", lowest))
		v = lowest
	}
	return v
}

// systemMemoryMB returns GOMEMLIMIT, or else the machine's memory.
func systemMemoryMB() float64 {
	if limit := debug.SetMemoryLimit(-1); limit != math.MaxInt64 {
		return float64(limit) / (1 << 20)
	}
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil || info.Totalram == 0 {
		return unknownMemoryMB
	}
	return float64(info.Totalram) * float64(info.Unit) / (1 << 20)
}

// systemDescriptors returns the process's limit on open files.
func systemDescriptors() float64 {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return unknownDescriptors
	}
	return min(float64(limit.Cur), maxDescriptors)
}
