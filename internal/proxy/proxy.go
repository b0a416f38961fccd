package proxy

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"lapisspread/internal/admin"
	"lapisspread/internal/controlplane/client"
	"lapisspread/internal/controlplane/freshness"
	"lapisspread/internal/discovery/guardedsource"
	"lapisspread/internal/hotrestart"
	"lapisspread/internal/membudget"
	"lapisspread/internal/metrics"
	"lapisspread/internal/sharedids"
)

// storePollInterval is the interval for polling the files that the processes of one proxy share.
const storePollInterval = 100 * time.Millisecond

// Proxy is a proxy process. Make it with New and run it once with Run.
type Proxy struct {
	cfg      Config
	log      *slog.Logger
	reloads  chan Config       // buffered, 1 item; the newest configuration that is not applied yet
	counters *metrics.Counters // of the only service, or of the process if there are several services
	store    *hotrestart.Store
	conns    *clientConns
	memory   *membudget.Budget // of what is held for clients, peers and backends
	// sharedIDs are the request IDs of all processes of this proxy; nil without a state directory.
	sharedIDs *sharedids.Table

	services     *serviceSet
	diameter     *diameterService                    // nil if Diameter is disabled
	quotaClient  atomic.Pointer[client.QuotaClient]  // nil without a control plane
	policyClient atomic.Pointer[client.PolicyClient] // nil without a control plane
	freshness    atomic.Pointer[freshness.Monitor]   // nil if the freshness of endpoint lists is not monitored
	listGuard    *guardedsource.Coordinator          // nil if the endpoint list guard is disabled
	snapshots    *snapshotStore                      // nil if no snapshot is stored for the next process
	ready        atomic.Bool                         // true while clients are served, before a drain

	// Shared is called at the start and at each change with whether another process of this proxy runs beside this one.
	// The configured limits then hold for both together. It may be nil, and must not block.
	Shared func(bool)
}

// New makes a proxy. It opens no files or sockets.
func New(cfg Config, log *slog.Logger) *Proxy {
	p := &Proxy{
		cfg:      cfg,
		log:      log,
		reloads:  make(chan Config, 1),
		counters: metrics.New(classNames(&cfg.Decision)),
		store:    hotrestart.Open(cfg.StateDir, cfg.Name),
		conns:    newClientConns(maxClientConns(&cfg)),
		memory:   membudget.New(cfg.peerMemoryLimit(false)),
	}
	p.conns.memory = p.memory
	p.conns.rejectionResponse = p.rejectionResponse()
	p.services = newServices(p)
	return p
}

// Reload queues a new configuration, which replaces one that is still queued, and returns before it is applied. It may
// be called before, during and after Run, by one goroutine at a time. Only the discovery address and the files that the
// configuration names are reloaded; other changes have no effect.
func (p *Proxy) Reload(cfg Config) {
	select {
	case <-p.reloads: // discards an older one
	default:
	}
	p.reloads <- cfg
	p.counters.ReloadsOK.Add(1)
}

// ReloadFailed counts and logs a new configuration that could not be read.
func (p *Proxy) ReloadFailed(err error) {
	p.reloadFailed("keeping the old configuration", err)
}

// reloadFailed counts and logs a part of a new configuration that was not applied; message says what stays in force.
func (p *Proxy) reloadFailed(message string, err error) {
	p.log.Error(message, "err", err)
	p.counters.ReloadsFailed.Add(1)
}

// runReloads applies queued configurations until ctx ends.
func (p *Proxy) runReloads(ctx context.Context) {
	for {
		select {
		case cfg := <-p.reloads:
			if err := p.services.reload(ctx, cfg.Discovery); err != nil {
				p.reloadFailed("keeping the old services", err)
			}
			p.diameter.reload()
			if err := p.reloadAdmission(); err != nil {
				p.reloadFailed("keeping the old admission settings", err)
			}
		case <-ctx.Done():
			return
		}
	}
}

// trackSharing halves the process's limits while another process of this proxy runs beside it. It sets them once before
// it returns; the returned function blocks and adjusts them until its ctx ends.
func (p *Proxy) trackSharing() (run func(ctx context.Context)) {
	shared := p.isShared()
	p.setShared(shared)
	return func(ctx context.Context) {
		tick := time.NewTicker(storePollInterval)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
			case <-ctx.Done():
				return
			}
			if current := p.isShared(); current != shared {
				shared = current
				p.setShared(shared)
			}
		}
	}
}

// isShared reports whether another process of this proxy runs.
func (p *Proxy) isShared() bool { return !p.store.OnlyProcess() || p.store.Superseded() }

// setShared halves the limits on services, client connections and admission, or restores them.
func (p *Proxy) setShared(shared bool) {
	p.services.setHalfCapacity(shared)
	p.conns.setShared(shared)
	p.memory.SetLimit(p.cfg.peerMemoryLimit(shared))
	if p.conns.admission != nil {
		if err := p.conns.admission.UseHalf(shared); err != nil {
			p.log.Error("keeping the old admission settings", "err", err)
		}
	}
	if p.Shared != nil {
		p.Shared(shared)
	}
}

// Run serves until ctx ends, then drains, and returns once all goroutines have ended. An error means that the proxy
// could not start or that its listener failed.
func (p *Proxy) Run(ctx context.Context) error {
	listener, err := hotrestart.Listen(p.cfg.PassedSocket, p.cfg.Listen)
	if err != nil {
		return err
	}
	if p.cfg.AdminListen == "" {
		return p.serve(ctx, listener)
	}
	adminListener, err := net.Listen("tcp", p.cfg.AdminListen)
	if err != nil {
		_ = listener.Close()
		return fmt.Errorf("admin server: listening: %w", err)
	}
	inner, cancel := context.WithCancel(context.Background()) // admin connections are served until the end of the drain
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	running.Go(func() {
		if err := admin.New(adminBackend{p}, p.log).Serve(inner, adminListener); err != nil {
			p.log.Error("admin server failed", "err", err)
		}
	})
	return p.serve(ctx, listener)
}
