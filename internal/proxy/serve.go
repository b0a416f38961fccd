package proxy

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"lapisspread/internal/discovery/guardedsource"
	"lapisspread/internal/engine"
	"lapisspread/internal/listener"
	"lapisspread/internal/sharedids"
)

// Files in the state directory.
const (
	blocksFile    = "blocks"      // prefixes of client addresses that an operator has blocked
	sharedIDsFile = "claimed-ids" // request IDs that the processes have claimed; "ids" of older builds has times of the wall clock
	snapshotFile  = "memory"      // snapshot of endpoint lists and of what the engines have learned
)

// serve runs the proxy on a listening socket until ctx ends, then drains it and waits for all goroutines.
func (p *Proxy) serve(ctx context.Context, accepting net.Listener) error {
	p.recoverState()
	p.openSharedIDs()
	accepting, leaveControlPlane, err := p.prepare(accepting)
	defer leaveControlPlane() // runs last: the services use the control plane's quotas until they end
	if err != nil {
		return closeAfter(accepting, err)
	}
	inner, cancel := context.WithCancel(context.Background())
	if err := p.services.start(inner, &p.cfg); err != nil {
		cancel()
		return closeAfter(accepting, err)
	}
	front := newFrontend(p.services, &p.cfg, p.log, p.conns)
	p.log.Info("serving", "listen", accepting.Addr().String(), "backends", len(p.cfg.InitialEndpoints.Endpoints))
	var running sync.WaitGroup
	p.runBackground(inner, &running)
	err = p.serveClients(ctx, front, accepting)
	cancel()
	running.Wait()
	p.services.wait()
	return err
}

// closeAfter closes the listener after an error during startup, and wraps the error.
func closeAfter(accepting net.Listener, err error) error {
	_ = accepting.Close()
	return fmt.Errorf("settings: %w", err)
}

// recoverState reads which backends operators had detached in the previous process. It logs an error if that can't be
// read or the initial endpoint list is invalid; the proxy starts anyway.
func (p *Proxy) recoverState() {
	if _, err := p.store.Refresh(); err != nil {
		p.log.Error("stored state of the previous process is unreadable; detached backends may be used again", "err", err)
	}
	if err := p.cfg.InitialEndpointsError; err != nil {
		const message = "initial endpoint list in the configuration is invalid; fetching the whole list from discovery"
		p.log.Error(message, "err", err)
	}
}

// openSharedIDs opens the table of request IDs that the processes of this proxy share. Without it, an ID may come again at
// another process during a hot restart. The table stays open until the process ends, since the end of the drain does not
// wait for all requests.
func (p *Proxy) openSharedIDs() {
	path := p.store.Path(sharedIDsFile)
	if path == "" {
		return
	}
	table, err := sharedids.Open(path)
	if err != nil {
		p.log.Error("request IDs are not shared with other processes of this proxy", "err", err)
		return
	}
	p.sharedIDs = table
}

// prepare sets up, before the services start, the parts that the configuration enables: admission control, the control
// plane, the endpoint list guard and Diameter. It returns the wrapped listener. The caller must call
// leaveControlPlane after the services have ended. The listener and leaveControlPlane are valid with an error too.
func (p *Proxy) prepare(accepting net.Listener) (_ net.Listener, leaveControlPlane func(), err error) {
	leaveControlPlane = func() {}
	p.cfg.Decision.Capabilities.MaxOpenRequests = maxOpenRequests(&p.cfg)
	if p.cfg.Diameter != "" { // first: its peers' descriptors lower the limits of the other parts
		if err := p.openDiameter(); err != nil {
			return accepting, leaveControlPlane, err
		}
	}
	if p.cfg.Admission != "" {
		if err := p.openAdmission(); err != nil {
			return accepting, leaveControlPlane, err
		}
		accepting = p.conns.admission.NewListener(accepting, p.log)
	} else {
		// net/http sleeps for up to a second when no descriptor is left, and all new clients would wait. This listener
		// evicts an idle connection instead.
		accepting = listener.NewListener(accepting, p.log, p.conns.evictIdle, func() {})
	}
	if p.cfg.Fleet != "" {
		leave, err := p.joinControlPlane()
		if err != nil {
			return accepting, leaveControlPlane, err
		}
		leaveControlPlane = leave
	}
	if err := p.openListGuard(); err != nil {
		return accepting, leaveControlPlane, err
	}
	return accepting, leaveControlPlane, nil
}

// openAdmission sets up admission control with the settings from its file, and restores the client address blocks
// that operators set in the previous process.
func (p *Proxy) openAdmission() error {
	file, err := listener.Load(p.cfg.Admission)
	if err != nil {
		return err
	}
	capacity := listener.Capacity{Conns: maxClientConns(&p.cfg), BodyBytes: bodyMemoryLimit(&p.cfg)}
	control, err := listener.New(file, capacity, p.cfg.Seed, engine.NewClock().Now, p.store.Path(blocksFile))
	if err != nil {
		return err
	}
	if err := control.Restore(); err != nil {
		p.log.Error("some client address blocks of the previous process are unreadable and no longer apply", "err", err)
	}
	if file.Requests != nil {
		settings := file.RequestSettings()
		p.services.requests = &settings
	}
	p.conns.mu.Lock()
	defer p.conns.mu.Unlock()
	p.conns.admission = control
	return nil
}

// rejectionResponse returns the response that is sent on rejected connections.
func (p *Proxy) rejectionResponse() []byte {
	const head = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n"
	caps := &p.cfg.Decision.Capabilities
	if !caps.RetryAfter {
		return []byte(head + "\r\n")
	}
	h := http.Header{}
	setRetryAfter(h, min(time.Second, caps.MaxRetryAfter))
	return fmt.Appendf(nil, "%sRetry-After: %s\r\n\r\n", head, h.Get("Retry-After"))
}

// reloadAdmission applies the current admission control file. Running services keep their limits on requests in flight.
func (p *Proxy) reloadAdmission() error {
	if p.cfg.Admission == "" || p.conns.admission == nil {
		return nil
	}
	file, err := listener.Load(p.cfg.Admission)
	if err != nil {
		return err
	}
	return p.conns.admission.Reconfigure(file)
}

// openListGuard sets up the endpoint list guard with the settings from its file, and loads the snapshot of the previous
// process.
func (p *Proxy) openListGuard() error {
	if p.cfg.ListGuard == "" {
		return nil
	}
	file, err := guardedsource.Load(p.cfg.ListGuard)
	if err != nil {
		return err
	}
	// The name is mixed in because proxies with the same seed must not poll discovery at the same moments.
	seed := p.cfg.Seed ^ uint64(backendID(p.cfg.Name))
	instances := max(1, p.cfg.Decision.Instances)
	guard := guardedsource.NewCoordinator(file, instances, seed, engine.NewClock().Now, p.log)
	p.listGuard = guard.LimitBackoff(p.cfg.timing.maxBackoff)
	path := p.store.Path(snapshotFile)
	if file.Snapshot == nil || path == "" {
		return nil
	}
	p.snapshots = openSnapshotStore(path, file.SnapshotInterval(), file.SnapshotMaxAge())
	p.cfg.InitialEndpoints = p.snapshots.initialList(p.cfg.Discovery, p.cfg.InitialEndpoints)
	report := p.snapshots.status()
	p.log.Info("snapshot of the previous process", "recalled", report.Recalled, "age_s", report.AgeS)
	return nil
}

// runBackground starts the goroutines that run beside the HTTP front end until ctx ends.
func (p *Proxy) runBackground(ctx context.Context, running *sync.WaitGroup) {
	running.Go(func() { p.runPolicyClient(ctx) })
	running.Go(func() { p.runReloads(ctx) })
	running.Go(func() { p.conns.runOperatorDrain(ctx) })
	runSharing := p.trackSharing()
	running.Go(func() { runSharing(ctx) })
	running.Go(func() {
		p.store.Watch(ctx, storePollInterval, p.services.notifyAll, func(err error) {
			const message = "stored state of the other process is unreadable; its changes to detached backends are not applied"
			p.log.Error(message, "err", err)
		})
	})
	if p.diameter != nil {
		running.Go(func() { p.diameter.run(ctx) })
	}
	if p.snapshots != nil {
		running.Go(func() { p.snapshots.run(ctx, p) })
	}
}

// serveClients runs the front ends until ctx ends and then drains them, or until the listener fails.
func (p *Proxy) serveClients(ctx context.Context, front *httpFrontend, accepting net.Listener) error {
	serveResult := make(chan error, 1)
	go func() { serveResult <- front.serve(accepting) }()
	p.ready.Store(true)
	if err := p.store.MarkServing(); err != nil {
		p.log.Error("previous process could not be notified", "err", err)
	}
	select {
	case err := <-serveResult:
		_ = accepting.Close()
		return err
	case <-ctx.Done():
	}
	p.ready.Store(false)
	var draining sync.WaitGroup
	if p.diameter != nil { // the engines must outlive both front ends
		draining.Go(p.diameter.drain)
	}
	front.drain(accepting, p.cfg.PassedSocket != "" && p.store.Superseded())
	draining.Wait()
	return <-serveResult
}
