// Package boottime reads a clock that keeps running while the machine is suspended and is
// never set. Go's monotonic clock stops during a suspend, so that a lease measured by it
// would be kept after its expiry; the wall clock may jump.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot as a time.Time, which may be compared only with other
// values of Now on the same machine.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every supported Linux has this clock, and leases are not safe without it
	}
	return time.Unix(0, ts.Nano())
}
