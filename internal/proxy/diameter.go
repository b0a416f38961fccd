package proxy

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/diameter/claim"
	"lapisspread/internal/diameter/frontend"
	"lapisspread/internal/diameter/node"
	"lapisspread/internal/diameter/upstream"
	"lapisspread/internal/engine"
	"lapisspread/internal/idempotency"
	"lapisspread/internal/idempotency/guard"
	"lapisspread/internal/listener"
	"lapisspread/internal/slowpeer"
	"lapisspread/internal/tlskeys"
)

const (
	listenRetryInterval  = 50 * time.Millisecond // between attempts to listen while the old process holds the address
	diameterDrainTimeout = 10 * time.Second      // limit for requests in flight to end and peers to disconnect
	serverDrainTimeout   = 5 * time.Second       // limit for requests in flight to a draining server

	serverWatchdog         = 6 * time.Second        // the shortest watchdog interval that RFC 3539 allows
	serverReopenInterval   = 100 * time.Millisecond // between watchdogs that a server must answer after a reconnect
	serverReconnectDelay   = 200 * time.Millisecond
	serverQueue            = 1 << 20 // requests; never reached, since the engine limits the requests to a server
	certificateCheckPeriod = time.Minute
)

// diameterService is the Diameter front end of a proxy: the node that peers connect to, and the rules, ledger and
// routing that its requests use on their way to a service.
type diameterService struct {
	p     *Proxy
	file  *claim.File
	rules *claim.Rules
	guard *guard.Guard
	front *frontend.Front
	node  *node.Node
	keys  *tlskeys.Keys // nil for plain TCP

	mu       sync.Mutex
	listener net.Listener
	draining bool
}

// openDiameter reads the Diameter settings and creates the node. It opens no socket. Errors are those of the settings.
func (p *Proxy) openDiameter() error {
	d := &diameterService{p: p}
	var err error
	d.file, d.rules, err = claim.Load(p.cfg.Diameter)
	if err != nil {
		return err
	}
	if err := d.checkClasses(); err != nil {
		return err
	}
	if d.file.Listen != "" {
		p.cfg.peerSockets = maxPeerConns(&p.cfg, d.file.Limits.Peers)
		p.conns.setMaxOpen(maxClientConns(&p.cfg))
	}
	if err := d.loadKeys(); err != nil {
		return fmt.Errorf("%s: tls: %w", p.cfg.Diameter, err)
	}
	ledger := ""
	if p.cfg.StateDir != "" && d.file.Ledger.File != "" {
		ledger = filepath.Join(p.cfg.StateDir, d.file.Ledger.File)
	}
	d.guard, err = guard.New(guard.Options{
		Ledger: ledgerSettings(d.file, &p.cfg.Decision),
		Path:   ledger,
		Now:    engine.NewClock().Now,
		Log:    p.log,
	})
	if err != nil {
		return fmt.Errorf("%s: %w", p.cfg.Diameter, err)
	}
	d.front = frontend.New(frontend.Settings{
		Rules:  d.rules,
		Host:   d.file.Host,
		Realm:  d.file.Realm,
		Guard:  d.guard,
		Route:  d.route,
		Unsafe: p.services.hasUnsafeClass,
		Slack:  responseMargin,
		Log:    p.log,
	})
	settings := d.settings()
	settings.Allow = d.front.Allow
	settings.MayReject = d.front.MayReject
	settings.Handle = d.front.Handle
	d.node, err = node.New(settings)
	if err != nil {
		return fmt.Errorf("%s: %w", p.cfg.Diameter, err)
	}
	p.diameter = d
	return nil
}

// checkClasses returns an error if the rules name a class that the only service does not have. With several services
// the class is looked up for each request.
func (d *diameterService) checkClasses() error {
	cfg := &d.p.cfg
	if cfg.Services != "" {
		return nil
	}
	for i, class := range d.rules.Classes() {
		hasName := func(c decision.Class) bool { return c.Name == class }
		if !slices.ContainsFunc(cfg.Decision.Classes, hasName) {
			return fmt.Errorf("%s: command[%d]: class: no class is named %q", cfg.Diameter, i, class)
		}
	}
	return nil
}

// loadKeys reads the certificate and key if TLS is configured. Their paths are relative to the directory of the
// settings.
func (d *diameterService) loadKeys() error {
	t := d.file.TLS
	if t == nil {
		return nil
	}
	path := func(name string) string { return claim.Beside(d.p.cfg.Diameter, name) }
	var err error
	d.keys, err = tlskeys.Load(tlskeys.Files{
		Certificate: path(t.Certificate),
		Key:         path(t.Key),
		CA:          path(t.CA),
	})
	return err
}

// ledgerSettings returns the settings of the ledger. A sender may fail over to another proxy if there are several.
func ledgerSettings(file *claim.File, module *decision.Config) idempotency.Settings {
	settings := file.LedgerSettings(0)
	settings.Shared = module.Instances > 1
	return settings
}

// settings returns the settings shared by the node for peers and the nodes for servers.
func (d *diameterService) settings() node.Settings {
	f := d.file
	return node.Settings{
		Host:       f.Host,
		Realm:      f.Realm,
		Apps:       f.Applications,
		Dict:       d.rules.Dictionary(),
		StateID:    uint32(time.Now().Unix()),
		Watchdog:   time.Duration(f.Watchdog),
		Handshake:  time.Duration(f.Handshake),
		Goodbye:    time.Duration(f.Goodbye),
		Peers:      maxPeerConns(&d.p.cfg, f.Limits.Peers),
		Handshakes: f.Limits.Handshakes,
		InHand:     f.Limits.InHand,
		Bytes:      f.Limits.Bytes,
		Queue:      f.Limits.Queue,
		Log:        d.p.log,
		Seed:       d.p.cfg.Seed,
	}
}

// diameterUpstream returns the upstream of a service whose servers speak Diameter. It fails without --diameter, whose
// settings have the proxy's own Diameter host and realm.
func (p *Proxy) diameterUpstream(module *decision.Config) (*upstream.Upstream, error) {
	d := p.diameter
	if d == nil {
		// The text means: a service with this upstream requires --diameter, whose file has the proxy's name.
		return nil, errors.New("upstream: \"diameter\" asks for --diameter: it says who we are")
	}
	connectTimeout := module.Capabilities.ConnectTimeout
	settings := d.settings()
	settings.Watchdog = serverWatchdog
	settings.Reopen = serverReopenInterval
	settings.Reconnect = serverReconnectDelay
	settings.Queue = serverQueue
	settings.Handshake = connectTimeout
	if d.keys != nil {
		settings.TLS = func() *tls.Config { return d.keys.ClientConfig("") }
	}
	n, err := node.New(settings)
	if err != nil {
		return nil, err
	}
	return upstream.New(n, connectTimeout, serverDrainTimeout), nil
}

// run reads the idempotency ledger and serves peers until ctx ends or drain is called. It returns after ctx has ended,
// or earlier if drain was called before the address was free.
func (d *diameterService) run(ctx context.Context) {
	log := d.p.log
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() {
		if err := d.guard.Open(ctx); err != nil && ctx.Err() == nil {
			log.Error("idempotency ledger unreadable, rejecting Diameter requests that are not idempotent", "err", err)
		}
	})
	stop := context.AfterFunc(ctx, d.node.Close)
	defer stop()
	if d.keys != nil {
		tick := time.NewTicker(certificateCheckPeriod)
		defer tick.Stop()
		running.Go(func() {
			d.keys.Watch(tick.C, ctx.Done(), d.certificateReloaded, func(left time.Duration) {
				log.Warn("Diameter certificate expires soon", "left", left.Round(time.Hour))
			})
		})
	}
	if d.file.Listen == "" {
		<-ctx.Done()
		return
	}
	if d.servePeers(ctx) {
		<-ctx.Done()
	}
}

// servePeers accepts peers until drain is called (true), or until ctx ends (false). If the listening socket fails, it
// listens anew.
func (d *diameterService) servePeers(ctx context.Context) (drained bool) {
	for {
		l := d.listen(ctx)
		if l == nil {
			return false
		}
		d.p.log.Info("serving Diameter", "listen", l.Addr().String(), "host", d.file.Host)
		err := d.node.Serve(l)
		if err == nil {
			return true
		}
		d.p.log.Error("Diameter listener failed, listening again", "err", err)
		_ = l.Close()
	}
}

// listen waits until the address is free: during a hot restart the previous process listens on it until it ends. It
// returns nil if ctx ends or drain is called first.
func (d *diameterService) listen(ctx context.Context) net.Listener {
	for logged := false; ; {
		l, err := net.Listen("tcp", d.file.Listen)
		if err == nil {
			return d.openListener(l)
		}
		if !logged {
			d.p.log.Warn("Diameter address in use, retrying", "err", err)
			logged = true
		}
		select {
		case <-time.After(listenRetryInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

// openListener wraps a listener with admission control and TLS, and stores it for drain. If drain was called before,
// it closes the listener and returns nil.
func (d *diameterService) openListener(l net.Listener) net.Listener {
	l = &peerListener{Listener: listener.NewListener(l, d.p.log, d.evictIdleClient, func() {}), conns: d.p.conns}
	if d.keys != nil {
		l = tls.NewListener(slowpeer.Listener{Listener: l, Limit: d.node.WriteLimit()}, d.keys.ServerConfig())
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		_ = l.Close()
		return nil
	}
	d.listener = l
	return l
}

// evictIdleClient closes an idle connection of an HTTP client to free a descriptor, unless admission control decides
// that, and reports whether there was one.
func (d *diameterService) evictIdleClient() bool {
	return d.p.conns.admission == nil && d.p.conns.evictIdle()
}

// drain stops the service: requests in flight are answered, peers are disconnected, and the ledger is closed for the
// next process. It blocks for at most diameterDrainTimeout and the close of the ledger.
func (d *diameterService) drain() {
	d.mu.Lock()
	d.draining = true
	if d.listener != nil {
		_ = d.listener.Close()
	}
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), diameterDrainTimeout)
	defer cancel()
	d.node.Drain(ctx)
	if err := d.guard.Close(); err != nil {
		d.p.log.Error("idempotency ledger could not be closed", "err", err)
	}
}

// reload reads the certificate again. Other Diameter settings are not reloaded. d may be nil.
func (d *diameterService) reload() {
	if d != nil && d.keys != nil {
		d.certificateReloaded(d.keys.Reload())
	}
}

// certificateReloaded logs the result of a reload of the certificate.
func (d *diameterService) certificateReloaded(err error) {
	if err != nil {
		d.p.reloadFailed("keeping the old certificate", err)
		return
	}
	// holds_for is the time until the certificate expires.
	d.p.log.Info("certificate reloaded", "holds_for", d.keys.Remaining().Round(time.Hour))
}

// report returns what the admin command DIAMETER shows.
func (d *diameterService) report() any {
	var peers []node.Status
	for _, p := range d.node.Peers() {
		peers = append(peers, p.Status())
	}
	slices.SortFunc(peers, func(a, b node.Status) int { return cmp.Compare(a.Host, b.Host) })
	nodeCounts := &d.node.Counts
	frontCounts := &d.front.Counts
	return map[string]any{
		"peers":  peers,
		"ledger": d.guard.Report(),
		"connections": map[string]int64{
			"accepted": nodeCounts.Accepted.Load(),
			"rejected": nodeCounts.Rejected.Load(),
			"garbage":  nodeCounts.Garbage.Load(),
			"slow":     nodeCounts.Slow.Load(),
			"suspects": nodeCounts.Suspects.Load(),
		},
		"requests": map[string]int64{
			"came":     nodeCounts.Requests.Load(),
			"busy":     nodeCounts.Busy.Load(),
			"wrong":    nodeCounts.Wrong.Load() + frontCounts.Wrong.Load(),
			"served":   frontCounts.Served.Load(),
			"refused":  frontCounts.Refused.Load(),
			"failed":   frontCounts.Failed.Load(),
			"repeated": frontCounts.Repeated.Load(),
		},
	}
}
