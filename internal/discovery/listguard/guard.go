// Package listguard decides what a proxy that comes back, or whose register does, may believe and ask for: which servers of a
// list that suddenly lacks many are kept for a while, and when the next call for a list may be made. It is pure: no I/O, no
// goroutine, no clock; lists and ends of calls come in, lists and waits go out.
package listguard

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/engine"
)

// GuardSettings say when a whole list is in doubt.
type GuardSettings struct {
	MaxMissingRatio float64       // a list that lacks more than this part of the servers listed ready is in doubt, 0 to 1
	MinMissing      int           // and at least so many
	RetainFor       time.Duration // for so long those that it lacks are kept, from the first list that lacks them on
}

// Validate tells what makes no sense, by the field's name.
func (s *GuardSettings) Validate() error {
	var errs []error
	bad := func(wrong bool, format string, args ...any) {
		if wrong {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	bad(!(s.MaxMissingRatio >= 0 && s.MaxMissingRatio < 1), "shrink: %v is not within 0 and 1", s.MaxMissingRatio)
	bad(s.MinMissing < 1, "least: %d must be above 0", s.MinMissing)
	bad(s.RetainFor < time.Second || s.RetainFor > time.Hour, "hold: %v is not within 1s and 1h", s.RetainFor)
	return errors.Join(errs...)
}

// guardedEndpoint is a server as the guard knows it.
type guardedEndpoint struct {
	engine.Endpoint
	missing bool
	since   time.Duration // it is missing
}

// Guard keeps the servers that a register has lost. A register that comes back with an empty store tells a list that is
// whole and wrong; whoever believed it would refuse all requests while all servers are well. What a register says of a
// server, that it leaves or has left, is believed at once: only silence about many at a time is in doubt.
//
// Danger: a server that is really gone stays in the list for Hold. Its health finds it out; where lists alone rule, there
// must be no guard.
type Guard struct {
	settings GuardSettings
	known    map[string]*guardedEndpoint
	order    []string // of known, as they came
	version  uint32
	stats    GuardStats
}

// GuardStats are what a guard has done, from 0 on.
type GuardStats struct {
	SuspectLists int64 // lists
	Retained     int64 // servers that such a list lacked
	Returned     int64 // of them were listed again,
	Dropped      int64 // or were not until Hold had passed
}

// NewGuard makes a guard of a process that knows a list already; one that is not Full is none.
func NewGuard(s GuardSettings, known engine.EndpointList) (*Guard, error) {
	if err := s.Validate(); err != nil {
		return nil, fmt.Errorf("comeback: %w", err)
	}
	g := &Guard{settings: s, known: map[string]*guardedEndpoint{}}
	if known.Full {
		for _, m := range known.Endpoints {
			g.add(m)
		}
	}
	return g, nil
}

// Stats are what it has done.
func (g *Guard) Stats() GuardStats { return g.stats }

// Missing is how many servers are kept now that no list names.
func (g *Guard) Missing() int {
	n := 0
	for _, e := range g.known {
		if e.missing {
			n++
		}
	}
	return n
}

func (g *Guard) add(m engine.Endpoint) {
	e := g.known[m.ID]
	if e == nil {
		e = &guardedEndpoint{}
		g.known[m.ID] = e
		g.order = append(g.order, m.ID)
	}
	if e.missing {
		g.stats.Returned++
	}
	*e = guardedEndpoint{Endpoint: m}
}

func (g *Guard) remove(id string) {
	delete(g.known, id)
	g.order = slices.DeleteFunc(g.order, func(o string) bool { return o == id })
}

// Apply takes a list in and gives the one to believe.
func (g *Guard) Apply(now time.Duration, list engine.EndpointList) engine.EndpointList {
	g.version = list.Version
	if !list.Full {
		for _, m := range list.Endpoints {
			if m.State == decision.Removed {
				g.remove(m.ID)
			} else {
				g.add(m)
			}
		}
		return list
	}
	told, addrs := map[string]bool{}, map[string]bool{}
	for _, m := range list.Endpoints {
		told[m.ID] = true
		if m.State != decision.Removed {
			addrs[m.Addr] = true
		}
	}
	var lacks []string
	ready, fresh := 0, 0
	for _, id := range slices.Clone(g.order) {
		e := g.known[id]
		switch {
		case addrs[e.Addr] && !told[id]:
			// Danger: another server has its address. What is sent to this one would reach that, under a wrong name.
			g.remove(id)
		case e.State != decision.Ready:
			if !told[id] { // it was leaving: that it is not named any more is no surprise
				g.remove(id)
			}
		default:
			ready++
			if !told[id] {
				lacks = append(lacks, id)
				if !e.missing {
					fresh++
				}
			}
		}
	}
	doubted := fresh >= g.settings.MinMissing && float64(fresh) > g.settings.MaxMissingRatio*float64(ready)
	if doubted {
		g.stats.SuspectLists++
	}
	for _, m := range list.Endpoints {
		if m.State == decision.Removed {
			g.remove(m.ID)
		} else {
			g.add(m)
		}
	}
	for _, id := range lacks {
		switch e := g.known[id]; {
		case e.missing: // kept since an earlier list
		case doubted:
			e.missing, e.since = true, now
			g.stats.Retained++
		default:
			g.remove(id)
		}
	}
	g.removeExpired(now)
	return g.snapshot()
}

// removeExpired drops those that have been missing for long enough, and tells whether there were any.
func (g *Guard) removeExpired(now time.Duration) bool {
	var over []string
	for _, id := range g.order {
		if e := g.known[id]; e.missing && now-e.since >= g.settings.RetainFor {
			over = append(over, id)
		}
	}
	for _, id := range over {
		g.stats.Dropped++
		g.remove(id)
	}
	return len(over) > 0
}

// NextExpiry is when servers are next dropped that were kept; false if none is.
func (g *Guard) NextExpiry() (at time.Duration, any bool) {
	for _, e := range g.known {
		if due := e.since + g.settings.RetainFor; e.missing && (!any || due < at) {
			at, any = due, true
		}
	}
	return at, any
}

// Expire tells the list to believe once time alone has changed it.
func (g *Guard) Expire(now time.Duration) (engine.EndpointList, bool) {
	if !g.removeExpired(now) {
		return engine.EndpointList{}, false
	}
	return g.snapshot(), true
}

// snapshot is all that it believes.
func (g *Guard) snapshot() engine.EndpointList {
	out := engine.EndpointList{Version: g.version, Full: true}
	for _, id := range g.order {
		out.Endpoints = append(out.Endpoints, g.known[id].Endpoint)
	}
	return out
}
