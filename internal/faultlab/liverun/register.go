package liverun

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"lapisspread/internal/faultlab/model"
)

// agent is the register's agent on one proxy's machine. It answers with whatever it has been sent.
type agent struct {
	r       *Run
	proxy   int
	server  *http.Server
	addr    string
	mu      sync.Mutex
	version int
	rows    []row // by node
	changed chan struct{}
	lost    bool    // the store: numbers begin anew
	share   float64 // of the rows that are there then

	// Guarded by r.mu. What cannot reach the proxy binds it only once it can.
	away    bool           // its last call was turned away, or the way to it was cut since it was answered
	unheard []model.News   // that it could not be told of
	watches map[*held]bool // that are open
	called  time.Duration  // the last call
	missed  time.Duration  // what came since its watch fell silent counts as told from then on; 0 is at once
	sighup  time.Duration  // likewise, since it was told to ask at another address
}

// held is a watch that is open.
type held struct {
	over   time.Duration // the wait that it asked for
	silent bool          // guarded by r.mu
	since  time.Duration // it fell silent
	comes  chan struct{} // closes when what it holds comes at last
}

// sighupTold is how long after a SIGHUP that names another register what that one tells counts as told.
const sighupTold = 4 * time.Second

type row struct {
	listing model.Listing
	started time.Duration
	since   int // the version in which it changed last
	addr    string
}

// instance is a node as the register's protocol tells it.
type instance struct {
	ID        string  `json:"instanceId"`
	Addr      string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Machine   string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	Started   int64   `json:"startedAtMs"`
}

type catalog struct {
	Generation int        `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// firstVersion is the list's number at a run's start. One that begins anew from 1 is lower.
const firstVersion = 100

func newAgent(r *Run, proxy int) (*agent, error) {
	a := &agent{r: r, proxy: proxy, version: firstVersion, changed: make(chan struct{}), watches: map[*held]bool{}}
	for i, n := range r.nodes {
		a.rows = append(a.rows, row{listing: model.Active, since: 1, addr: r.nodeAddr(proxy, n.no)})
		r.ledger.Told(0, proxy, i, model.Active, 0)
	}
	_, err := a.move()
	return a, err
}

// move opens another address, and gives the server of the one before, if there was one.
func (a *agent) move() (old *http.Server, err error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("the register's agent of proxy %d: %w", a.proxy, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", a.members)
	s := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	a.mu.Lock()
	old, a.server, a.addr = a.server, s, l.Addr().String()
	a.mu.Unlock()
	a.r.running.Go(func() { _ = s.Serve(l) })
	return old, nil
}

// at is the agent's address.
func (a *agent) at() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.addr
}

func (a *agent) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.server != nil {
		a.server.Close()
	}
}

// tell takes news from the register. From now on it counts as told, unless nothing reaches the proxy. r.mu is held.
func (a *agent) tell(now time.Duration, n model.News) {
	a.unheard = append(a.unheard, n)
	a.heard(now)
	a.mu.Lock()
	defer a.mu.Unlock()
	w := &a.rows[n.Node]
	defer a.change()
	w.listing, w.since, w.addr = n.Listing, a.version+1, a.r.nodeAddr(a.proxy, n.Node)
	w.started = max(w.started, n.Started)
}

// heard counts as told what is no more kept from the proxy. r.mu is held.
func (a *agent) heard(now time.Duration) {
	a.away = a.away || a.r.paths.cutFromRegister(a.proxy)
	if a.away || now < a.missed || now < a.sighup {
		return
	}
	for _, n := range a.unheard {
		a.r.ledger.Told(now, a.proxy, n.Node, n.Listing, n.Started)
	}
	a.unheard = nil
}

// begin counts all that the agent holds as told to a process that starts now. r.mu is held.
func (a *agent) begin(now time.Duration) {
	a.r.ledger.Forget(a.proxy)
	a.unheard, a.missed, a.sighup = nil, 0, 0
	a.mu.Lock()
	for i, w := range a.rows {
		if !a.hides(i) {
			a.unheard = append(a.unheard, model.News{Node: i, Listing: w.listing, Started: w.started})
		}
	}
	a.mu.Unlock()
	a.heard(now)
}

// silence has the watches that are open fall silent, and tells whether there were any: nothing comes on them any more, and nothing
// ends them. A new call works. r.mu is held.
func (a *agent) silence(now time.Duration) (any bool) {
	for w := range a.watches {
		if w.silent {
			continue
		}
		w.silent, w.since, any = true, now, true
		a.missed = max(a.missed, model.Missed(now, w.over))
	}
	return any
}

// speak lets what silent watches hold come. r.mu is held.
func (a *agent) speak(now time.Duration) {
	for w := range a.watches {
		if w.silent {
			w.silent = false
			close(w.comes)
			w.comes = make(chan struct{})
		}
	}
	a.resume(now)
}

// resume counts as told what a silent watch has missed, once another call was made in its place. r.mu is held.
func (a *agent) resume(now time.Duration) {
	for w := range a.watches {
		if w.silent {
			return
		}
	}
	a.missed = 0
	a.heard(now)
}

// open notes a watch.
func (a *agent) open(hold time.Duration) *held {
	a.r.mu.Lock()
	defer a.r.mu.Unlock()
	w := &held{over: a.r.now() + hold, comes: make(chan struct{})}
	a.watches[w] = true
	return w
}

// ended notes its end. Where it was silent, and another call has come before this was seen, nothing is missed any more.
func (a *agent) ended(w *held) {
	a.r.mu.Lock()
	defer a.r.mu.Unlock()
	delete(a.watches, w)
	if w.silent && a.called > w.since {
		a.resume(a.r.now())
	}
}

// speaks waits while a watch is silent; false if its call has ended meanwhile.
func (a *agent) speaks(ctx context.Context, w *held) bool {
	for {
		a.r.mu.Lock()
		silent, comes := w.silent, w.comes
		a.r.mu.Unlock()
		if !silent {
			return true
		}
		select {
		case <-comes:
		case <-ctx.Done():
			return false
		}
	}
}

// hides tells whether a row was lost with the register's store. a.mu is held.
func (a *agent) hides(row int) bool {
	return a.lost && a.rows[row].since <= 1 && float64(row) >= a.share*float64(len(a.rows)) // what it has heard since, it knows
}

// change makes a new version. a.mu is held.
func (a *agent) change() {
	a.version++
	close(a.changed)
	a.changed = make(chan struct{})
}

// lose has the register lose its store, and begin anew with a share of its list; or have all of it again.
func (a *agent) lose(lost bool, share float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lost, a.share = lost, share
	if lost {
		a.version = 0
	}
	for i := range a.rows {
		a.rows[i].since = a.version + 1
	}
	a.change()
}

// catalog is the list, or what of it has changed since a version. It gives the channel that closes at the next change.
func (a *agent) catalog(from int, full bool) (catalog, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := catalog{Generation: a.version, Reset: full, Instances: []instance{}}
	for i, w := range a.rows {
		if full && w.listing == model.Left || !full && w.since <= from {
			continue
		}
		if a.hides(i) {
			continue
		}
		n := a.r.fleet.Nodes[i]
		c.Instances = append(c.Instances, instance{ID: nodeName(n), Addr: w.addr, Zone: a.r.spec.Zones[n.Zone],
			Machine: a.r.spec.Models[n.Model].Name, Cell: n.CellNo, Lifecycle: w.listing.String(), Weight: n.Weight, Started: a.r.unixMs(w.started)})
	}
	return c, a.changed
}

func nodeName(n *model.Node) string { return fmt.Sprintf("s-%08x", n.ID) }

// mostHold is how long a watch may ask to be held.
const mostHold = time.Minute

func (a *agent) members(w http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	a.r.mu.Lock()
	now := a.r.now()
	a.r.ledger.Called(now)
	after, taken := a.r.calls.take(now)
	a.away, a.called = !taken, now
	if taken {
		a.resume(now)
	}
	a.r.mu.Unlock()
	if !taken {
		if after > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(after, 'g', -1, 64))
		}
		http.Error(w, "too many calls", http.StatusServiceUnavailable)
		return
	}
	if !query.Has("from") {
		c, _ := a.catalog(0, true)
		a.write(w, c)
		return
	}
	from, err := strconv.Atoi(query.Get("from"))
	if err != nil {
		http.Error(w, "from: not a version", http.StatusBadRequest)
		return
	}
	hold, err := strconv.Atoi(query.Get("hold_ms"))
	if err != nil || hold < 0 {
		http.Error(w, "hold_ms: not a number of milliseconds", http.StatusBadRequest)
		return
	}
	wait := min(time.Duration(hold)*time.Millisecond, mostHold)
	watch := a.open(wait)
	defer a.ended(watch)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for over := false; ; {
		if !a.speaks(req.Context(), watch) {
			return
		}
		c, changed := a.catalog(from, false)
		if from > c.Generation { // a version that never was: all that there is, also if it is nothing
			c, _ = a.catalog(0, true)
			a.write(w, c)
			return
		}
		if over || len(c.Instances) > 0 {
			a.write(w, c)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-req.Context().Done():
			return
		}
	}
}

// write answers with a list. Lists may come indented: those of every second agent do.
func (a *agent) write(w http.ResponseWriter, c catalog) {
	w.Header().Set("Content-Type", "application/json")
	out := json.NewEncoder(w)
	if a.proxy%2 == 1 {
		out.SetIndent("", "  ")
	}
	_ = out.Encode(c) // the caller is gone otherwise
}
