// Package freshness has a proxy weigh how old what it holds of each register may be (package staleness), and engines look at it. One
// goroutine, the duty, owns the views; it is watched, and begun anew on the lists as last heard where it dies or is stuck. What it
// publishes is looked at without a lock and without allocation; no request ever waits for it.
package freshness

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/operatorerror"
	"lapisspread/internal/staleness"
	"lapisspread/internal/supervisor"
)

const (
	tick          = 100 * time.Millisecond // between two snapshots
	stopAfter     = time.Second            // a gap between two looks of the duty that is a stop of the process
	staleAfter    = 2 * time.Second        // a snapshot that is older says nothing
	ringSize      = 1024                   // evidence that waits for the duty
	mostRegisters = 64
	leastBeat     = 10 * time.Millisecond
)

// Settings of a link.
type Settings struct {
	View  *api.View
	Log   *slog.Logger
	Clock func() time.Duration // only goes forward; nil is the machine's, with the time that it is suspended
}

// Link is a proxy's views of all its registers. It is for any goroutine.
type Link struct {
	set    Settings
	clock  func() time.Duration
	duty   supervisor.Task
	woken  chan struct{}
	ring   chan evidence
	counts struct {
		dropped, merged, stops, died, stuck, stale atomic.Int64
		forbidden                                  [3]atomic.Int64 // by staleness.Effect
	}
	generation atomic.Uint64

	mu        sync.Mutex
	registers map[string]*Register
	order     []*Register
}

// evidence is what an attempt has shown.
type evidence struct {
	of      *server
	refused bool
}

// server is a listed server as a snapshot knows it.
type server struct {
	register   *Register
	generation uint64
	name       string
	handle     staleness.Handle
	told       [2]atomic.Int64 // when it last answered or refused: more of it in one tick is the same fact
}

// seen is what is looked at. It never changes.
type seen struct {
	snap    *staleness.Snapshot
	servers map[decision.BackendID]*server
	doubt   bool // what is not listed may be sent what may run twice
	report  RegisterReport
}

// New makes a link that has no registers yet.
func New(set Settings) *Link {
	if set.Log == nil {
		set.Log = slog.New(slog.DiscardHandler)
	}
	l := &Link{set: set, clock: set.Clock, woken: make(chan struct{}, 1), ring: make(chan evidence, ringSize), registers: map[string]*Register{}}
	if l.clock == nil {
		l.clock = supervisor.Boottime
	}
	l.duty = supervisor.Task{Clock: l.clock, OnStart: func() uint64 { return l.generation.Add(1) }, Work: l.work, OnPanic: l.died, OnStuck: l.stuck, ShutdownGrace: time.Second}
	return l
}

// Run weighs until ctx ends.
func (l *Link) Run(ctx context.Context) { l.duty.Run(ctx) }

func (l *Link) wake() {
	select {
	case l.woken <- struct{}{}:
	default:
	}
}

func (l *Link) died(cause any, stack []byte) {
	l.counts.died.Add(1)
	err := DutyDied{fmt.Sprint(cause)}
	l.set.Log.Error("the view", "err", err, "advice", err.Advice(), "stack", string(stack))
}

func (l *Link) stuck(since time.Duration) {
	l.counts.stuck.Add(1)
	err := DutyStuck{since}
	l.set.Log.Error("the view", "err", err, "advice", err.Advice())
}

// worker is one duty's own.
type worker struct {
	*Link
	generation uint64
	views      map[*Register]*weighed
	last       time.Duration // look
	since      time.Duration // from which what waits has come
}

// weighed is a register as one duty weighs it.
type weighed struct {
	register *Register
	view     *staleness.View
	servers  map[decision.BackendID]*server
	routes   map[string]int // servers of each
	dirty    bool           // servers and routes are not those of the view
	levels   map[string]staleness.Level
}

func (l *Link) work(ctx context.Context, generation uint64) {
	w := &worker{Link: l, generation: generation, views: map[*Register]*weighed{}, last: l.clock()}
	next := w.last
	for ctx.Err() == nil {
		l.duty.Heartbeat()
		now := w.step()
		if now >= next {
			w.publish(now)
			next = now + tick
		}
		wait := time.NewTimer(next - now)
		select {
		case <-wait.C:
		case <-l.woken:
		case <-ctx.Done():
		}
		wait.Stop()
	}
}

// step takes in all that waits.
func (w *worker) step() time.Duration {
	now := max(w.clock(), w.last)
	gap := now - w.last
	w.since, w.last = w.last, now
	if gap > stopAfter { // before all else: what waits was sent while the process stood, or before
		w.since = now
		w.counts.stops.Add(1)
		for _, x := range w.views {
			x.view.Stopped(now, gap)
		}
	}
	w.mu.Lock()
	order := slices.Clone(w.order)
	w.mu.Unlock()
	for _, r := range order {
		if x := w.views[r]; x != nil {
			w.hear(x, now)
		} else {
			w.begin(r, now)
		}
	}
	for range len(w.ring) { // what comes meanwhile is for the next time
		e := <-w.ring
		x := w.views[e.of.register]
		if x == nil || e.of.generation != w.generation || x.view.Handle(e.of.name) != e.of.handle {
			continue // another process is listed there by now
		}
		// The view was made with this source, so that there is no error.
		if e.refused {
			_ = x.view.Contradicted(now, api.Source, staleness.Evidence{Kind: staleness.Refused, Entry: e.of.name})
		} else {
			_ = x.view.Confirmed(now, api.Source, e.of.name)
		}
	}
	return now
}

// begin begins to weigh a register, on what was heard of it or on what is known.
func (w *worker) begin(r *Register, now time.Duration) {
	view, err := staleness.New(w.set.View.Settings(r.beat))
	if err != nil { // the file was checked
		panic(err)
	}
	n, at, age := r.all()
	_ = view.Heard(now, api.Source, n)
	if age >= 0 {
		age += now - at
	}
	view.Restarted(now, age)
	w.views[r] = &weighed{register: r, view: view, dirty: true, levels: map[string]staleness.Level{}}
}

// hear takes in what a register has told.
func (w *worker) hear(x *weighed, now time.Duration) {
	n := x.register.take()
	w.counts.merged.Add(n.merged)
	at := min(max(n.at, w.since), now)
	if n.any {
		if n.changes {
			x.dirty = true
			if err := x.view.Heard(at, api.Source, n.News); err != nil {
				w.set.Log.Warn("the view", "err", err, "advice", cmp.Or(operatorerror.Of(err), "none"))
			}
		} else {
			_ = x.view.Quiet(at, api.Source)
		}
	}
	if n.mute {
		_ = x.view.Failed(now, api.Source, staleness.FailTimeout)
	}
	if n.broken {
		_ = x.view.Failed(now, api.Source, staleness.FailBroken)
	}
}

// publish puts how things stand where engines look.
func (w *worker) publish(now time.Duration) {
	for _, x := range w.views {
		if x.dirty {
			w.index(x)
		}
		s := &seen{snap: x.view.Tick(now), servers: x.servers, doubt: true, report: RegisterReport{Name: x.register.name, Servers: len(x.servers), Age: "unknown"}}
		if age, known := x.view.Age(now, api.Source); known {
			s.report.Age = age.Round(time.Millisecond).String()
		}
		best := staleness.Blind
		for _, name := range slices.Sorted(maps.Keys(x.routes)) {
			level, chance := s.snap.Route(x.view.RouteIndex(name))
			best = max(best, level)
			r := RouteReport{Name: name, Level: level.String(), Chance: chance, Servers: x.routes[name]}
			trouble := x.view.Trouble(now, name)
			if trouble != nil {
				r.Trouble, r.Advice = trouble.Error(), operatorerror.Of(trouble)
			}
			s.report.Routes = append(s.report.Routes, r)
			if was, any := x.levels[name]; !any || was != level {
				x.levels[name] = level
				if trouble != nil {
					w.set.Log.Warn("the view", "register", x.register.name, "err", trouble, "advice", r.Advice)
				} else if was <= staleness.Doubtful {
					w.set.Log.Info("the view is trusted again", "register", x.register.name, "route", name, "level", r.Level)
				}
			}
		}
		s.doubt = len(x.routes) == 0 || best > staleness.Blind
		if w.generation == w.Link.generation.Load() {
			x.register.now.Store(s)
		}
	}
}

// index names the servers that the view lists.
func (w *worker) index(x *weighed) {
	x.dirty = false
	servers, routes := map[decision.BackendID]*server{}, map[string]int{}
	for _, e := range x.register.listed() {
		h := x.view.Handle(e.Name)
		if h == 0 { // of a list that is newer than the view: it comes with the next
			x.dirty = true
			continue
		}
		id := backendID(e.Name)
		s := x.servers[id]
		if s == nil || s.handle != h || s.name != e.Name {
			s = &server{register: x.register, generation: w.generation, name: e.Name, handle: h}
		}
		servers[id] = s
		routes[e.Route]++
	}
	x.servers, x.routes = servers, routes
}

// RouteReport is the servers of a kind.
type RouteReport struct {
	Name    string  `json:"name"`
	Level   string  `json:"level"`
	Chance  float32 `json:"chance"` // that acting on the list is right
	Servers int     `json:"servers"`
	Trouble string  `json:"trouble,omitempty"`
	Advice  string  `json:"advice,omitempty"`
}

// RegisterReport is a register's list.
type RegisterReport struct {
	Name    string        `json:"name"`
	Age     string        `json:"age_at_most"` // "unknown" if nobody can tell
	Servers int           `json:"servers"`
	Routes  []RouteReport `json:"routes"`
}

// Report is what the console shows.
type Report struct {
	Act       bool             `json:"act"`
	Registers []RegisterReport `json:"registers"`
	Dropped   int64            `json:"evidence_dropped"`
	Merged    int64            `json:"news_merged"`
	Stops     int64            `json:"stops"` // of this process
	Died      int64            `json:"duties_died"`
	Stuck     int64            `json:"duties_stuck"`
	Stale     int64            `json:"looks_at_old"` // at a snapshot that is too old, or at none yet
	Forbidden map[string]int64 `json:"attempts_forbidden"`
}

var effects = [3]string{staleness.Safe: "safe", staleness.Keyed: "keyed", staleness.Once: "once"}

// Report tells how the views stand. It waits for nobody.
func (l *Link) Report() Report {
	c := &l.counts
	out := Report{Act: l.set.View.Act, Dropped: c.dropped.Load(), Merged: c.merged.Load(), Stops: c.stops.Load(), Died: c.died.Load(),
		Stuck: c.stuck.Load(), Stale: c.stale.Load(), Forbidden: map[string]int64{}}
	for e, name := range effects {
		out.Forbidden[name] = c.forbidden[e].Load()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.order {
		if s := r.now.Load(); s != nil {
			out.Registers = append(out.Registers, s.report)
		}
	}
	return out
}
