package sessions

import (
	"errors"
	"fmt"
	"time"
)

// EntryBytes is what an entry takes, with its part of the index: measured by BenchmarkTable, and rounded up.
const EntryBytes = 96

// Settings are what a table goes by.
type Settings struct {
	Bytes       int           // of all entries
	Idle        time.Duration // after which an entry that nobody asks for is forgotten
	TenantShare float64       // part of a full table that one tenant keeps against others, 0 to 1
	Tenants     int           // their number
}

// Check tells what makes no sense, by the field's name.
func (s *Settings) Check() error {
	var errs []error
	if s.Bytes < EntryBytes || s.Bytes > 1<<34 {
		errs = append(errs, fmt.Errorf("bytes: %d is not within %d and %d", s.Bytes, EntryBytes, 1<<34))
	}
	if s.Idle <= 0 {
		errs = append(errs, fmt.Errorf("idle: %v must be above 0s", s.Idle))
	}
	if !(s.TenantShare > 0 && s.TenantShare <= 1) {
		errs = append(errs, fmt.Errorf("tenant_share: %v is not within 0 and 1", s.TenantShare))
	}
	if s.Tenants < 1 || s.Tenants > 1<<16 {
		errs = append(errs, fmt.Errorf("tenants: %d is not within 1 and %d", s.Tenants, 1<<16))
	}
	return errors.Join(errs...)
}

// Entry is a session that is remembered.
type Entry struct {
	Key        uint64
	Node       uint32
	Generation uint32        // of the server, when the session came to it
	Moves      uint16        // times that it has changed its server
	Tenant     uint16        // whose it is
	Used       time.Duration // when it was asked for last
}

type slot struct {
	Entry
	asked bool // since the hand went by (CLOCK)
	taken bool
}

// chunk is how many places are made at a time.
const chunk = 1 << 12

// Table is the sessions that are remembered.
type Table struct {
	set         Settings
	most        int
	index       map[uint64]uint32 // places
	chunks      [][]slot          // a longer slice would be copied as it grows: a pause
	places      uint32            // made so far
	free        []uint32
	hand        uint32
	tenants     []int
	generations map[uint32]uint32
	count       Counts
}

// Counts are what a table has done.
type Counts struct {
	Hits, Misses int64
	Stale        int64 // asked for, and their server has left or begun anew
	Entered      int64
	Moved        int64 // entries that have changed their server
	Evicted      int64 // made room
	Expired      int64
	NoRoom       int64 // sessions that go without an entry
}

// NewTable makes a table. An error names the setting.
func NewTable(s Settings) (*Table, error) {
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("sessions: %w", err)
	}
	return &Table{set: s, most: s.Bytes / EntryBytes, index: map[uint64]uint32{}, tenants: make([]int, s.Tenants), generations: map[uint32]uint32{}}, nil
}

// Len is how many sessions it remembers, those of servers that have left counted too until they are met.
func (t *Table) Len() int { return len(t.index) }

// Counts are what it has done so far.
func (t *Table) Counts() Counts { return t.count }

// Get gives a session's entry and notes that it was asked for. One whose server has left or begun anew is forgotten: what the
// server knew of it is gone.
func (t *Table) Get(now time.Duration, key uint64) (Entry, bool) {
	at, found := t.index[key]
	if !found {
		t.count.Misses++
		return Entry{}, false
	}
	s := t.slot(at)
	switch {
	case s.Generation != t.generations[s.Node]:
		t.count.Stale++
		t.remove(at)
		return Entry{}, false
	case now-s.Used >= t.set.Idle:
		t.count.Expired++
		t.count.Misses++
		t.remove(at)
		return Entry{}, false
	}
	t.count.Hits++
	s.asked, s.Used = true, max(s.Used, now) // a clock that went back ages nothing
	return s.Entry, true
}

// Put notes that a session is served by a server. It tells whether there is an entry for it now.
func (t *Table) Put(now time.Duration, key uint64, tenant uint16, node uint32) bool {
	if int(tenant) >= len(t.tenants) {
		tenant = 0
	}
	if at, found := t.index[key]; found {
		s := t.slot(at)
		if s.Node != node {
			t.count.Moved++
			s.Moves++
		}
		s.Node, s.Generation, s.Used, s.asked = node, t.generations[node], max(s.Used, now), true
		return true
	}
	at, ok := t.place(now, tenant)
	if !ok {
		t.count.NoRoom++
		return false
	}
	*t.slot(at) = slot{Entry: Entry{Key: key, Node: node, Generation: t.generations[node], Tenant: tenant, Used: now}, taken: true}
	t.index[key] = at
	t.tenants[tenant]++
	t.count.Entered++
	return true
}

// Forget drops a session that has ended.
func (t *Table) Forget(key uint64) {
	if at, found := t.index[key]; found {
		t.remove(at)
	}
}

func (t *Table) slot(at uint32) *slot { return &t.chunks[at/chunk][at%chunk] }

// Left notes that a server has left, or that another has begun in its place: its sessions are no longer there. It costs the
// same whether it had one or a million.
func (t *Table) Left(node uint32) { t.generations[node]++ }

// handSteps bounds how far the hand goes for one place.
const handSteps = 64

// place finds a place for an entry of a tenant.
func (t *Table) place(now time.Duration, tenant uint16) (uint32, bool) {
	if n := len(t.free); n > 0 {
		at := t.free[n-1]
		t.free = t.free[:n-1]
		return at, true
	}
	if int(t.places) < t.most {
		if t.places%chunk == 0 {
			t.chunks = append(t.chunks, make([]slot, min(chunk, t.most-int(t.places))))
		}
		t.places++
		return t.places - 1, true
	}
	// CLOCK: the first that was not asked for since the hand went by. A tenant that has its share of the table already takes
	// only from itself; the others take from it first.
	share := max(1, int(t.set.TenantShare*float64(t.most)))
	over := t.tenants[tenant] >= share
	for range handSteps {
		at := t.hand
		t.hand = (t.hand + 1) % t.places
		s := t.slot(at)
		if !s.taken {
			continue
		}
		dead := s.Generation != t.generations[s.Node] || now-s.Used >= t.set.Idle
		mayTake := s.Tenant == tenant || !over && t.tenants[s.Tenant] > 1
		greedy := t.tenants[s.Tenant] > share
		if dead || mayTake && (greedy || !s.asked) {
			if dead {
				t.count.Expired++
			} else {
				t.count.Evicted++
			}
			t.remove(at)
			t.free = t.free[:len(t.free)-1]
			return at, true
		}
		if mayTake {
			s.asked = false
		}
	}
	return 0, false
}

func (t *Table) remove(at uint32) {
	s := t.slot(at)
	delete(t.index, s.Key)
	t.tenants[s.Tenant]--
	*s = slot{}
	t.free = append(t.free, at)
}

// Sweep looks at so many places for entries that nobody asks for any more, and tells how many it has dropped. Called again and
// again it goes round: a million that run out at once do not stall anybody.
func (t *Table) Sweep(now time.Duration, places int) (dropped int) {
	for range min(places, int(t.places)) {
		at := t.hand
		t.hand = (t.hand + 1) % t.places
		s := t.slot(at)
		if s.taken && (now-s.Used >= t.set.Idle || s.Generation != t.generations[s.Node]) {
			t.remove(at)
			t.count.Expired++
			dropped++
		}
	}
	return dropped
}

// All gives the entries whose servers are there, in no order, until yield returns false. The table must not change meanwhile.
func (t *Table) All(yield func(Entry) bool) {
	for i := range t.places {
		if s := t.slot(i); s.taken && s.Generation == t.generations[s.Node] && !yield(s.Entry) {
			return
		}
	}
}
