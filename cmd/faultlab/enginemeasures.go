package main

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/discovery"
	backrules "lapisspread/internal/discovery/listguard"
	"lapisspread/internal/engine"
	"lapisspread/internal/processquota/limiter"
	"lapisspread/internal/services"
	"lapisspread/internal/staleness"
)

// nowhere is an upstream whose probes pass at once, and a source that has nothing to tell.
type nowhere struct{ probes *atomic.Int64 }

func (n nowhere) Update(engine.EndpointList)                  {}
func (n nowhere) Find(decision.BackendID) engine.Backend      { return n }
func (n nowhere) Release(decision.BackendID)                  {}
func (n nowhere) CheckHealth(context.Context) decision.Result { n.probes.Add(1); return decision.OK }
func (n nowhere) Addr() string                                { return "nowhere" }
func (n nowhere) Close()                                      {}
func (n nowhere) Exchange(context.Context, engine.Attempt) (decision.Result, any) {
	return decision.NotSent, nil
}
func (n nowhere) Fetch(ctx context.Context) (engine.EndpointList, error) {
	<-ctx.Done()
	return engine.EndpointList{}, ctx.Err()
}
func (n nowhere) Watch(ctx context.Context, _ uint32, _ func(engine.EndpointList)) error {
	<-ctx.Done()
	return ctx.Err()
}

func members(first, n int, kind string) []engine.Endpoint {
	list := make([]engine.Endpoint, n)
	for i := range list {
		k := first + i
		list[i] = engine.Endpoint{ID: fmt.Sprintf("dispatch-r%d-z%02d-%05d", k%7, k%22, k), Addr: fmt.Sprintf("10.%d.%d.%d:8080", k>>16&255, k>>8&255, k&255), Zone: "nyarugenge",
			Kind: kind, Cell: k % 40, State: decision.Ready, Weight: 1}
	}
	return list
}

func enginesOf(ctx context.Context, g *rig, engines int) ([]is, error) {
	cfg, err := moduleConfig()
	if err != nil {
		return nil, err
	}
	var probes atomic.Int64
	inner, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	before := runtime.NumGoroutine()
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	was := memory.HeapAlloc + memory.StackInuse
	for i := range engines {
		up := nowhere{&probes}
		e, err := engine.New(engine.Options{Decision: cfg, Seed: uint64(i + 1), InitialEndpoints: engine.EndpointList{Version: 1, Full: true, Endpoints: members(i*perService, perService, "std-1")},
			Zones: []string{"nyarugenge"}, Kinds: []string{"std-1"}, Upstream: up, Source: up})
		if err != nil {
			return nil, err
		}
		running.Go(func() { e.Run(inner) })
	}
	pause := func(d time.Duration) error {
		select {
		case <-time.After(d):
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if err := pause(4 * time.Second); err != nil { // the first probes of all fall into it
		return nil, err
	}
	runtime.GC()
	runtime.ReadMemStats(&memory)
	holds := memory.HeapAlloc + memory.StackInuse
	goroutines := runtime.NumGoroutine() - before
	best, first, since := 0.0, probes.Load(), time.Now()
	for range g.times {
		began, at := cpu(), time.Now()
		if err := pause(1500 * time.Millisecond); err != nil {
			return nil, err
		}
		if share := float64(cpu()-began) / float64(time.Since(at)); best == 0 || share < best {
			best = share
		}
	}
	n := float64(probes.Load()-first) / time.Since(since).Seconds()
	return []is{{"their computing", "% core", 100 * best}, {"heap and stacks", "MB", float64(holds-min(was, holds)) / 1e6}, {"goroutines", "each", float64(goroutines) / float64(engines)}, {"probes", "1/s", n}}, nil
}

// told is a register that tells what a test hands it.
type told struct{ lists chan engine.EndpointList }

func (t *told) Addr() string { return "register" }
func (t *told) Close()       {}
func (t *told) Fetch(ctx context.Context) (engine.EndpointList, error) {
	<-ctx.Done()
	return engine.EndpointList{}, ctx.Err()
}
func (t *told) Watch(ctx context.Context, _ uint32, tell func(engine.EndpointList)) error {
	for {
		select {
		case l := <-t.lists:
			tell(l)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func hubOf(ctx context.Context, g *rig, servers int) ([]is, error) {
	source := &told{make(chan engine.EndpointList)}
	hubs := discovery.NewRegistry(time.Second, func(string) engine.Source { return source })
	all := members(0, servers, "std-1")
	ctx, cancel := context.WithCancel(ctx)
	var watching sync.WaitGroup
	defer watching.Wait()
	defer cancel()
	heard := make(chan uint32, targetServices)
	known := engine.EndpointList{Version: 1, Full: true, Endpoints: all}
	began := cpu()
	for range targetServices {
		f := hubs.Subscribe("register", known)
		if _, ok := f.List(); !ok {
			return nil, fmt.Errorf("the hub does not know its list")
		}
		watching.Go(func() {
			defer f.Close()
			_ = f.Watch(ctx, 1, func(l engine.EndpointList) { heard <- l.Version })
		})
	}
	wait := func(version uint32) error {
		for n := 0; n < targetServices; {
			select {
			case v := <-heard:
				if v == version {
					n++
				}
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		return nil
	}
	if err := wait(1); err != nil {
		return nil, err
	}
	joined := cpu() - began
	version, full, change, zone := uint32(1), time.Duration(0), time.Duration(0), time.Duration(0)
	var draining []engine.Endpoint // here and there in the list
	for i := 0; i < servers; i += targetBackends / zoneBackends {
		m := all[i]
		m.State = decision.Draining
		draining = append(draining, m)
	}
	for range g.times {
		for _, k := range []struct {
			whole   bool
			members []engine.Endpoint
			best    *time.Duration
		}{{true, all, &full}, {false, all[:1], &change}, {false, draining, &zone}} {
			version++
			l, best := engine.EndpointList{Version: version, Full: k.whole, Endpoints: k.members}, k.best
			began := cpu()
			select {
			case source.lists <- l:
			case <-ctx.Done():
				return nil, ctx.Err()
			}
			if err := wait(version); err != nil {
				return nil, err
			}
			if took := cpu() - began; *best == 0 || took < *best {
				*best = took
			}
		}
	}
	return []is{{"1,400 join", "ms", millis(joined)}, {"the whole list told", "ms", millis(full)}, {"one change told", "ms", millis(change)}, {"a zone of it drains", "ms", millis(zone)}}, nil
}

func guardOf(_ context.Context, g *rig, servers int) ([]is, error) {
	all := members(0, servers, "std-1")
	whole := engine.EndpointList{Version: 1, Full: true, Endpoints: all}
	set := backrules.GuardSettings{MaxMissingRatio: .3, MinMissing: 2, RetainFor: 30 * time.Second}
	gone := servers * zoneBackends / targetBackends
	var err error
	make := func() (guard *backrules.Guard) {
		guard, bad := backrules.NewGuard(set, whole)
		if bad != nil {
			err = bad
		}
		return guard
	}
	bytes := heapOf(func() any { return make() })
	guard := make()
	same := g.cost(func() { guard.Apply(time.Second, whole) })
	best := time.Duration(0)
	for range g.times {
		guard := make()
		began := cpu()
		guard.Apply(time.Second, engine.EndpointList{Version: 2, Full: true, Endpoints: all[gone:]})
		if took := cpu() - began; best == 0 || took < best {
			best = took
		}
	}
	return []is{{"held", "MB", bytes / 1e6}, {"the same list again", "ms", millis(same)}, {"a list without a zone", "ms", millis(best)}}, err
}

func viewOf(_ context.Context, g *rig, servers int) ([]is, error) {
	changes := make([]staleness.Change, servers)
	for i := range changes {
		changes[i] = staleness.Change{Entry: staleness.Entry{Name: fmt.Sprintf("dispatch-%05d", i), Kind: "std-1", Route: fmt.Sprint("s", i%max(1, servers/perService)), Incarnation: 1}}
	}
	var v *staleness.View
	var err error
	now := time.Second
	bytes := heapOf(func() any {
		if v, err = staleness.New((&api.FreshnessSettings{}).StalenessSettings(time.Second)); err == nil {
			err = v.ApplyUpdate(now, api.ListSource, staleness.Update{Version: 1, Complete: true, Changes: changes})
		}
		return v
	})
	if err != nil {
		return nil, err
	}
	tick := g.cost(func() {
		now += 100 * time.Millisecond
		_ = v.RecordHeartbeat(now, api.ListSource)
		v.Tick(now)
	})
	return []is{{"held, each", "B", bytes / float64(servers)}, {"a tick", "ms", millis(tick)}, {"ten ticks a second", "% core", millis(tick)}}, nil
}

func limitsOf(_ context.Context, g *rig, n int) ([]is, error) {
	f := &services.File{Version: 1, Limits: services.Limits{LendRatio: .75, RecallDelay: services.Duration(3 * time.Second)}}
	for i := range n {
		f.Services = append(f.Services, services.Service{Name: fmt.Sprint("s", i), Share: services.Share{Min: .5 / float64(n), Cap: 1, Weight: 1}})
	}
	clock := engine.NewClock()
	l := limiter.New(clock.Now)
	if err := l.Reconfigure(f, limiter.Totals{Requests: 100_000, Bytes: 1 << 32, Conns: 100_000, Attempts: 1e6}, nil); err != nil {
		return nil, err
	}
	var err error
	k := 0
	took := g.cost(func() {
		k++
		ask := limiter.Request{Service: f.Services[k%n].Name, Bytes: 1000}
		if why, _ := l.Acquire(ask); why != "" {
			err = fmt.Errorf("refused: %s", why)
		}
		if !l.AcquireConn(ask.Service) {
			err = fmt.Errorf("no connection")
		}
		l.ReleaseConn(ask.Service)
		l.Release(ask)
	})
	return []is{{"take and give, a request with a connection", "us", float64(took) / 1000}, {"at a proxy's rate", "% core", 100 * took.Seconds() * targetRate / targetProxies}}, err
}

// ---- a whole process ----
