package engine

import "time"

// Clock counts from the Unix epoch: the machine's clock when it was made plus the monotonic time since. It never goes
// back, and backends that started before this process have a start above 0, so that one which is still warming up is
// known as such after a restart of the proxy.
type Clock struct{ start time.Time }

// NewClock makes a clock that starts at the machine's time.
func NewClock() Clock { return Clock{time.Now()} }

// Now is the time since the Unix epoch.
func (c Clock) Now() time.Duration {
	return time.Duration(c.start.UnixNano()) + time.Since(c.start)
}

// Time is the moment at which the clock shows d.
func (c Clock) Time(d time.Duration) time.Time {
	return c.start.Add(d - time.Duration(c.start.UnixNano()))
}
