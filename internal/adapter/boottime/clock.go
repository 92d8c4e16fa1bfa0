// Package boottime reads the system clock CLOCK_BOOTTIME, which continues while an
// instance is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock measures the time since the system booted, including suspension. It is not
// affected by changes of the wall clock.
type Clock struct{}

// Now returns the current time relative to an arbitrary origin that is constant while the
// process runs, so that only differences between two results are meaningful. It falls back
// to time.Now if the system clock cannot be read.
func (Clock) Now() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Now()
	}

	return time.Unix(now.Unix())
}
