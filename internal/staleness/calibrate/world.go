// Package calibrate tries the estimates of internal/staleness against a world whose truth is known: servers that leave, restart and
// move, a register that tells of it, and edges between which and the register all goes wrong that can. Pure, in virtual time, by seed.
package calibrate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"lapisspread/internal/staleness"
)

// Settings of a world. What the field's name leaves open: rates are a second of one edge.
type Settings struct {
	Seed     uint64
	Duration time.Duration
	Edges    int
	View     staleness.Settings // Sources are set by the world
	// Stewards tells whether the edges hear of a steward's number once a second.
	Stewards bool
}

// the world's constants: nothing of them is known to the view but the beat and the names of the kinds.
const (
	step       = 20 * time.Millisecond
	beat       = time.Second
	attempts   = 12.0 // a second
	list       = "list"
	quietBreak = 5 * time.Second // an edge breaks a watch that was silent for so long, and calls
)

var kinds = []struct {
	name    string
	servers int
	rate    float64 // changes of one a second, outside releases
}{{"stable", 16, .0004}, {"middling", 16, .003}, {"spot", 12, .012}}

type server struct {
	kind, id int
	start    uint64 // 0 is gone
	back     time.Duration
}

type told struct {
	version uint64
	at      time.Duration // when it was the truth
	state   []uint64      // starts, by server
}

type message struct {
	arrives, gen time.Duration
	version      uint64
	prev         uint64 // version before, of a push
	state        []uint64
	slot         int
	lie          bool
	asked        time.Duration
	kind         int // 0 beat, 1 push, 2 whole
}

type trouble int

const (
	none    trouble = iota
	silent          // the watch's connection lives and nothing comes; a call is answered
	cut             // nothing comes, calls run into their time
	outage          // of the register
	lagging         // the register answers with an old list
)

type edge struct {
	view     *staleness.View
	rng      *rand.Rand
	held     []uint64
	version  uint64
	queue    []message
	last     time.Duration // arrival of the last message, in order
	gen      time.Duration // of the newest message taken in
	lost     time.Duration // first change that was lost and not made good; negative for none
	heard    time.Duration
	nextBeat time.Duration
	what     trouble
	until    time.Duration
	frozen   told
	lied     bool          // what it holds, or how new it seems, comes from a register that lagged
	stopped  time.Duration // until then
	stoppedA time.Duration
	down     bool // stopped is a restart
	saved    time.Duration
	known    bool
	calls    time.Duration // next call; negative for none under way
	answer   time.Duration
	steward  time.Duration
	behind   int
	resync   time.Duration
}

type world struct {
	set     Settings
	rng     *rand.Rand
	servers []server
	version uint64
	release [3]time.Duration
	out     time.Duration // outage of the register until
	edges   []*edge
	changes []time.Duration // by version
	res     *Result
	names   []string
}

// Run plays a world and adds what it gave to the result.
func Run(set Settings, res *Result) error {
	w := &world{set: set, rng: rand.New(rand.NewPCG(set.Seed, 41)), res: res, changes: []time.Duration{0}}
	for k, kd := range kinds {
		for range kd.servers {
			w.servers = append(w.servers, server{kind: k, id: len(w.servers), start: uint64(1 + len(w.servers))})
			w.names = append(w.names, fmt.Sprintf("s%02d", len(w.names)))
		}
	}
	set.View.Sources = []staleness.SourceSettings{{Name: list, HeartbeatInterval: beat}}
	for i := range set.Edges {
		v, err := staleness.New(set.View)
		if err != nil {
			return err
		}
		e := &edge{view: v, rng: rand.New(rand.NewPCG(set.Seed, uint64(100+i))), held: make([]uint64, len(w.servers)), lost: -1,
			stopped: -1, calls: 0, answer: -1, heard: -1}
		e.resync = between(e.rng, 0, time.Minute)
		w.edges = append(w.edges, e)
	}
	for now := time.Duration(0); now < set.Duration; now += step {
		w.truth(now)
		for _, e := range w.edges {
			if err := w.edge(e, now); err != nil {
				return err
			}
		}
	}
	return nil
}

func between(r *rand.Rand, a, b time.Duration) time.Duration {
	return a + time.Duration(r.Float64()*float64(b-a))
}

func chance(r *rand.Rand, rate float64) bool { return r.Float64() < rate*step.Seconds() }

func (w *world) state() []uint64 {
	s := make([]uint64, len(w.servers))
	for i := range w.servers {
		s[i] = w.servers[i].start
	}
	return s
}

// truth lets the servers live, and tells the edges' watches.
func (w *world) truth(now time.Duration) {
	if w.out < now && chance(w.rng, 1./240) {
		w.out = now + between(w.rng, 8*time.Second, 45*time.Second)
	}
	for k := range kinds {
		if w.release[k] < now && chance(w.rng, 1./300) { // a release: most of a kind is replaced within some 15 s
			w.release[k] = now + between(w.rng, 10*time.Second, 20*time.Second)
		}
	}
	for i := range w.servers {
		s := &w.servers[i]
		rate := kinds[s.kind].rate
		if now < w.release[s.kind] {
			rate += .09
		}
		switch {
		case s.start == 0 && now >= s.back:
			s.start = uint64(now/step)*1000 + uint64(i) + 100_000
		case s.start != 0 && chance(w.rng, rate):
			if w.rng.Float64() < .4 { // leaves; another comes to its place later
				s.start, s.back = 0, now+between(w.rng, 5*time.Second, 20*time.Second)
			} else {
				s.start = uint64(now/step)*1000 + uint64(i) + 100_000
			}
		default:
			continue
		}
		w.version++
		w.changes = append(w.changes, now)
		for _, e := range w.edges {
			w.push(e, now, message{gen: now, version: w.version, prev: w.version - 1, slot: i, kind: 1, state: []uint64{s.start}})
		}
	}
}

// push sends a message down an edge's watch, if there is one and nothing is in its way.
func (w *world) push(e *edge, now time.Duration, m message) {
	if e.nextBeat < 0 || e.what == silent || e.what == cut || now < w.out {
		return
	}
	if e.what == lagging {
		if m.kind == 1 {
			return
		}
		m.gen, m.lie = e.frozen.at, true
	}
	if m.kind == 1 && e.rng.Float64() < .003 {
		if e.lost < 0 {
			e.lost = now
		}
		return
	}
	d := 15*time.Millisecond + time.Duration(e.rng.ExpFloat64()*float64(25*time.Millisecond))
	if e.rng.Float64() < .01 {
		d += between(e.rng, 300*time.Millisecond, 2*time.Second)
	}
	m.arrives = max(e.last, now+d) // in order
	e.last = m.arrives
	e.queue = append(e.queue, m)
}

func (w *world) edge(e *edge, now time.Duration) error {
	if now >= e.until {
		if e.what == lagging { // it catches up
			e.what = none
			e.nextBeat = max(e.nextBeat, now)
			w.whole(e, now, now+50*time.Millisecond)
		}
		e.what = none
		switch x := e.rng.Float64() / step.Seconds(); {
		case x < 1./150:
			e.what, e.until = silent, now+between(e.rng, 5*time.Second, 30*time.Second)
		case x < 1./150+1./200:
			e.what, e.until = cut, now+between(e.rng, 5*time.Second, 60*time.Second)
		case x < 1./150+1./200+1./400:
			e.what, e.until = lagging, now+between(e.rng, 5*time.Second, 20*time.Second)
			e.frozen = told{w.version, now, w.state()}
		}
	}
	if e.nextBeat >= 0 && now >= e.nextBeat {
		w.push(e, now, message{gen: now, kind: 0})
		e.nextBeat = now + time.Duration(float64(beat)*(.97+.06*e.rng.Float64()))
	}
	if now < e.stopped {
		return nil
	}
	if e.stopped >= 0 { // it wakes, or its successor starts
		if e.down {
			age := now - e.saved
			if forgotten := e.rng.Float64() < .1; !e.known || forgotten {
				age = -1
			}
			e.view.Restore(now, age)
			e.queue, e.nextBeat, e.last = nil, -1, now
			e.answer, e.calls = -1, now+between(e.rng, 0, 250*time.Millisecond)
			if e.rng.Float64() < .4 { // a register that has more to do than this
				e.calls += between(e.rng, time.Second, 15*time.Second)
			}
			e.heard = now
		} else {
			e.view.RecordSuspension(now, now-e.stoppedA)
			e.last = max(e.last, now)
			for i := range e.queue {
				e.queue[i].arrives = max(e.queue[i].arrives, now+time.Duration(i+1)*50*time.Millisecond)
				e.last = max(e.last, e.queue[i].arrives)
			}
			e.heard = now
		}
		e.stopped = -1
	}
	switch x := e.rng.Float64() / step.Seconds(); {
	case x < 1./120:
		e.stopped, e.stoppedA, e.down = now+between(e.rng, 2*time.Second, 20*time.Second), now, false
		return nil
	case x < 1./120+1./240:
		bound, known := e.view.Age(now, list)
		e.saved, e.known = now-bound, known
		e.stopped, e.stoppedA, e.down = now+between(e.rng, time.Second, 20*time.Second), now, true
		return nil
	}
	if err := w.hear(e, now); err != nil {
		return err
	}
	if err := w.call(e, now); err != nil {
		return err
	}
	if e.heard < 0 {
		return nil
	}
	for n := attempts * step.Seconds(); n > 0; n-- {
		if n >= 1 || e.rng.Float64() < n {
			if err := w.attempt(e, now); err != nil {
				return err
			}
		}
	}
	if now%(240*time.Millisecond) == 0 {
		w.age(e, now)
	}
	return nil
}

// whole answers a call for the list.
func (w *world) whole(e *edge, gen, arrives time.Duration) {
	m := message{asked: gen - 40*time.Millisecond, gen: gen, arrives: max(arrives, e.last), version: w.version, kind: 2, state: w.state()}
	if e.what == lagging {
		m.lie = true
		m.gen, m.version, m.state = e.frozen.at, e.frozen.version, e.frozen.state
	}
	e.last = m.arrives
	e.queue = append(e.queue, m)
}

func (w *world) hear(e *edge, now time.Duration) error {
	for len(e.queue) > 0 && e.queue[0].arrives <= now {
		m := e.queue[0]
		e.queue = e.queue[1:]
		if m.kind != 2 && e.nextBeat < 0 {
			continue // of a watch that is over
		}
		e.heard = now
		e.gen = max(e.gen, m.gen)
		e.lied = m.lie
		switch m.kind {
		case 0:
			if err := e.view.RecordHeartbeat(now, list); err != nil {
				return err
			}
			continue
		case 1:
			n := staleness.Update{Version: m.version, Changes: []staleness.Change{w.change(m.slot, m.state[0])}}
			e.held[m.slot] = m.state[0]
			if m.prev != e.version { // one was lost: ask for all
				e.calls = min(now, e.calls)
				if e.calls < 0 {
					e.calls = now
				}
			}
			e.version = m.version
			if err := e.view.ApplyUpdate(now, list, n); err != nil {
				return err
			}
		case 2:
			n := staleness.Update{Version: m.version, Complete: true, RequestedAt: m.asked}
			for i, s := range m.state {
				e.held[i] = s
				if s != 0 {
					n.Changes = append(n.Changes, w.change(i, s))
				}
			}
			older := m.version < e.version
			e.version, e.lost = m.version, -1
			if older { // it took an older list for a newer one
				e.gen = m.gen
			}
			if e.nextBeat < 0 {
				e.nextBeat = now
			}
			if err := e.view.ApplyUpdate(now, list, n); err != nil {
				return err
			}
		}
	}
	return nil
}

func (w *world) change(i int, start uint64) staleness.Change {
	s := w.servers[i]
	return staleness.Change{Entry: staleness.Entry{Name: w.names[i], Kind: kinds[s.kind].name, Route: kinds[s.kind].name, Incarnation: start}, Removed: start == 0}
}

// call makes the edge's calls: at the start, after a silence, after a lost push, once a minute; and hears the steward.
func (w *world) call(e *edge, now time.Duration) error {
	if e.nextBeat >= 0 && now < w.out { // the register's end closes
		e.nextBeat, e.queue = -1, nil
		if err := e.view.RecordFailure(now, list, staleness.WatchBroken); err != nil {
			return err
		}
		e.calls = now + between(e.rng, 0, 2*time.Second)
	}
	if e.calls < 0 && e.answer < 0 && (now-e.heard > quietBreak || now > e.resync) {
		e.calls = now
		e.resync = now + time.Minute
	}
	if e.calls >= 0 && now >= e.calls {
		e.calls = -1
		if now < w.out || e.what == cut {
			e.answer = now + 2*time.Second
			if now < w.out {
				e.answer = now + 100*time.Millisecond
			}
			return nil
		}
		if e.what == silent {
			e.what = none // a new connection works
		}
		w.whole(e, now+40*time.Millisecond, now+between(e.rng, 50*time.Millisecond, 120*time.Millisecond))
	}
	if e.answer >= 0 && now >= e.answer {
		e.answer, e.calls = -1, now+between(e.rng, time.Second, 3*time.Second)
		if e.heard >= 0 {
			if err := e.view.RecordFailure(now, list, staleness.CallTimedOut); err != nil {
				return err
			}
		}
	}
	if w.set.Stewards && now >= e.steward && now >= w.out && e.what != cut && e.heard >= 0 {
		e.steward = now + time.Second
		if w.version == e.version && e.lost < 0 {
			e.behind, e.gen, e.lied = 0, now, false
			return e.view.RecordConfirmation(now, list, "")
		}
		if e.behind++; e.behind == 2 && e.calls < 0 {
			e.calls = now
		}
		return e.view.RecordContradiction(now, list, staleness.Evidence{Kind: staleness.LaterVersion, Version: w.version})
	}
	return nil
}

func (w *world) attempt(e *edge, now time.Duration) error {
	i := e.rng.IntN(len(e.held))
	if e.held[i] == 0 {
		return nil
	}
	p := e.view.Confidence(now, w.names[i])
	right := w.servers[i].start == e.held[i]
	w.res.attempt(p, math.Exp(-.005*max(0, now-e.heard).Seconds()), right, now-e.heard > 3*beat/2 && e.nextBeat >= 0)
	switch {
	case right && e.rng.Float64() < .005:
		return e.view.RecordContradiction(now, list, staleness.Evidence{Kind: staleness.Refused, Entry: w.names[i]})
	case right:
		return e.view.RecordConfirmation(now, list, w.names[i])
	case w.servers[i].start == 0:
		return e.view.RecordContradiction(now, list, staleness.Evidence{Kind: staleness.Refused, Entry: w.names[i]})
	}
	return e.view.RecordContradiction(now, list, staleness.Evidence{Kind: staleness.OtherIncarnation, Entry: w.names[i]})
}

// age compares the bound with the age of information (when was what is held, as a whole, known to be the truth), and with the age of
// the first change that is missed.
func (w *world) age(e *edge, now time.Duration) {
	gen := e.gen
	if e.lost >= 0 {
		gen = min(gen, e.lost)
	}
	missed := time.Duration(0)
	if e.version < w.version {
		missed = now - w.changes[e.version+1]
	}
	if e.lost >= 0 {
		missed = max(missed, now-e.lost)
	}
	bound, known := e.view.Age(now, list)
	w.res.age(now-gen, missed, bound, known, now-e.heard, e.lied)
}
