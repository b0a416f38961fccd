package supervisor

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boottime returns the time since the machine was started. Unlike a monotonic clock it includes the time during which
// the machine was suspended.
func Boottime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // cannot happen: Linux has had this clock since 2.6.39
	}
	return time.Duration(t.Nano())
}
