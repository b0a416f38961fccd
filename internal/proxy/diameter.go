package proxy

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/admission"
	"lapisspread/internal/diameter"
	"lapisspread/internal/diameter/claim"
	"lapisspread/internal/diameter/frontend"
	"lapisspread/internal/diameter/node"
	"lapisspread/internal/diameter/upstream"
	"lapisspread/internal/engine"
	"lapisspread/internal/idempotency/guard"
	"lapisspread/internal/listener"
	"lapisspread/internal/metrics"
	"lapisspread/internal/processquota/limiter"
	"lapisspread/internal/route"
	"lapisspread/internal/tlskeys"
)

const (
	listenAgain   = 50 * time.Millisecond  // in an upgrade the process before holds the address until it ends
	diameterDrain = 10 * time.Second       // for requests in hand, and goodbyes
	serversLeave  = 5 * time.Second        // for what is out to a server that drains
	watchdogLeast = 6 * time.Second        // of servers: one that is silent is found out as soon as the RFC allows
	serversWell   = 100 * time.Millisecond // between the watchdogs that one whose connection broke must answer first: the module probes it besides
	serversBack   = 200 * time.Millisecond // before a server is connected to again
	keysEvery     = time.Minute            // the certificate's files are looked at
)

// diameterSide is what of a proxy speaks Diameter.
type diameterSide struct {
	p     *Proxy
	file  *claim.File
	rules *claim.Rules
	guard *guard.Guard
	front *frontend.Front
	node  *node.Node
	keys  *tlskeys.Keys // nil is plain TCP

	mu       sync.Mutex
	listener net.Listener
	draining bool
}

// openDiameter reads what is spoken, and with whom.
func (p *Proxy) openDiameter() error {
	d := &diameterSide{p: p}
	var err error
	if d.file, d.rules, err = claim.Load(p.cfg.Diameter); err != nil {
		return err
	}
	if p.cfg.Services == "" {
		for i, class := range d.rules.Classes() {
			if !slices.ContainsFunc(p.cfg.Module.Classes, func(c decision.Class) bool { return c.Name == class }) {
				return fmt.Errorf("%s: command[%d]: class: there is none by the name of %q", p.cfg.Diameter, i, class)
			}
		}
	}
	if t := d.file.TLS; t != nil {
		beside := func(name string) string { return claim.Beside(p.cfg.Diameter, name) }
		if d.keys, err = tlskeys.Load(tlskeys.Files{Certificate: beside(t.Certificate), Key: beside(t.Key), CA: beside(t.CA)}); err != nil {
			return fmt.Errorf("%s: tls: %w", p.cfg.Diameter, err)
		}
	}
	path := ""
	if p.cfg.StateDir != "" && d.file.Ledger.File != "" {
		path = filepath.Join(p.cfg.StateDir, d.file.Ledger.File)
	}
	if d.guard, err = guard.New(guard.Options{Ledger: d.file.LedgerSettings(0), Path: path, Now: engine.NewClock().Now, Log: p.log}); err != nil {
		return fmt.Errorf("%s: %w", p.cfg.Diameter, err)
	}
	d.front = frontend.New(frontend.Settings{Rules: d.rules, Host: d.file.Host, Realm: d.file.Realm, Guard: d.guard, Route: d.route, Slack: answerRoom, Log: p.log})
	s := d.settings()
	s.Allow, s.Handle = d.front.Allow, d.front.Handle
	if d.node, err = node.New(s); err != nil {
		return fmt.Errorf("%s: %w", p.cfg.Diameter, err)
	}
	p.diameter = d
	return nil
}

// settings are those of a node of ours.
func (d *diameterSide) settings() node.Settings {
	f := d.file
	return node.Settings{Host: f.Host, Realm: f.Realm, Apps: f.Applications, Dict: d.rules.Dictionary(), StateID: uint32(time.Now().Unix()),
		Watchdog: time.Duration(f.Watchdog), Handshake: time.Duration(f.Handshake), Goodbye: time.Duration(f.Goodbye), Peers: f.Limits.Peers,
		Handshakes: f.Limits.Handshakes, InHand: f.Limits.InHand, Bytes: f.Limits.Bytes, Queue: f.Limits.Queue, Log: d.p.log, Seed: d.p.cfg.Seed}
}

// diameterUpstream is the connections to the servers of a service that speak Diameter.
func (p *Proxy) diameterUpstream(module *decision.Config) (*upstream.Upstream, error) {
	d := p.diameter
	if d == nil {
		return nil, errors.New("upstream: \"diameter\" asks for --diameter: it says who we are")
	}
	s := d.settings()
	s.Watchdog, s.Reopen, s.Reconnect, s.Queue, s.Handshake = watchdogLeast, serversWell, serversBack, 1<<20, module.Capabilities.ConnectTimeout
	if d.keys != nil {
		s.TLS = func() *tls.Config { return d.keys.ClientConfig("") }
	}
	n, err := node.New(s)
	if err != nil {
		return nil, err
	}
	return upstream.New(n, module.Capabilities.ConnectTimeout, serversLeave), nil
}

// run reads the ledger and takes peers until ctx ends, or drain.
func (d *diameterSide) run(ctx context.Context) {
	log := d.p.log
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() {
		if err := d.guard.Open(ctx); err != nil && ctx.Err() == nil {
			log.Error("no unsafe request is taken by Diameter: the ledger of effects can't be read", "err", err)
		}
	})
	stop := context.AfterFunc(ctx, d.node.Close)
	defer stop()
	if d.keys != nil {
		tick := time.NewTicker(keysEvery)
		defer tick.Stop()
		running.Go(func() {
			d.keys.Watch(tick.C, ctx.Done(), d.keysChanged, func(left time.Duration) {
				log.Warn("the Diameter certificate expires soon", "left", left.Round(time.Hour))
			})
		})
	}
	if d.file.Listen == "" {
		<-ctx.Done()
		return
	}
	l := d.listen(ctx)
	if l == nil {
		return
	}
	log.Info("serving Diameter", "listen", l.Addr().String(), "host", d.file.Host)
	if err := d.node.Serve(l); err != nil {
		log.Error("no more Diameter peers are taken", "err", err)
	}
	<-ctx.Done()
}

// listen waits for the address: in an upgrade the process before has it until it ends.
func (d *diameterSide) listen(ctx context.Context) net.Listener {
	for said := false; ; {
		l, err := net.Listen("tcp", d.file.Listen)
		if err == nil {
			l = &peerListener{Listener: l, conns: d.p.conns}
			if d.keys != nil {
				l = tls.NewListener(l, d.keys.ServerConfig())
			}
			d.mu.Lock()
			defer d.mu.Unlock()
			if d.draining {
				l.Close()
				return nil
			}
			d.listener = l
			return l
		}
		if !said {
			d.p.log.Warn("the Diameter address is not free yet", "err", err)
			said = true
		}
		select {
		case <-time.After(listenAgain):
		case <-ctx.Done():
			return nil
		}
	}
}

// drain ends the service in order: what is in hand is answered, peers are told goodbye, and the ledger is free for the next
// process.
func (d *diameterSide) drain() {
	d.mu.Lock()
	d.draining = true
	if d.listener != nil {
		d.listener.Close()
	}
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), diameterDrain)
	defer cancel()
	d.node.Drain(ctx)
	if err := d.guard.Close(); err != nil {
		d.p.log.Error("the ledger of effects", "err", err)
	}
}

// reread takes in what of the settings can change: certificates.
func (d *diameterSide) reread() {
	if d != nil && d.keys != nil {
		d.keysChanged(d.keys.Reload())
	}
}

func (d *diameterSide) keysChanged(err error) {
	if err != nil {
		d.p.log.Error("the old certificate stays", "err", err)
		d.p.own.ReloadsFailed.Add(1)
		return
	}
	d.p.log.Info("the certificate was read anew", "holds_for", d.keys.Remaining().Round(time.Hour))
}

// route finds a request's service, within its limits.
func (d *diameterSide) route(a *claim.Ask, bytes int64) (*frontend.Service, error) {
	s := d.p.services
	svc, policy, err := s.pick(func(now *installed) (*service, error) {
		q := route.Request{Host: a.Realm, Path: a.Path, Method: http.MethodPost, Class: a.Class, Tenant: a.Tenant}
		return now.lookup(&q, func() string { return a.Session }, fmt.Sprintf("%s/%08x", a.Name.Origin, a.Name.ID))
	})
	if err != nil {
		policy.CountRequest(false)
		return nil, &frontend.Turned{What: err.Error(), Code: diameter.UnableToDeliver}
	}
	class, known := svc.classes[a.Class]
	if !known {
		svc.leave()
		return nil, &frontend.Turned{What: fmt.Sprintf("the service knows no class %q", a.Class), Code: diameter.UnableToDeliver}
	}
	tenant := svc.tenants[a.Tenant]
	ticket, why, after := s.admit(svc, class, tenant, bytes)
	if why != "" {
		svc.figures.CountRequest(class, metrics.Rejected)
		policy.CountRequest(false)
		svc.leave()
		return nil, &frontend.Turned{What: why, After: max(after, time.Second)}
	}
	svc.figures.InFlight.Add(1)
	out := &frontend.Service{Engine: svc.engine, Class: class, Tenant: tenant, Unsafe: svc.module.Classes[class].Idempotency != decision.Idempotent}
	var took time.Duration
	out.Ended = func(end engine.Outcome, t time.Duration) {
		took = t
		policy.CountRequest(end == engine.Served)
		svc.figures.CountRequest(class, map[engine.Outcome]metrics.Outcome{engine.Served: metrics.Served, engine.Rejected: metrics.Rejected, engine.Failed: metrics.Failed}[end])
	}
	out.Leave = func() {
		svc.figures.InFlight.Add(-1)
		ticket.end(took)
		svc.leave()
	}
	if svc.diameter != nil {
		out.Message = func(_ *claim.Ask, wire diameter.Message) (engine.Message, error) {
			return upstream.NewMessage(wire), nil
		}
	} else {
		out.Message = d.claimMessage
	}
	return out, nil
}

// claimMessage is a claim as an HTTP server reads it: its AVPs as one JSON object, by their names.
func (d *diameterSide) claimMessage(a *claim.Ask, wire diameter.Message) (engine.Message, error) {
	body, err := d.rules.Dictionary().JSON(wire.AVPs())
	if err != nil {
		return nil, err
	}
	if len(body) > bodyBytes {
		return nil, fmt.Errorf("a claim of %d bytes; %d are the most", len(body), bodyBytes)
	}
	id := fmt.Sprintf("%s/%08x", a.Name.Origin, a.Name.ID)
	if len(id) > idBytes {
		id = fmt.Sprintf("%016x/%08x", nameSeed(a.Name.Origin), a.Name.ID)
	}
	h := http.Header{"Content-Type": {"application/json"}, "X-Request-Id": {id}, "Idempotency-Key": {id}, "X-Priority-Class": {a.Class}, "User-Agent": nil}
	if a.Tenant != "" {
		h.Set("X-Tenant-Id", a.Tenant)
	}
	if a.Repeat {
		h.Set("X-Retried", "1")
	}
	return &message{method: http.MethodPost, host: a.Realm, url: url.URL{Path: a.Path, RawQuery: "key=" + url.QueryEscape(a.Session)}, header: h, body: body}, nil
}

// report is what DIAMETER shows.
func (d *diameterSide) report() any {
	var peers []node.Status
	for _, p := range d.node.Peers() {
		peers = append(peers, p.Status())
	}
	slices.SortFunc(peers, func(a, b node.Status) int { return cmp.Compare(a.Host, b.Host) })
	n, f := &d.node.Counts, &d.front.Counts
	return map[string]any{"peers": peers, "ledger": d.guard.Report(),
		"connections": map[string]int64{"accepted": n.Accepted.Load(), "rejected": n.Rejected.Load(), "garbage": n.Garbage.Load(), "slow": n.Slow.Load(), "suspects": n.Suspects.Load()},
		"requests": map[string]int64{"came": n.Requests.Load(), "busy": n.Busy.Load(), "wrong": n.Wrong.Load() + f.Wrong.Load(), "served": f.Served.Load(),
			"refused": f.Refused.Load(), "failed": f.Failed.Load(), "repeated": f.Repeated.Load()}}
}

// ticket is a request that is within its service's limits.
type ticket struct {
	s      *services
	svc    *service
	ask    limiter.Request
	tenant int
}

// admit takes a request within the limits of its service, or tells why not, and after how long it may come again.
func (s *services) admit(svc *service, class, tenant int, bytes int64) (t ticket, why string, after time.Duration) {
	t = ticket{s: s, svc: svc, tenant: tenant, ask: limiter.Request{Service: svc.name, Gate: svc.gate, Class: class, Tenant: tenant, Bytes: bytes}}
	if svc.gate != nil { // one of several
		if why, after = s.limits.Acquire(t.ask); why != "" {
			return t, why, after
		}
	}
	if svc.requests != nil {
		if why, after = svc.requests.Acquire(class, tenant, 0); why != "" {
			if svc.gate != nil {
				s.limits.Release(t.ask)
			}
			return t, why, after
		}
	}
	return t, "", 0
}

// end gives it back; took is how long an answer that served took, 0 for any other end.
func (t *ticket) end(took time.Duration) {
	if t.svc.requests != nil {
		t.svc.requests.Release(t.tenant, took)
	}
	if t.svc.gate != nil {
		t.s.limits.Release(t.ask)
	}
}

// peerListener has the door decide on the connections of Diameter peers, as on all others.
type peerListener struct {
	net.Listener
	conns *clientConns
}

func (l *peerListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil || l.conns.door == nil {
			return nc, err
		}
		c := &peerConn{Conn: nc, door: l.conns.door}
		if c.id, _ = c.door.Arrive(nc.RemoteAddr(), c); c.id != 0 {
			return c, nil
		}
		nc.Close()
	}
}

// peerConn is a peer's connection as the door has it: once we have answered who it is, it is one that is in use.
type peerConn struct {
	net.Conn
	door  *listener.ConnLimiter
	id    admission.ID
	known atomic.Bool
	once  sync.Once
}

func (c *peerConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err == nil && !c.known.Swap(true) {
		c.door.RequestReceived(c.id)
	}
	return n, err
}

// Evict closes one that has not said who it is.
func (c *peerConn) Evict() bool {
	if c.known.Load() {
		return false
	}
	c.Close()
	return true
}

func (c *peerConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { c.door.Remove(c.id) })
	return err
}
