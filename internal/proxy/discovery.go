package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/engine"
	config "lapisspread/internal/services"
)

const listBytes = 4 << 20 // a longer list is not believed

// pace is how discovery is asked. A watch that has fallen silent, its connection open, shows by nothing but its time;
// so hold and slack together bound how long that goes unnoticed.
type pace struct {
	hold  time.Duration // for which it may hold a watch
	slack time.Duration // how much longer that answer may take, and how long a connection may take to come up
	fetch time.Duration // how long the answer to a call that asks for no wait may take; a third of it later it is made anew beside
	rest  time.Duration // the longest rest after a call that failed
}

// paceFor takes it from the settings. A pushed list comes from an agent on this machine, which answers at once and at no
// cost. A register that must be asked is paid for by the whole fleet: it is asked twice in the time in which an answer
// grows too old. Danger: what a silent watch misses counts as told 2 s after its wait is over; the slack stays well under.
// And whatever call has failed, all counts as told 6 s after discovery could be reached, or at once by its agent: a call
// that may have gone into the void has a next one after fetch/3 or the rest, with half of that time to spare.
func paceFor(m *decision.Config) pace {
	rest := m.MaxListBackoff()
	if !m.PolledDiscovery {
		return pace{hold: time.Second, slack: 500 * time.Millisecond, fetch: 1500 * time.Millisecond, rest: rest}
	}
	return pace{hold: min(max(m.Constraints.MaxListAge/2, 2*time.Second), 20*time.Second), slack: time.Second, fetch: 6 * time.Second, rest: rest}
}

// List and Member are the servers as the engine knows them.
type (
	List   = engine.EndpointList
	Member = engine.Endpoint
)

func backendID(name string) decision.BackendID { return engine.BackendID(name) }

// parseList reads discovery's JSON. One odd entry voids the whole list.
func parseList(text []byte) (List, error) {
	var f struct {
		Generation *uint32 `json:"generation"`
		Reset      bool    `json:"reset"`
		Instances  []struct {
			ID      string  `json:"instanceId"`
			Addr    string  `json:"hostPort"`
			Zone    string  `json:"zone"`
			Kind    string  `json:"machineType"`
			Cell    int     `json:"cell"`
			State   string  `json:"lifecycle"`
			Weight  float64 `json:"weight"`
			Started float64 `json:"startedAtMs"`
		} `json:"instances"`
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return List{}, err
	}
	if f.Generation == nil {
		return List{}, errors.New("no generation")
	}
	states := map[string]decision.BackendState{"active": decision.Ready, "leaving": decision.Draining,
		"left": decision.Removed}
	list := List{Version: *f.Generation, Full: f.Reset}
	for _, e := range f.Instances {
		state, known := states[e.State]
		if e.ID == "" || !known || state == decision.Ready && e.Addr == "" {
			return List{}, fmt.Errorf("instance %q: no id, no address or unknown lifecycle %q", e.ID, e.State)
		}
		const latest = 1e13 // far past any date; beyond it the clock's own range would be left
		if !(e.Started >= 0 && e.Started < latest) {
			return List{}, fmt.Errorf("instance %q: startedAtMs %v is no time", e.ID, e.Started)
		}
		list.Endpoints = append(list.Endpoints, Member{ID: e.ID, Addr: e.Addr, Zone: e.Zone, Kind: e.Kind,
			Cell: e.Cell, State: state, Weight: e.Weight,
			Started: time.Duration(e.Started * float64(time.Millisecond))})
	}
	return list, nil
}

// discoveryClient makes the calls for the list.
type discoveryClient struct {
	addr   string
	pace   pace
	log    *slog.Logger
	client *http.Client
	ctx    context.Context // of all calls
	end    context.CancelFunc
	hold   func() time.Duration // how long discovery may hold the next watch
	dial   func(ctx context.Context, network, addr string) (net.Conn, error)
	late   time.Duration // how long what has come within a call's time may take to be read after it
	bad    func()        // counts a list that could not be used
	heard  atomic.Bool   // the last call was answered
}

func newDiscovery(addr string, p pace, log *slog.Logger) *discoveryClient {
	ctx, end := context.WithCancel(context.Background())
	// Danger: without a bound a connect over a way that was cut waits for the kernel's next try, long after it is whole again.
	dialer := &net.Dialer{Timeout: p.slack}
	d := &discoveryClient{addr: addr, pace: p, log: log, ctx: ctx, end: end, hold: func() time.Duration { return p.hold }, dial: dialer.DialContext, late: p.slack, bad: func() {}}
	d.client = &http.Client{
		Transport: &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			nc, err := d.dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &heardConn{Conn: nc}, nil
		}, DisableCompression: true, MaxIdleConnsPerHost: 1, MaxConnsPerHost: 4},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return d
}

// heardConn counts what was read from it.
type heardConn struct {
	net.Conn
	read atomic.Int64
}

func (c *heardConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// Addr is the address that is asked.
func (d *discoveryClient) Addr() string { return d.addr }

// Fetch asks once for the whole list.
func (d *discoveryClient) Fetch(ctx context.Context) (List, error) {
	list, err := d.ask(ctx, "")
	if err == nil && !list.Full {
		err = errors.New("discovery: changes in place of the whole list")
	}
	return list, err
}

// errSilent says that an answer has not come in its time, though nothing was closed.
var errSilent = errors.New("discovery: silent")

const (
	lookHold    = time.Millisecond       // of a watch that only has to show whether discovery answers
	firstIdle   = 10 * time.Millisecond  // the rest after an answer that was none,
	mostIdle    = 160 * time.Millisecond // and the longest: a watch goes on if its next call comes within 200 ms
	badCost     = 10                     // times what it took to read a list that could not be used is rested, up to
	mostBadRest = time.Second
)

// Watch tells of each answer, one call right after the other, until one fails or ctx ends. One that has fallen silent is
// broken and begun anew, on a connection of its own: the time that it took is rest enough.
//
// Danger: a call made while discovery could not be reached may get no answer however long it has been back. So until
// one has been answered none asks for a wait.
func (d *discoveryClient) Watch(ctx context.Context, from uint32, tell func(List)) error {
	idle := time.Duration(0)
	for {
		hold, look, began := d.hold(), !d.heard.Load(), time.Now()
		var list List
		var err error
		if look {
			list, err = d.ask(ctx, watchQuery(from, lookHold))
		} else {
			list, err = d.call(ctx, watchQuery(from, hold), hold+d.pace.slack)
			d.heard.Store(err == nil)
		}
		if errors.Is(err, errSilent) {
			d.log.Warn("a watch has fallen silent and is begun anew", "addr", d.addr, "version", from, "held", hold)
			continue
		}
		again := err == nil && !list.Full && list.OlderThan(from)
		if again {
			// Danger: it has begun anew and counts from the start. Its changes would be taken for past ones until it has
			// counted as far as the one before it.
			d.log.Warn("discovery counts anew and is asked for the whole list", "addr", d.addr, "version", from, "now", list.Version)
			list, err = d.Fetch(ctx)
		}
		if err != nil {
			return err
		}
		nothing := again || list.Version == from || !list.Full && len(list.Endpoints) == 0
		from = list.Version
		tell(list)
		if look || !nothing || time.Since(began) >= hold/2 {
			idle = 0
			continue
		}
		// Danger: one that answers at once with nothing new would be asked again as fast as the wire goes.
		idle = min(max(2*idle, firstIdle), mostIdle)
		if err := pause(ctx, idle); err != nil {
			return err
		}
	}
}

func watchQuery(from uint32, hold time.Duration) string {
	return fmt.Sprintf("?from=%d&hold_ms=%d", from, hold.Milliseconds())
}

// pause waits, unless ctx ends.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// ask makes a call that asks for no wait. One that is not answered soon may have gone into the void while discovery could not
// be reached, or discovery is slow: a second and a third are made beside it, and the first answer counts.
func (d *discoveryClient) ask(ctx context.Context, query string) (List, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		list List
		err  error
	}
	const most = 3
	answers, began := make(chan answer, most), time.Now()
	next := time.NewTicker(d.pace.fetch / most)
	defer next.Stop()
	for made, open := 0, 0; ; {
		if left := d.pace.fetch - time.Since(began); made < most && left > 0 {
			made, open = made+1, open+1
			go func() {
				list, err := d.call(ctx, query, left)
				answers <- answer{list, err}
			}()
		}
		select {
		case a := <-answers:
			open--
			if open == 0 || !errors.Is(a.err, errSilent) {
				d.heard.Store(a.err == nil)
				return a.list, a.err
			}
			made = most // its time is over
		case <-next.C:
		}
	}
}

func (d *discoveryClient) call(ctx context.Context, query string, wait time.Duration) (_ List, err error) {
	outer := ctx
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(d.ctx, func() { cancel(context.Canceled) })()
	var conn atomic.Pointer[heardConn]
	var read atomic.Int64 // before the call
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if c, ok := i.Conn.(*heardConn); ok {
			read.Store(c.read.Load())
			conn.Store(c)
		}
	}})
	giveUp := time.AfterFunc(wait, func() {
		// Danger: the process may have been stopped past the wait, with the answer in its socket: it is no silence that
		// nobody has listened. What has come gets the slack once more to be read.
		if c := conn.Load(); c != nil && (c.read.Load() != read.Load() || !silent(c.Conn)) {
			time.AfterFunc(d.late, func() { cancel(errSilent) })
			return
		}
		cancel(errSilent)
	})
	defer giveUp.Stop()
	defer func() { // its cause is told in place of "context canceled"
		if err != nil && context.Cause(ctx) == errSilent {
			err = fmt.Errorf("%w: %w", errSilent, err)
		}
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.addr+"/catalog/members"+query, nil)
	if err != nil {
		return List{}, fmt.Errorf("discovery: %w", err)
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return List{}, fmt.Errorf("discovery: %w", err)
	}
	defer resp.Body.Close()
	began := time.Now()
	text, err := io.ReadAll(io.LimitReader(resp.Body, listBytes))
	if err != nil {
		if len(text) > 0 && outer.Err() == nil { // half a list, or one that goes on past its time
			d.bad()
		}
		return List{}, fmt.Errorf("discovery: reading the list: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		err := fmt.Errorf("discovery: status %d", resp.StatusCode)
		if s, bad := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); bad == nil && s > 0 {
			err = &comeLater{err, time.Duration(min(s, longTimeout.Seconds()) * float64(time.Second))}
		}
		return List{}, err
	}
	list, err := parseList(text)
	if err != nil {
		giveUp.Stop()
		d.bad()
		// Danger: one that goes on and on is work each time; asked at the pace of one that is down it would take all.
		pause(outer, min(badCost*time.Since(began), mostBadRest))
		return List{}, fmt.Errorf("discovery: bad list: %w", err)
	}
	return list, nil
}

// comeLater is an answer that says when to ask again.
type comeLater struct {
	error
	after time.Duration
}

// RetryAfter is after what time.
func (e *comeLater) RetryAfter() time.Duration { return e.after }

// Close ends all calls and connections.
func (d *discoveryClient) Close() {
	d.end()
	d.client.CloseIdleConnections()
}

// selected is the part of a list that a service uses. What of it does not belong to the service is told as gone: a
// server may come to belong to another service.
type selected struct {
	engine.Source
	spec config.Service
}

func (s selected) pick(list List) List {
	out := List{Version: list.Version, Full: list.Full}
	for _, m := range list.Endpoints {
		if len(s.spec.Kinds) > 0 && !slices.Contains(s.spec.Kinds, m.Kind) || len(s.spec.Cells) > 0 && !slices.Contains(s.spec.Cells, m.Cell) {
			if list.Full {
				continue
			}
			m.State = decision.Removed
		}
		out.Endpoints = append(out.Endpoints, m)
	}
	return out
}

// Fetch asks once for the whole of the part.
func (s selected) Fetch(ctx context.Context) (List, error) {
	list, err := s.Source.Fetch(ctx)
	return s.pick(list), err
}

// Watch tells of what changes in the part.
func (s selected) Watch(ctx context.Context, from uint32, tell func(List)) error {
	return s.Source.Watch(ctx, from, func(list List) { tell(s.pick(list)) })
}
