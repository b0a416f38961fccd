package proxy

import (
	"hash/maphash"
	"net/http"
	"sync"
	"time"

	"lapisspread/internal/sharedids"
)

const (
	abandonedIDPeriod = time.Minute // for which the ID of a request whose client has left is remembered
	maxAbandonedIDs   = 4096        // the oldest are forgotten first
)

// requestIDs knows the X-Request-IDs that must not come again: those of the requests in flight, and of those whose
// client has left, because they may have run. Of requests that must not run twice it also knows those of the other
// process during a hot restart. It is safe for concurrent use.
type requestIDs struct {
	shared *sharedids.Table // nil without a state directory

	mu        sync.Mutex
	open      map[string]bool // whether the ID is claimed in shared
	seed      maphash.Seed
	abandoned map[uint64]time.Time // by hash; when the ID may come again
	order     []abandonedID        // of abandoned, oldest first
}

// abandonedID is an entry of requestIDs.order. It is out of date if the ID may come again at another time by now.
type abandonedID struct {
	hash  uint64
	until time.Time
}

func newRequestIDs(shared *sharedids.Table) *requestIDs {
	return &requestIDs{
		shared:    shared,
		open:      map[string]bool{},
		seed:      maphash.MakeSeed(),
		abandoned: map[uint64]time.Time{},
	}
}

// begin registers the ID of a request, or returns a rejection if it must not come again.
func (s *requestIDs) begin(id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.open[id]; found {
		return idInUse()
	}
	if time.Now().Before(s.abandoned[s.hash(id)]) {
		return &rejection{
			status: http.StatusConflict, message: "a request with this X-Request-ID was abandoned and may have run",
		}
	}
	s.open[id] = false
	return nil
}

// claim claims the ID of an open request among all processes for its timeout, or returns a rejection if another process
// has claimed it.
func (s *requestIDs) claim(id string, timeout time.Duration) error {
	if !s.shared.Claim(hashName(id), time.Now().Add(timeout+abandonedIDPeriod)) {
		return idInUse()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[id] = true
	return nil
}

// idInUse returns a rejection of a request whose ID another request has.
func idInUse() error {
	return &rejection{status: http.StatusConflict, message: "a request with this X-Request-ID is open"}
}

// end undoes begin and claim. The claim on an abandoned ID stays.
func (s *requestIDs) end(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	claimed := s.open[id]
	delete(s.open, id)
	until, abandoned := s.abandoned[s.hash(id)]
	switch {
	case !claimed:
	case abandoned:
		s.shared.Extend(hashName(id), until)
	default:
		s.shared.Release(hashName(id))
	}
}

// abandon records that the client of an open request has left and that the request may have run.
func (s *requestIDs) abandon(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := abandonedID{hash: s.hash(id), until: time.Now().Add(abandonedIDPeriod)}
	s.abandoned[entry.hash] = entry.until
	s.order = append(s.order, entry)
	for len(s.order) > maxAbandonedIDs || s.order[0].until.Before(time.Now()) {
		s.forgetLocked(s.order[0])
		s.order = s.order[1:]
	}
}

// forgetAbandoned undoes abandon for a request that has not run.
func (s *requestIDs) forgetAbandoned(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.abandoned, s.hash(id))
	if _, open := s.open[id]; !open { // else end releases it
		s.shared.Release(hashName(id))
	}
}

// forgetLocked removes an entry unless the ID was abandoned again later. The lock must be held.
func (s *requestIDs) forgetLocked(entry abandonedID) {
	if s.abandoned[entry.hash].Equal(entry.until) {
		delete(s.abandoned, entry.hash)
	}
}

func (s *requestIDs) hash(id string) uint64 { return maphash.String(s.seed, id) }
