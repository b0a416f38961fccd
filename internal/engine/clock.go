package engine

import "time"

// Clock shows the time since the Unix epoch: the wall clock time when the Clock was made plus the monotonic time since
// then. It never goes back. Because it counts from the epoch, backends that started before this process have a start
// time above 0, so that a backend that is still warming up is recognised after a restart of the proxy.
type Clock struct{ start time.Time }

// NewClock returns a clock that starts at the current wall clock time.
func NewClock() Clock { return Clock{time.Now()} }

// Now returns the time since the Unix epoch.
func (c Clock) Now() time.Duration {
	return time.Duration(c.start.UnixNano()) + time.Since(c.start)
}

// Time returns the wall clock time at which the clock shows d.
func (c Clock) Time(d time.Duration) time.Time {
	return c.start.Add(d - time.Duration(c.start.UnixNano()))
}

// At returns what the clock shows at the time t, which is the inverse of Time.
func (c Clock) At(t time.Time) time.Duration {
	return time.Duration(c.start.UnixNano()) + t.Sub(c.start)
}
