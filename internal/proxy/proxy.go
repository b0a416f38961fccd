// Package proxy is a proxy on real sockets around the decisions of package decision: it carries out what
// they say, and tells them what comes of it.
package proxy

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"lapisspread/internal/console"
	"lapisspread/internal/engine"
	"lapisspread/internal/figures"
	"lapisspread/internal/handover"
)

// Proxy is a whole proxy: what Run needs beside its configuration.
type Proxy struct {
	cfg     Config
	log     *slog.Logger
	reloads chan Config // holds the newest that was not taken in yet
	figures *figures.Figures
	store   *handover.Store
	roster  *roster
	conns   *clientConns
	ready   atomic.Bool // it takes clients

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
	return &Proxy{cfg: cfg, log: log, reloads: make(chan Config, 1), figures: figures.New(classes),
		store: handover.Open(cfg.StateDir, cfg.Name), roster: newRoster(), conns: newClientConns(clientPlaces(&cfg))}
}

// Reload has the proxy take in a new configuration, whether it serves yet, serves or ends. Only discovery can
// change under way: the rest holds from the start on. One goroutine at a time may call it.
func (p *Proxy) Reload(cfg Config) {
	select {
	case <-p.reloads: // one that is older
	default:
	}
	p.reloads <- cfg
	p.figures.ReloadsOK.Add(1)
}

// ReloadFailed notes that there was a new configuration that could not be read.
func (p *Proxy) ReloadFailed(err error) {
	p.log.Error("the old configuration stays", "err", err)
	p.figures.ReloadsFailed.Add(1)
}

// takeReloads hands new configurations to the engine until ctx ends.
func (p *Proxy) takeReloads(ctx context.Context, e *engine.Engine) {
	for {
		select {
		case cfg := <-p.reloads:
			e.Post(func() {
				if cfg.Discovery != e.Source().Addr() {
					e.MoveTo(newDiscovery(cfg.Discovery))
				}
			})
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

// watchShare has the process keep to its part while it shares the proxy's limits, until ctx ends.
func (p *Proxy) watchShare(ctx context.Context, pool *pool) {
	all := pool.most
	shared := false
	look := func(first bool) {
		now := !p.store.Alone() || p.store.Succeeded()
		if now == shared && !first {
			return
		}
		shared = now
		if shared {
			pool.limitOpen(all / 2)
		} else {
			pool.limitOpen(all)
		}
		if p.Shared != nil {
			p.Shared(shared)
		}
	}
	look(true)
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

// clientPlaces is how many connections clients may hold.
func clientPlaces(c *Config) int { return int(clientPart * float64(c.Sockets-spareSockets)) }

// Run serves until ctx ends, and then ends in order. An error says why it could not serve.
func (p *Proxy) Run(ctx context.Context) error {
	listener, err := handover.Listen(p.cfg.PassedSocket, p.cfg.Listen)
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
		if err := console.New(operator{p}, p.log).Serve(inner, second); err != nil {
			p.log.Error("no more calls are taken", "err", err)
		}
	})
	return p.serve(ctx, listener)
}

func (p *Proxy) serve(ctx context.Context, listener net.Listener) error {
	if _, err := p.store.Refresh(); err != nil {
		p.log.Error("what the process before left can't be read", "err", err)
	}
	pool := newPool(p.cfg.Sockets-spareSockets-clientPlaces(&p.cfg), p.cfg.Module.Caps.ConnectTimeout, p.cfg.Module.Caps.ConnIdle)
	p.cfg.Module.Caps.MaxOpen = int(openSockets * float64(p.cfg.Sockets))
	pool.attempts = &p.figures.Attempts
	e, err := engine.New(engine.Options{Module: p.cfg.Module, Seed: p.cfg.Seed, Known: p.cfg.Known, Zones: p.cfg.Zones, Kinds: p.cfg.Kinds,
		Upstream: pool, Source: newDiscovery(p.cfg.Discovery), Log: p.log, Out: p.store.Out, Wake: p.roster.wake, Listed: p.roster.add,
		Census: func(known, excluded int) {
			p.figures.BackendsKnown.Store(int64(known))
			p.figures.BackendsExcluded.Store(int64(excluded))
		}})
	if err != nil {
		listener.Close()
		return fmt.Errorf("settings: %w", err)
	}
	f := newFrontend(e, &p.cfg, p.figures, p.log, p.conns)
	p.log.Info("serving", "listen", listener.Addr().String(), "backends", len(p.cfg.Known.Members))

	inner, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { e.Run(inner) })
	running.Go(func() { pool.runRetire(inner) })
	running.Go(func() { p.takeReloads(inner, e) })
	running.Go(func() { p.conns.runLameDuck(inner) })
	running.Go(func() { p.watchShare(inner, pool) })
	running.Go(func() {
		p.store.Follow(inner, followEvery, p.roster.wakeLoop, func(err error) {
			p.log.Error("what the other process has written can't be read", "err", err)
		})
	})
	served := make(chan error, 1)
	go func() { served <- f.serve(listener) }()
	p.ready.Store(true)
	if err := p.store.Serve(); err != nil {
		p.log.Error("the process before can't be told", "err", err)
	}
	select {
	case err = <-served:
		listener.Close()
	case <-ctx.Done():
		p.ready.Store(false)
		f.drain(listener, p.cfg.PassedSocket != "" && p.store.Succeeded())
		err = <-served
	}
	cancel()
	running.Wait()
	return err
}
