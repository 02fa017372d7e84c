package crowd

import (
	"fmt"
	"time"

	"cardamomwick.example/core/procstat"
)

// Bounds of a process that must withstand a crowd.
const (
	// MachineMemory is the memory of the process's machine in bytes, which the process gets as
	// GOMEMLIMIT.
	MachineMemory = 96 << 20
	// MaxDescriptors is the limit on open files of a process whose connections are held open, of which
	// spareDescriptors must stay free for its own work.
	MaxDescriptors   = 400
	spareDescriptors = 32
	// AnswerTimeout only ends a test whose ordinary request is never answered, and SendTimeout the wait
	// for clients whose connections are neither read nor closed.
	AnswerTimeout = 30 * time.Second
	SendTimeout   = 15 * time.Second
)

// Watch watches a process under a crowd.
type Watch struct {
	pid, maxDescriptors int
	descriptors         func() int
}

// WatchProcess begins to watch a process that may have a number of descriptors, 0 for any.
func WatchProcess(pid, maxDescriptors int) *Watch {
	return &Watch{pid, maxDescriptors, procstat.WatchDescriptors(pid)}
}

// Check ends the watch. It returns the process's peaks, and an error for each bound that it did not keep
// to, or if it has ended.
func (w *Watch) Check() (peaks string, errs []error) {
	descriptors := w.descriptors()
	memory, err := procstat.PeakMemory(w.pid)
	if err != nil {
		return "", []error{fmt.Errorf("the process has ended: %w", err)}
	}
	if memory > MachineMemory {
		errs = append(errs, fmt.Errorf("it has used %d MB; its machine has %d MB", memory>>20, MachineMemory>>20))
	}
	if w.maxDescriptors > 0 && descriptors > w.maxDescriptors-spareDescriptors {
		errs = append(errs, fmt.Errorf("it had %d of %d descriptors open", descriptors, w.maxDescriptors))
	}
	return fmt.Sprintf("%d MB and %d descriptors at most", memory>>20, descriptors), errs
}
