// Package proxy is a proxy on real sockets around the decisions of package decision: it carries out what
// they say, and tells them what comes of it.
package proxy

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lapisspread/internal/admin"
	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/controlplane/client"
	"lapisspread/internal/controlplane/freshness"
	"lapisspread/internal/discovery/guardedsource"
	"lapisspread/internal/engine"
	"lapisspread/internal/hotrestart"
	"lapisspread/internal/listener"
	"lapisspread/internal/metrics"
)

// Proxy is a whole proxy: what Run needs beside its configuration.
type Proxy struct {
	cfg     Config
	log     *slog.Logger
	reloads chan Config       // holds the newest that was not taken in yet
	own     *metrics.Counters // of the only service, and of the process where there are several
	store   *hotrestart.Store
	conns   *clientConns

	services *services
	diameter *diameterSide                       // nil is none
	fleet    atomic.Pointer[client.QuotaClient]  // nil is no budget beyond this process
	policies atomic.Pointer[client.PolicyClient] // nil is no policy beyond the file of services
	view     atomic.Pointer[freshness.Monitor]   // nil weighs nothing
	comeback *guardedsource.Coordinator          // nil believes all, and asks at once
	memory   *memory                             // nil remembers nothing
	ready    atomic.Bool                         // it takes clients

	// Shared is told whether another process of this proxy lives beside this one, at the start and at each change:
	// the limits are for both together. It may be nil.
	Shared func(bool)
}

// New makes a proxy.
func New(cfg Config, log *slog.Logger) *Proxy {
	classes := make([]string, len(cfg.Module.Classes))
	for i, c := range cfg.Module.Classes {
		classes[i] = c.Name
	}
	p := &Proxy{cfg: cfg, log: log, reloads: make(chan Config, 1), own: metrics.New(classes),
		store: hotrestart.Open(cfg.StateDir, cfg.Name), conns: newClientConns(clientPlaces(&cfg))}
	p.services = newServices(p)
	return p
}

// Reload has the proxy take in a new configuration, whether it serves yet, serves or ends. Only discovery can
// change under way: the rest holds from the start on. One goroutine at a time may call it.
func (p *Proxy) Reload(cfg Config) {
	select {
	case <-p.reloads: // one that is older
	default:
	}
	p.reloads <- cfg
	p.own.ReloadsOK.Add(1)
}

// ReloadFailed notes that there was a new configuration that could not be read.
func (p *Proxy) ReloadFailed(err error) {
	p.log.Error("the old configuration stays", "err", err)
	p.own.ReloadsFailed.Add(1)
}

// takeReloads hands new configurations to the services until ctx ends.
func (p *Proxy) takeReloads(ctx context.Context) {
	for {
		select {
		case cfg := <-p.reloads:
			if err := p.services.reload(ctx, cfg.Discovery); err != nil {
				p.log.Error("the old services stay", "err", err)
				p.own.ReloadsFailed.Add(1)
			}
			p.diameter.reread()
			if err := p.rereadDoor(); err != nil {
				p.log.Error("the old admission stays", "err", err)
				p.own.ReloadsFailed.Add(1)
			}
		case <-ctx.Done():
			return
		}
	}
}

const (
	spareSockets = 32      // descriptors for all but connections of clients and backends
	openSockets  = 1.0 / 3 // of all, that clients hold at most for requests
	followEvery  = 100 * time.Millisecond
	clientPart   = 0.6 // of the others, for clients: one too few there loses a request, one to backends an attempt
)

// watchShare has the process keep to its part while it shares the proxy's limits: from now on, and by what it gives until
// ctx ends.
func (p *Proxy) watchShare() (follow func(ctx context.Context)) {
	shared := false
	look := func(first bool) {
		now := !p.store.OnlyProcess() || p.store.Superseded()
		if now == shared && !first {
			return
		}
		shared = now
		p.services.halve(shared)
		p.conns.setShared(shared)
		if p.conns.door != nil {
			if err := p.conns.door.UseHalf(shared); err != nil {
				p.log.Error("the old admission stays", "err", err)
			}
		}
		if p.Shared != nil {
			p.Shared(shared)
		}
	}
	look(true)
	return func(ctx context.Context) {
		tick := time.NewTicker(followEvery)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				look(false)
			case <-ctx.Done():
				return
			}
		}
	}
}

// bodyRoom is how many bytes the bodies of all requests in hand may have.
func bodyRoom(c *Config) int64 { return int64(inHandPart * float64(c.MemoryMB) * (1 << 20)) }

// clientPlaces is how many connections clients may hold.
func clientPlaces(c *Config) int { return int(clientPart * float64(c.Sockets-spareSockets)) }

// Run serves until ctx ends, and then ends in order. An error says why it could not serve.
func (p *Proxy) Run(ctx context.Context) error {
	listener, err := hotrestart.Listen(p.cfg.PassedSocket, p.cfg.Listen)
	if err != nil {
		return err
	}
	if p.cfg.Console == "" {
		return p.serve(ctx, listener)
	}
	second, err := net.Listen("tcp", p.cfg.Console)
	if err != nil {
		listener.Close()
		return fmt.Errorf("the console: listening: %w", err)
	}
	inner, cancel := context.WithCancel(context.Background()) // it answers until the end
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	running.Go(func() {
		if err := admin.New(operator{p}, p.log).Serve(inner, second); err != nil {
			p.log.Error("no more calls are taken", "err", err)
		}
	})
	return p.serve(ctx, listener)
}

// openDoor reads who is admitted.
func (p *Proxy) openDoor() error {
	file, err := listener.Load(p.cfg.Admission)
	if err != nil {
		return err
	}
	d, err := listener.New(file, listener.Capacity{Conns: clientPlaces(&p.cfg), BodyBytes: bodyRoom(&p.cfg)}, p.cfg.Seed, engine.NewClock().Now, p.store.Path("blocks"))
	if err != nil {
		return err
	}
	if err := d.Restore(); err != nil {
		p.log.Error("the blocks that the process before left can't be read whole", "err", err)
	}
	if file.Requests != nil {
		s := file.RequestSettings()
		p.services.requests = &s
	}
	p.conns.mu.Lock()
	defer p.conns.mu.Unlock()
	p.conns.door = d
	p.conns.turnAway = []byte("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	if caps := &p.cfg.Module.Capabilities; caps.RetryAfter {
		h := http.Header{}
		setRetryAfter(h, min(time.Second, caps.MaxRetryAfter))
		p.conns.turnAway = fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\nRetry-After: %s\r\n\r\n", h.Get("Retry-After"))
	}
	return nil
}

// joinFleet has the fleet's budgets hold here, and the view of its registers weighed, until end is called.
func (p *Proxy) joinFleet() (end func(), err error) {
	file, err := api.Load(p.cfg.Fleet)
	if err != nil {
		return nil, err
	}
	keys, err := file.LoadTLSKeys()
	if err != nil {
		return nil, err
	}
	link := client.NewQuotaClient(client.Config{File: file, ProxyName: p.cfg.Name, Logger: p.log, Transport: api.NewTransport(keys)})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { link.Run(ctx) })
	if keys != nil {
		running.Go(func() { api.WatchTLSKeys(ctx, keys, p.log) })
	}
	p.fleet.Store(link)
	if file.Freshness != nil {
		view := freshness.New(freshness.Config{Freshness: file.Freshness, Logger: p.log})
		running.Go(func() { view.Run(ctx) })
		p.view.Store(view)
	}
	p.services.policyRoutes = file.Policy.RouteByPolicy // nothing runs yet
	p.policies.Store(client.NewPolicyClient(client.Config{File: file, ProxyName: p.cfg.Name, Logger: p.log, Transport: api.NewTransport(keys)}, p.services.takeUp))
	return func() { cancel(); running.Wait() }, nil
}

// rereadDoor takes in other settings of who is admitted. What bounds requests holds from a service's start on.
func (p *Proxy) rereadDoor() error {
	if p.cfg.Admission == "" || p.conns.door == nil {
		return nil
	}
	file, err := listener.Load(p.cfg.Admission)
	if err != nil {
		return err
	}
	return p.conns.door.Reconfigure(file)
}

func (p *Proxy) serve(ctx context.Context, accepting net.Listener) error {
	if _, err := p.store.Refresh(); err != nil {
		p.log.Error("what the process before left can't be read", "err", err)
	}
	if p.cfg.KnownBad != nil {
		p.log.Error("the list that the configuration knows can't be read: discovery is asked for all", "err", p.cfg.KnownBad)
	}
	p.cfg.Module.Capabilities.MaxOpenRequests = int(openSockets * float64(p.cfg.Sockets))
	if p.cfg.Admission != "" {
		if err := p.openDoor(); err != nil {
			accepting.Close()
			return fmt.Errorf("settings: %w", err)
		}
		accepting = p.conns.door.NewListener(accepting, p.log)
	} else {
		// Danger: net/http rests for up to a second when a descriptor is missing, and all clients wait meanwhile.
		accepting = listener.NewListener(accepting, p.log, p.conns.evictIdle, func() {})
	}
	if p.cfg.Fleet != "" {
		end, err := p.joinFleet()
		if err != nil {
			accepting.Close()
			return fmt.Errorf("settings: %w", err)
		}
		defer end() // after all that draws on it has ended
	}
	if p.cfg.Comeback != "" {
		f, err := guardedsource.Load(p.cfg.Comeback)
		if err != nil {
			accepting.Close()
			return fmt.Errorf("settings: %w", err)
		}
		seed := p.cfg.Seed ^ uint64(backendID(p.cfg.Name)) // two proxies of one seed must not ask in step
		p.comeback = guardedsource.NewCoordinator(f, max(1, p.cfg.Module.Instances), seed, engine.NewClock().Now, p.log).LimitBackoff(p.cfg.pace.rest)
		if path := p.store.Path("memory"); f.Snapshot != nil && path != "" {
			p.memory = openMemory(path, f.SnapshotInterval(), f.SnapshotMaxAge())
			p.cfg.Known = p.memory.known(p.cfg.Discovery, p.cfg.Known)
			p.log.Info("what the process before has learned", "recalled", p.memory.report.Recalled, "age_s", p.memory.report.AgeS)
		}
	}
	if p.cfg.Diameter != "" {
		if err := p.openDiameter(); err != nil {
			accepting.Close()
			return fmt.Errorf("settings: %w", err)
		}
	}
	inner, cancel := context.WithCancel(context.Background())
	if err := p.services.start(inner, &p.cfg); err != nil {
		cancel()
		accepting.Close()
		return fmt.Errorf("settings: %w", err)
	}
	f := newFrontend(p.services, &p.cfg, p.log, p.conns)
	p.log.Info("serving", "listen", accepting.Addr().String(), "backends", len(p.cfg.Known.Endpoints))

	var running sync.WaitGroup
	running.Go(func() { p.followPolicy(inner) })
	running.Go(func() { p.takeReloads(inner) })
	running.Go(func() { p.conns.runLameDuck(inner) })
	follow := p.watchShare()
	running.Go(func() { follow(inner) })
	running.Go(func() {
		p.store.Watch(inner, followEvery, p.services.wake, func(err error) {
			p.log.Error("what the other process has written can't be read", "err", err)
		})
	})
	if p.diameter != nil {
		running.Go(func() { p.diameter.run(inner) })
	}
	if p.memory != nil {
		running.Go(func() { p.memory.keep(inner, p) })
	}
	var err error
	served := make(chan error, 1)
	go func() { served <- f.serve(accepting) }()
	p.ready.Store(true)
	if err := p.store.MarkServing(); err != nil {
		p.log.Error("the process before can't be told", "err", err)
	}
	select {
	case err = <-served:
		accepting.Close()
	case <-ctx.Done():
		p.ready.Store(false)
		var both sync.WaitGroup
		if p.diameter != nil { // the engines must outlive both
			both.Go(p.diameter.drain)
		}
		f.drain(accepting, p.cfg.PassedSocket != "" && p.store.Superseded())
		both.Wait()
		err = <-served
	}
	cancel()
	running.Wait()
	p.services.wait()
	return err
}
