package supervisor

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boottime returns the time since the machine's start. It goes on while the machine is suspended, so that what was
// slept through counts.
func Boottime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // Linux has this clock since 2.6.39
	}
	return time.Duration(t.Nano())
}
