package engine

import "time"

// Clock counts from the Unix epoch: the wall's time at its start plus what has gone by on the monotonic
// clock since. So it never goes back, and starts of backends before this process lie above 0: after a
// proxy's restart a backend that is still cold is known to be.
type Clock struct{ start time.Time }

// NewClock makes a clock.
func NewClock() Clock { return Clock{time.Now()} }

// Now is the time since the Unix epoch.
func (c Clock) Now() time.Duration {
	return time.Duration(c.start.UnixNano()) + time.Since(c.start)
}

// Time is the moment at which the clock shows d.
func (c Clock) Time(d time.Duration) time.Time {
	return c.start.Add(d - time.Duration(c.start.UnixNano()))
}
