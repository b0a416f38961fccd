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
	Shrink float64       // a list that lacks more than this part of the servers listed ready is in doubt, 0 to 1
	Least  int           // and at least so many
	Hold   time.Duration // for so long those that it lacks are kept, from the first list that lacks them on
}

// Check tells what makes no sense, by the field's name.
func (s *GuardSettings) Check() error {
	var errs []error
	bad := func(wrong bool, format string, args ...any) {
		if wrong {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	bad(!(s.Shrink >= 0 && s.Shrink < 1), "shrink: %v is not within 0 and 1", s.Shrink)
	bad(s.Least < 1, "least: %d must be above 0", s.Least)
	bad(s.Hold < time.Second || s.Hold > time.Hour, "hold: %v is not within 1s and 1h", s.Hold)
	return errors.Join(errs...)
}

// entry is a server as the guard knows it.
type entry struct {
	engine.Member
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
	set     GuardSettings
	known   map[string]*entry
	order   []string // of known, as they came
	version uint32
	counts  GuardCounts
}

// GuardCounts are what a guard has done, from 0 on.
type GuardCounts struct {
	Doubted int64 // lists
	Kept    int64 // servers that such a list lacked
	Back    int64 // of them were listed again,
	Dropped int64 // or were not until Hold had passed
}

// NewGuard makes a guard of a process that knows a list already; one that is not Full is none.
func NewGuard(s GuardSettings, known engine.List) (*Guard, error) {
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("comeback: %w", err)
	}
	g := &Guard{set: s, known: map[string]*entry{}}
	if known.Full {
		for _, m := range known.Members {
			g.enter(m)
		}
	}
	return g, nil
}

// Counts are what it has done.
func (g *Guard) Counts() GuardCounts { return g.counts }

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

func (g *Guard) enter(m engine.Member) {
	e := g.known[m.ID]
	if e == nil {
		e = &entry{}
		g.known[m.ID] = e
		g.order = append(g.order, m.ID)
	}
	if e.missing {
		g.counts.Back++
	}
	*e = entry{Member: m}
}

func (g *Guard) drop(id string) {
	delete(g.known, id)
	g.order = slices.DeleteFunc(g.order, func(o string) bool { return o == id })
}

// Take takes a list in and gives the one to believe.
func (g *Guard) Take(now time.Duration, list engine.List) engine.List {
	g.version = list.Version
	if !list.Full {
		for _, m := range list.Members {
			if m.State == decision.Removed {
				g.drop(m.ID)
			} else {
				g.enter(m)
			}
		}
		return list
	}
	told, addrs := map[string]bool{}, map[string]bool{}
	for _, m := range list.Members {
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
			g.drop(id)
		case e.State != decision.Ready:
			if !told[id] { // it was leaving: that it is not named any more is no surprise
				g.drop(id)
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
	doubted := fresh >= g.set.Least && float64(fresh) > g.set.Shrink*float64(ready)
	if doubted {
		g.counts.Doubted++
	}
	for _, m := range list.Members {
		if m.State == decision.Removed {
			g.drop(m.ID)
		} else {
			g.enter(m)
		}
	}
	for _, id := range lacks {
		switch e := g.known[id]; {
		case e.missing: // kept since an earlier list
		case doubted:
			e.missing, e.since = true, now
			g.counts.Kept++
		default:
			g.drop(id)
		}
	}
	g.expire(now)
	return g.whole()
}

// expire drops those that have been missing for long enough, and tells whether there were any.
func (g *Guard) expire(now time.Duration) bool {
	var over []string
	for _, id := range g.order {
		if e := g.known[id]; e.missing && now-e.since >= g.set.Hold {
			over = append(over, id)
		}
	}
	for _, id := range over {
		g.counts.Dropped++
		g.drop(id)
	}
	return len(over) > 0
}

// Due is when servers are next dropped that were kept; false if none is.
func (g *Guard) Due() (at time.Duration, any bool) {
	for _, e := range g.known {
		if due := e.since + g.set.Hold; e.missing && (!any || due < at) {
			at, any = due, true
		}
	}
	return at, any
}

// Elapse tells the list to believe once time alone has changed it.
func (g *Guard) Elapse(now time.Duration) (engine.List, bool) {
	if !g.expire(now) {
		return engine.List{}, false
	}
	return g.whole(), true
}

// whole is all that it believes.
func (g *Guard) whole() engine.List {
	out := engine.List{Version: g.version, Full: true}
	for _, id := range g.order {
		out.Members = append(out.Members, g.known[id].Member)
	}
	return out
}
