package main

import (
	"context"
	"runtime"
	"syscall"
	"time"
)

// The size that the measures work out: docs/CAPACITY.md.
const (
	targetProxies  = 4700
	targetBackends = 53_000
	targetServices = 1400
	targetRoutes   = 13_000
	targetTenants  = 150_000
	targetRate     = 750_000 // requests a second
	perService     = (targetBackends + targetServices - 1) / targetServices
	zoneBackends   = 2400
	someBudgets    = 50
	connectTimeout = 250 * time.Millisecond // assumed: regions are far apart
)

// measure is what is measured at several sizes.
type measure struct {
	name, what, axis string
	sizes            []int
	target           float64
	of               func(ctx context.Context, r *rig, size int) ([]is, error)
}

// is is one value.
type is struct {
	name, unit string
	is         float64
}

// rig is what all measures share.
type rig struct {
	times   int
	program string
}

var measures = []measure{
	{"policy", "a policy of teams with 100 routes each, with their tenants", "routes", []int{1000, 2000, 4000, 8000, targetRoutes, 17_000}, targetRoutes, policyOf},
	{"tenants", "a policy of 13,000 routes", "tenants", []int{20_000, 50_000, 100_000, targetTenants, 190_000}, targetTenants, tenantsOf},
	{"book", "one offer at the stewards' book, within its bounds", "routes", []int{200, 400, 800, 1200}, targetRoutes, bookOf},
	{"lookup", "a request's route", "routes", []int{1000, 4000, targetRoutes, 2 * targetRoutes, 100_000}, targetRoutes, lookupOf},
	{"rollout", "one policy that goes out alone, by the rules", "proxies", []int{100, 300, 1000, 2000, targetProxies}, targetProxies, rolloutOf},
	{"displaced", "of 400 policies to 300 proxies, those that are through before the next", "seconds from one to the next", []int{5, 9, 30, 60, 120, 180, 240, 300}, 9, displacedOf},
	{"report", "reports to a steward, by HTTP on loopback", "reports", []int{10, 30, 100, 300}, 0, reportOf},
	{"grants", "50 budgets, in virtual time", "holders", []int{50, 100, 200, 400}, targetProxies, func(_ context.Context, _ *rig, n int) ([]is, error) { return grantsOf(n, someBudgets) }},
	{"grants-budgets", "100 holders, in virtual time", "budgets", []int{5, 10, 20, 50, 100}, 0, func(_ context.Context, _ *rig, n int) ([]is, error) { return grantsOf(100, n) }},
	{"modules", "decision modules at rest with 38 backends each", "modules", []int{175, 350, 700, targetServices, 2 * targetServices}, targetServices, modulesOf},
	{"backends", "one decision module with many", "backends", []int{38, 150, 600, 2400, 10_000}, targetBackends, backendsOf},
	{"engines", "engines at rest, in real time, with 38 backends each", "engines", []int{175, 350, 700, targetServices}, targetServices, enginesOf},
	{"hub", "one register that 1,400 services follow", "servers", []int{1000, 2000, 4000, 8000, 16_000}, targetBackends, hubOf},
	{"guard", "a list before the rules of coming back", "servers", []int{2000, 4000, 8000, 16_000, targetBackends}, targetBackends, guardOf},
	{"view", "how far a list may be trusted", "servers", []int{1000, 4000, 16_000, targetBackends}, targetBackends, viewOf},
	{"limits", "a request's share of what the process has", "services", []int{64, 175, 350, 700, targetServices, 2 * targetServices}, targetServices, limitsOf},
	{"process", "a lapisspread serve at rest, with 38 backends for each service", "services", []int{16, 32, 64, 128, 256}, targetServices, func(ctx context.Context, r *rig, n int) ([]is, error) { return processOf(ctx, r, n, true) }},
	{"process-unprobed", "the same without probes", "services", []int{16, 32, 64, 128, 256}, targetServices, func(ctx context.Context, r *rig, n int) ([]is, error) { return processOf(ctx, r, n, false) }},
	{"requests", "a lapisspread serve with 16 services, one of as many proxies as these need", "requests a second", []int{40, 80, 160, 320, 640}, 160, requestsOf},
}

// cpu is the processor time of this process, all threads.
func cpu() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cost is the least processor time of a call, of several rounds of at least 20 ms.
func (r *rig) cost(do func()) time.Duration {
	best := time.Duration(0)
	for range r.times {
		runtime.GC()
		began, n := cpu(), 0
		for n == 0 || cpu()-began < 20*time.Millisecond {
			do()
			n++
		}
		if each := (cpu() - began) / time.Duration(n); best == 0 || each < best {
			best = each
		}
	}
	return best
}

// fine is cost for calls of some nanoseconds, in nanoseconds.
func (r *rig) fine(do func()) float64 {
	return float64(r.cost(func() {
		for range 1000 {
			do()
		}
	})) / 1000
}

// heapOf is how many bytes of heap what it makes keeps.
func heapOf(make func() any) float64 {
	heap := func() uint64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	v := make()
	after := heap()
	runtime.KeepAlive(v)
	return float64(max(after, before) - before)
}

// allocated is how many bytes were allocated since the start.
func allocated() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// ---- policies ----
