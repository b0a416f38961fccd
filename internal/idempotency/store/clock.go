package store

import (
	"bytes"
	"encoding/binary"
	"os"
	"strings"
	"sync"
	"time"

	"go.etcd.io/bbolt"
	"golang.org/x/sys/unix"
)

// clockKey is the key in the meta bucket of the last reading of the store's clock.
var clockKey = []byte("clock")

// bootIDFile identifies the boot since which the system's monotonic clock runs; see proc_sys_kernel(5).
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// Uptime is a reading of a clock that is not stepped, and that all processes read alike until the next boot.
type Uptime struct {
	Boot  string        // identifies the boot; empty is unknown
	Since time.Duration // since some time that is fixed for the boot
}

// clock shows the times of entries. It starts with the wall clock and goes on with the uptime, also from one process to the
// next, so that a step of the wall clock neither ends the window of an entry nor prolongs it. It is safe for concurrent
// use once startAt has returned.
type clock struct {
	wall   func() time.Time
	uptime func() Uptime // nil shows the wall clock

	startedAt time.Time // what the clock showed at start
	start     Uptime
	elapsed   func() time.Duration // since start
}

// startAt starts the clock after an earlier process has stored a reading; stored may be empty.
func (c *clock) startAt(stored []byte) {
	if c.uptime == nil {
		return
	}
	c.startedAt, c.start = c.wall(), c.uptime()
	at, since, ok := decodeReading(stored)
	switch {
	case !ok:
	case since.Boot != "" && since.Boot == c.start.Boot && since.Since <= c.start.Since:
		c.startedAt = at.Add(c.start.Since - since.Since)
	case at.After(c.startedAt): // after a boot the wall clock is all there is, but time does not go back
		c.startedAt = at
	}
}

// now returns the time that the clock shows.
func (c *clock) now() time.Time {
	if c.uptime == nil {
		return c.wall()
	}
	return c.startedAt.Add(c.elapsed())
}

// save stores a reading for the next process.
func (c *clock) save(meta *bbolt.Bucket) error {
	if c.uptime == nil {
		return nil
	}
	reading := binary.BigEndian.AppendUint64(nil, uint64(c.now().UnixNano()))
	reading = binary.BigEndian.AppendUint64(reading, uint64(c.start.Since+c.elapsed()))
	return meta.Put(clockKey, append(reading, c.start.Boot...))
}

// decodeReading returns the time and the uptime of a stored reading.
func decodeReading(b []byte) (at time.Time, uptime Uptime, ok bool) {
	if len(b) < 2*timeLength {
		return time.Time{}, Uptime{}, false
	}
	at = time.Unix(0, int64(binary.BigEndian.Uint64(b)))
	since := time.Duration(binary.BigEndian.Uint64(b[timeLength:]))
	return at, Uptime{Boot: string(b[2*timeLength:]), Since: since}, true
}

// startClock starts the store's clock.
func (s *Store) startClock(o Options) error {
	s.clock = clock{wall: o.Now, uptime: o.Uptime}
	s.clock.elapsed = func() time.Duration { return o.Uptime().Since - s.clock.start.Since }
	if o.Now == nil {
		s.clock.wall = time.Now
	}
	if o.Now == nil && o.Uptime == nil {
		openedAt := time.Now()
		s.clock.uptime = systemUptime
		s.clock.elapsed = func() time.Duration { return time.Since(openedAt) }
	}
	var stored []byte
	err := s.db.View(func(tx *bbolt.Tx) error {
		if meta := tx.Bucket(metaBucket); meta != nil {
			stored = bytes.Clone(meta.Get(clockKey))
		}
		return nil
	})
	s.clock.startAt(stored)
	return err
}

// bootID returns the identifier of the system's boot, or an empty string if it can't be read.
var bootID = sync.OnceValue(func() string {
	text, _ := os.ReadFile(bootIDFile)
	return strings.TrimSpace(string(text))
})

// systemUptime reads the system's monotonic clock.
func systemUptime() Uptime {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return Uptime{}
	}
	return Uptime{Boot: bootID(), Since: time.Duration(t.Nano())}
}
