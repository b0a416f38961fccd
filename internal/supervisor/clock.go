package supervisor

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boottime goes on while the machine is suspended: what was slept through is over.
func Boottime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // Linux has it since 2.6.39
	}
	return time.Duration(t.Nano())
}
