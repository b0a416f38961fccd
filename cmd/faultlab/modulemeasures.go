package main

import (
	"container/heap"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/faultlab/liverun"
	"lapisspread/internal/faultlab/model"
	"lapisspread/internal/proxy"
)

// settings are a proxy's of a fleet of so many, as the platform tells them.
func settings(proxies, kinds int, probed bool) (map[string]any, error) {
	spec := model.Default()
	spec.Proxies = proxies
	m := liverun.Settings(&spec, 0)
	var names []string
	for i := range kinds {
		names = append(names, fmt.Sprint("k", i))
	}
	m["Kinds"] = names
	caps, ok := m["Caps"].(map[string]any)
	if !ok {
		return nil, fmt.Errorf("the settings have no caps")
	}
	caps["Probes"] = probed
	caps["ConnectTimeout"] = float64(connectTimeout.Milliseconds()) // the module's spans are in these
	return m, nil
}

// writeConfig writes a proxy's configuration.
func writeConfig(dir, discovery string, proxies, kinds int, probed bool) (string, error) {
	set, err := settings(proxies, kinds, probed)
	if err != nil {
		return "", err
	}
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 2.0, "memory_mb": 1024, "sockets": 8192}, "settings": set})
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "config.json")
	return path, os.WriteFile(path, text, 0o600)
}

func moduleConfig() (decision.Config, error) {
	dir, err := os.MkdirTemp("", "faultlab-slopes")
	if err != nil {
		return decision.Config{}, err
	}
	defer os.RemoveAll(dir)
	path, err := writeConfig(dir, "127.0.0.1:1", targetProxies, 1, true)
	if err != nil {
		return decision.Config{}, err
	}
	c, err := proxy.CheckConfig(path, func(string) string { return "" })
	return c.Decision, err
}

// alarm is a module's timer.
type alarm struct {
	at    time.Duration
	seq   int
	of    *atRest
	token uint64
}

type alarms []alarm

func (a alarms) Len() int { return len(a) }
func (a alarms) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a alarms) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *alarms) Push(x any)   { *a = append(*a, x.(alarm)) }
func (a *alarms) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// resting are modules in virtual time that nobody asks for anything. Probes pass at once.
type resting struct {
	now    time.Duration
	seq    int
	alarms alarms
	probes int
	timers int
	all    []*atRest
}

// atRest is one of them, and its host.
type atRest struct {
	of     *resting
	module *decision.Balancer
	probed []decision.BackendID
}

func (h *atRest) Send(decision.RequestID, decision.BackendID, time.Duration) {}
func (h *atRest) Reject(decision.RequestID, time.Duration)                   {}
func (h *atRest) Fail(decision.RequestID)                                    {}
func (h *atRest) Cancel(decision.RequestID, int)                             {}
func (h *atRest) CheckHealth(b decision.BackendID)                           { h.of.probes++; h.probed = append(h.probed, b) }
func (h *atRest) ReleaseIdleConnections(decision.BackendID)                  {}
func (h *atRest) WatchEndpoints(bool)                                        {}
func (h *atRest) FetchEndpoints()                                            {}
func (h *atRest) SendToPeer(uint32, []byte)                                  {}
func (h *atRest) Log(string)                                                 {}
func (h *atRest) StartTimer(d time.Duration, token uint64) {
	h.of.seq++
	heap.Push(&h.of.alarms, alarm{h.of.now + max(d, 0), h.of.seq, h, token})
}

func backendList(first, n int) []decision.Backend {
	list := make([]decision.Backend, n)
	for i := range list {
		list[i] = decision.Backend{ID: decision.BackendID(first + i + 1), Zone: i % 2, Cell: i % 3, State: decision.Ready, Weight: 1}
	}
	return list
}

func newResting(modules, backends int) (*resting, error) {
	cfg, err := moduleConfig()
	if err != nil {
		return nil, err
	}
	r := &resting{now: time.Second}
	for i := range modules {
		h := &atRest{of: r}
		if h.module, err = decision.New(cfg, uint64(i+1), h); err != nil {
			return nil, err
		}
		r.all = append(r.all, h)
		h.module.Start(r.now)
		h.module.UpdateEndpoints(r.now, decision.EndpointUpdate{Kind: decision.UpdateFull, Version: 1, Backends: backendList(i*backends, backends)})
	}
	return r, nil
}

// run plays on.
func (r *resting) run(length time.Duration) {
	for end := r.now + length; len(r.alarms) > 0 && r.alarms[0].at <= end; {
		a := heap.Pop(&r.alarms).(alarm)
		r.now = a.at
		r.timers++
		a.of.module.Timer(r.now, a.token)
		for _, b := range a.of.probed {
			a.of.module.HealthChecked(r.now, decision.HealthCheckResult{Backend: b, Result: decision.OK, Latency: time.Millisecond})
		}
		a.of.probed = a.of.probed[:0]
	}
}

func modulesOf(_ context.Context, g *rig, modules int) ([]is, error) {
	var r *resting
	var err error
	bytes := heapOf(func() any { r, err = newResting(modules, perService); return r })
	if err != nil {
		return nil, err
	}
	r.run(10 * time.Second)
	best, probes, timers := time.Duration(0), 0, 0
	const span = 4 * time.Second
	for range g.times {
		r.probes, r.timers = 0, 0
		began := cpu()
		r.run(span)
		if took := cpu() - began; best == 0 || took < best {
			best = took
		}
		probes, timers = r.probes, r.timers
	}
	return []is{{"held", "MB", bytes / 1e6}, {"timers", "1/s", float64(timers) / span.Seconds()}, {"their computing", "% core", 100 * best.Seconds() / span.Seconds()},
		{"probes", "1/s", float64(probes) / span.Seconds()}, {"probes at a backend, of all proxies", "1/s", float64(probes) / span.Seconds() * targetProxies / float64(modules*perService)}}, nil
}

func backendsOf(_ context.Context, g *rig, backends int) ([]is, error) {
	var r *resting
	var err error
	bytes := heapOf(func() any { r, err = newResting(1, backends); return r })
	if err != nil {
		return nil, err
	}
	r.run(10 * time.Second)
	m := r.all[0].module
	list := backendList(0, backends)
	full := g.cost(func() {
		m.UpdateEndpoints(r.now, decision.EndpointUpdate{Kind: decision.UpdateFull, Version: 2, Backends: list})
	})
	change := g.cost(func() {
		m.UpdateEndpoints(r.now, decision.EndpointUpdate{Kind: decision.UpdateDelta, Version: 2, Backends: list[:1]})
	})
	timers, began := r.timers, cpu()
	for cpu()-began < 20*time.Millisecond {
		r.run(time.Second)
	}
	sweep := (cpu() - began) / time.Duration(max(1, r.timers-timers))
	return []is{{"held, each", "B", bytes / float64(backends)}, {"one timer", "us", float64(sweep) / 1000}, {"the whole list again", "ms", millis(full)}, {"one change", "us", float64(change) / 1000}}, nil
}

// ---- engines and lists ----
