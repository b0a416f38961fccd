package main

import (
	"container/heap"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/discovery"
	backrules "lapisspread/internal/discovery/listguard"
	"lapisspread/internal/engine"
	"lapisspread/internal/faultlab/liverun"
	"lapisspread/internal/faultlab/model"
	"lapisspread/internal/faultlab/quotasim"
	"lapisspread/internal/policy/namespace"
	"lapisspread/internal/policy/rollout"
	"lapisspread/internal/policy/store"
	"lapisspread/internal/processquota/limiter"
	"lapisspread/internal/proxy"
	"lapisspread/internal/route"
	"lapisspread/internal/services"
	"lapisspread/internal/staleness"
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

// teams are a charter and the files of teams with a hundred routes and eleven services each; tenants are spread over all routes.
func teams(routes, tenants int) (charter string, files []string) {
	var c strings.Builder
	c.WriteString("version = 1\n")
	for t := 0; t*100 < routes; t++ {
		fmt.Fprintf(&c, "[[namespace]]\nname = \"t%d\"\nowner = \"o\"\nhosts = [\"t%d.example.org\"]\nsettings = [\"route\", \"service\"]\n", t, t)
		files = append(files, teamFile(t, 1, min(100, routes-t*100), routes, tenants))
	}
	return c.String(), files
}

func teamFile(t, number, own, routes, tenants int) string {
	var f strings.Builder
	fmt.Fprintf(&f, "version = 1\nnamespace = \"t%d\"\nnumber = %d\n", t, number)
	for s := range 11 {
		fmt.Fprintf(&f, "[[service]]\nname = \"s%d-%d\"\n", t, s)
	}
	for i := range own {
		r := t*100 + i
		fmt.Fprintf(&f, "[[route]]\nname = \"r%d\"\nhost = \"t%d.example.org\"\npath_prefix = \"/api/v%d/p%d\"\n", i, t, i%7, i)
		if list := tenantsOfRoute(r, routes, tenants); len(list) > 0 {
			fmt.Fprintf(&f, "tenants = [\"%s\"]\n", strings.Join(list, `", "`))
		}
		fmt.Fprintf(&f, "to = [{ service = \"s%d-%d\" }]\n", t, i%11)
	}
	return f.String()
}

func tenantsOfRoute(r, routes, tenants int) (list []string) {
	for k := r; k < tenants; k += routes {
		list = append(list, fmt.Sprintf("tenant-%06d", k))
	}
	return list
}

func policyOf(_ context.Context, r *rig, routes int) ([]is, error) {
	return policy(r, routes, routes*targetTenants/targetRoutes)
}

func tenantsOf(_ context.Context, r *rig, tenants int) ([]is, error) {
	return policy(r, targetRoutes, tenants)
}

func policy(r *rig, routes, tenants int) ([]is, error) {
	charter, files := teams(routes, tenants)
	c, err := namespace.ParseDeclaration("charter", []byte(charter))
	if err != nil {
		return nil, err
	}
	total := 0
	var all []*namespace.File
	parse := func() {
		all = all[:0]
		for i, text := range files {
			n, bad := namespace.Parse(fmt.Sprint("t", i), []byte(text))
			if bad != nil {
				err = bad
				return
			}
			all = append(all, n)
		}
	}
	for _, text := range files {
		total += len(text)
	}
	parsed := r.cost(parse)
	if err != nil {
		return nil, err
	}
	out := namespace.Merge(c, nil, all)
	if len(out.Withheld) > 0 || len(out.Policy.Routes) != routes {
		return nil, fmt.Errorf("%d held, %d routes", len(out.Withheld), len(out.Policy.Routes))
	}
	next, err := namespace.Parse("t0", []byte(teamFile(0, 2, min(100, routes), routes, tenants)))
	if err != nil {
		return nil, err
	}
	merged := r.cost(func() { namespace.Merge(c, out.Accepted, []*namespace.File{next}) })
	text := out.Policy.Encode()
	encoded := r.cost(func() { out.Policy.Encode() })
	decoded := r.cost(func() { _, err = namespace.Decode(text) })
	if err != nil {
		return nil, err
	}
	compiled := r.cost(func() { _, err = out.Policy.Table() })
	if err != nil {
		return nil, err
	}
	kept := heapOf(func() any { p, _ := namespace.Decode(text); return p })
	table := heapOf(func() any { t, _ := out.Policy.Table(); return t })
	before := allocated()
	taken, err := namespace.Decode(text)
	if err != nil {
		return nil, err
	}
	if _, err = taken.Table(); err != nil {
		return nil, err
	}
	garbage := float64(allocated() - before)
	runtime.KeepAlive(out)
	// What the book keeps: its good files, and four policies with theirs.
	snapshot := func() []byte {
		type kept struct {
			Files []string
			Text  string
		}
		var s struct {
			Good []string
			Kept [4]kept
		}
		s.Good = files
		for i := range s.Kept {
			s.Kept[i] = kept{files, string(text)}
		}
		b, _ := json.Marshal(s)
		return b
	}
	size := len(snapshot())
	wrote := r.cost(func() { snapshot() })
	return []is{{"files", "KB", float64(total) / 1000}, {"charter", "KB", float64(len(charter)) / 1000}, {"encoded", "KB", float64(len(text)) / 1000},
		{"a second, one each 9.1 s", "KB", float64(len(text)) / 1000 / 9.1}, {"parse all files", "ms", millis(parsed)}, {"merge one changed", "ms", millis(merged)},
		{"encode and hash", "ms", millis(encoded)}, {"offer: parse, merge, encode", "ms", millis(parsed + merged + encoded)}, {"snapshot, four kept", "KB", float64(size) / 1000},
		{"write a snapshot", "ms", millis(wrote)}, {"decode", "ms", millis(decoded)}, {"compile the table", "ms", millis(compiled)},
		{"take up, one each 9.1 s", "% core", float64(decoded+compiled) / 9.1e7}, {"policy held", "MB", kept / 1e6}, {"table held", "MB", table / 1e6}, {"allocated to take it up", "MB", garbage / 1e6}}, nil
}

func bookOf(_ context.Context, r *rig, routes int) ([]is, error) {
	tenants := routes * targetTenants / targetRoutes
	var b *store.StateMachine
	number := 1
	var err error
	offer := func() {
		number++
		if bad := b.Apply(store.Command{SubmitFile: &store.SubmitFile{Text: teamFile(0, number, min(100, routes), routes, tenants)}}); bad != nil {
			err = bad
		}
	}
	bytes := heapOf(func() any {
		charter, files := teams(routes, tenants)
		b = store.New(0)
		err = b.Apply(store.Command{SetDeclaration: &store.SetDeclaration{Text: charter}})
		for _, text := range files {
			if err == nil {
				err = b.Apply(store.Command{SubmitFile: &store.SubmitFile{Text: text}})
			}
		}
		for range store.MaxRetainedPolicies {
			if err == nil {
				offer()
			}
		}
		return b
	})
	if err != nil {
		return nil, err
	}
	took := r.cost(offer)
	if err != nil {
		return nil, err
	}
	s, err := b.Snapshot()
	if err != nil {
		return nil, err
	}
	wrote := r.cost(func() { _, _ = b.Snapshot() })
	return []is{{"held", "MB", bytes / 1e6}, {"one offer", "ms", millis(took)}, {"snapshot", "KB", float64(len(s)) / 1000}, {"write a snapshot", "ms", millis(wrote)}}, nil
}

func lookupOf(_ context.Context, r *rig, routes int) ([]is, error) {
	tenants := routes * targetTenants / targetRoutes
	var rules []route.Rule
	for i := range routes {
		t := i / 100
		rules = append(rules, route.Rule{Name: fmt.Sprint("t", t, "/r", i%100), Host: fmt.Sprintf("t%d.example.org", t), PathPrefix: fmt.Sprintf("/api/v%d/p%d", i%7, i%100),
			Tenants: tenantsOfRoute(i, routes, tenants), To: []route.Target{{Service: "s", Weight: 1}}})
	}
	table, err := route.Compile(rules, "rest")
	if err != nil {
		return nil, err
	}
	rng := rand.New(rand.NewPCG(1, 1))
	ask := make([]route.Request, 4096)
	for i := range ask {
		k := rng.IntN(routes)
		ask[i] = route.Request{Host: rules[k].Host, Path: rules[k].PathPrefix + "/x", Method: "POST", Class: "c", Tenant: rules[k].Tenants[0]}
	}
	n := 0
	took := r.fine(func() {
		n++
		if _, v := table.Lookup(&ask[n%len(ask)]); v != route.Found {
			err = fmt.Errorf("%+v: %v", ask[n%len(ask)], v)
		}
	})
	return []is{{"lookup", "ns", took}}, err
}

// ---- roll-outs ----

// rolling is a fleet whose proxies report each second what a proxy answers, all of it well.
type rolling struct {
	rule   *rollout.Rollout
	names  []string
	number uint64
}

func newRolling(proxies int) (*rolling, error) {
	rule, err := rollout.New(rollout.DefaultSettings(), rollout.Version{Generation: 1, Epoch: 1, Hash: "1"})
	if err != nil {
		return nil, err
	}
	f := &rolling{rule: rule}
	for i := range proxies {
		f.names = append(f.names, fmt.Sprint("p", i))
	}
	rule.SetMembers(0, f.names)
	return f, nil
}

func (f *rolling) reports(now time.Duration) {
	f.number++
	for _, name := range f.names {
		f.rule.Report(now, rollout.Report{Proxy: name, Sequence: f.number, Current: f.rule.Target(name), Good: targetRate / targetProxies})
	}
}

func rolloutOf(_ context.Context, r *rig, proxies int) ([]is, error) {
	f, err := newRolling(proxies)
	if err != nil {
		return nil, err
	}
	if err := f.rule.Start(0, 2, "2", 2); err != nil {
		return nil, err
	}
	now, state := time.Duration(0), rollout.InProgress
	for state == rollout.InProgress && now < time.Hour {
		now += time.Second
		f.reports(now)
		f.rule.Tick(now)
		f.rule.Tick(now)
		state, _ = f.rule.State()
	}
	if state != rollout.Done {
		return nil, fmt.Errorf("%v after an hour", state)
	}
	g, err := newRolling(proxies)
	if err != nil {
		return nil, err
	}
	if err := g.rule.Start(0, 2, "2", 2); err != nil {
		return nil, err
	}
	members := r.cost(func() { g.rule.SetMembers(0, g.names) })
	reports := r.cost(func() { g.reports(0) })
	return []is{{"until all have it, alone", "s", now.Seconds()}, {"Members, ten a second", "ms", millis(members)},
		{"the rules, Members ten a second and a report of each", "% core", (10*millis(members) + millis(reports)) / 10}}, nil
}

func displacedOf(_ context.Context, _ *rig, gap int) ([]is, error) {
	f, err := newRolling(300)
	if err != nil {
		return nil, err
	}
	through, epoch, now := 0, uint64(1), time.Duration(0)
	for range 400 {
		epoch++
		if err := f.rule.Start(now, epoch, strconv.FormatUint(epoch, 10), epoch); err != nil {
			return nil, err
		}
		done := false
		for range gap {
			now += time.Second
			f.reports(now)
			f.rule.Tick(now)
			f.rule.Tick(now)
			state, _ := f.rule.State()
			done = done || state == rollout.Done
		}
		if done {
			through++
		}
	}
	return []is{{"through, of 400", "policies", float64(through)}}, nil
}

// ---- talk ----

// counted is a connection whose bytes are counted, both ways.
type counted struct {
	net.Conn
	in, out *atomic.Int64
}

func (c counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.Add(int64(n))
	return n, err
}

func (c counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out.Add(int64(n))
	return n, err
}

func reportOf(ctx context.Context, _ *rig, reports int) ([]is, error) {
	offer := rollout.Version{Generation: 1 << 32, Epoch: 123456, Hash: strings.Repeat("0a", 32)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var in api.PolicyReport
		if err := api.DecodeBody(r.Body, &in); err != nil {
			api.WriteReply(w, http.StatusBadRequest, api.RemoteErrorOf(err))
			return
		}
		api.WriteReply(w, http.StatusOK, api.PolicyReply{Fleet: in.Fleet, Target: offer})
	})}
	ended := make(chan struct{})
	go func() { _ = server.Serve(l); close(ended) }()
	defer func() { _ = server.Close(); <-ended }()
	var in, out atomic.Int64
	client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		return counted{c, &in, &out}, err
	}}}
	defer client.CloseIdleConnections()
	began := cpu()
	for i := range reports {
		inner, cancel := context.WithTimeout(ctx, 5*time.Second)
		var reply api.PolicyReply
		err := api.Call(inner, client, l.Addr().String(), api.PathPolicyReport, api.PolicyReport{Fleet: "dispatch-eu", Proxy: fmt.Sprintf("proxy-r3-z11-%04d", i),
			Sequence: uint64(1<<60 + i), Current: offer, Good: 160, Bad: 1}, &reply)
		cancel()
		if err != nil {
			return nil, err
		}
	}
	took := cpu() - began
	return []is{{"a report, both ways with heads", "B", float64(in.Load()+out.Load()) / float64(reports)}, {"both sides of it", "us", float64(took) / 1000 / float64(reports)}}, nil
}

func grantsOf(holders, names int) ([]is, error) {
	const length = 10 * time.Second
	res, err := quotasim.Run(quotasim.Settings{Policy: quotasim.Leases, Holders: holders, Quotas: names, DrivenQuotas: 1, Seed: 1, Length: length, LeaseDuration: 3 * time.Second, UnitsPerHolder: 20,
		DemandDecay: 1. / 3, Load: .9, DemandShiftInterval: 5 * time.Second, PlanCost: time.Microsecond})
	if err != nil {
		return nil, err
	}
	each := float64(holders)
	return []is{{"a proxy's talk, bodies", "KB/s", (res.BytesIn + res.BytesOut) / each / 1000}, {"the leader's talk, bodies", "KB/s", (res.BytesIn + res.BytesOut) / 1000},
		{"log, to each other steward", "KB/s", res.LogBytes / 1000}, {"entries", "1/s", res.Entries}, {"the leader's plans", "ms/s", millis(res.ComputeTime) / length.Seconds()}}, nil
}

// ---- decision modules ----

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

// ward is a lapisspread serve before a stand-in register and a stand-in for all backends, on loopback.
type ward struct {
	url, direct string // of the proxy; of the backends
	pid         int
	list        int          // bytes of the register's whole list
	asked       atomic.Int64 // probes and requests that the backends got
	over        chan error
	log         string
	ends        []func() // in turn, the last first
	once        sync.Once
}

func (w *ward) end() {
	w.once.Do(func() {
		for i := len(w.ends) - 1; i >= 0; i-- {
			w.ends[i]()
		}
	})
}

// wait gives up where the process has ended.
func (w *ward) wait(ctx context.Context, d time.Duration) error {
	select {
	case err := <-w.over:
		w.over <- err // for end
		text, _ := os.ReadFile(w.log)
		return fmt.Errorf("it ended: %w: %s", err, text[max(0, len(text)-400):])
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// begin starts one of so many proxies with so many services, 38 backends each.
func (g *rig) begin(ctx context.Context, proxies, n int, probed bool) (*ward, error) {
	if g.program == "" {
		return nil, usageError{fmt.Errorf("--program: the path of lapisspread is needed")}
	}
	w := &ward{over: make(chan error, 1)}
	if err := w.start(ctx, g.program, proxies, n, probed); err != nil {
		w.end()
		return nil, err
	}
	return w, nil
}

func (w *ward) start(ctx context.Context, program string, proxies, n int, probed bool) error {
	dir, err := os.MkdirTemp("", "faultlab-slopes")
	if err != nil {
		return err
	}
	w.ends = append(w.ends, func() { os.RemoveAll(dir) })
	var serving sync.WaitGroup
	w.ends = append(w.ends, serving.Wait)
	serve := func(h http.HandlerFunc) (addr string, err error) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
		serving.Go(func() { _ = s.Serve(l) })
		w.ends = append(w.ends, func() { _ = s.Close() })
		return l.Addr().String(), nil
	}
	backend, err := serve(func(a http.ResponseWriter, _ *http.Request) { w.asked.Add(1); a.WriteHeader(http.StatusOK) })
	if err != nil {
		return err
	}
	w.direct = "http://" + backend + "/api"
	var list strings.Builder
	list.WriteString(`{"generation":1,"reset":true,"instances":[`)
	for i := range n * perService {
		if i > 0 {
			list.WriteByte(',')
		}
		fmt.Fprintf(&list, `{"instanceId":"dispatch-r%d-z%02d-%05d","hostPort":%q,"zone":"nyarugenge","machineType":"k%d","cell":0,"lifecycle":"active","weight":1.0,"startedAtMs":0}`,
			i%7, i%22, i, backend, i%n)
	}
	list.WriteString("]}")
	w.list = list.Len()
	ended := make(chan struct{})
	catalogue, err := serve(func(a http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("from") != "1" {
			_, _ = io.WriteString(a, list.String())
			return
		}
		hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
		select {
		case <-time.After(time.Duration(hold) * time.Millisecond):
		case <-r.Context().Done():
		case <-ended:
		}
		_, _ = io.WriteString(a, `{"generation":1,"reset":false,"instances":[]}`)
	})
	if err != nil {
		return err
	}
	w.ends = append(w.ends, func() { close(ended) })
	var file strings.Builder
	file.WriteString("version = 1\n")
	for i := range n {
		fmt.Fprintf(&file, "[[service]]\nname = \"s%d\"\nkinds = [\"k%d\"]\n[[route]]\nname = \"r%d\"\nhost = \"s%d.example.org\"\nto = [{ service = \"s%d\" }]\n", i, i, i, i, i)
	}
	at := filepath.Join(dir, "services.toml")
	if err := os.WriteFile(at, []byte(file.String()), 0o600); err != nil {
		return err
	}
	config, err := writeConfig(dir, catalogue, proxies, n, probed)
	if err != nil {
		return err
	}
	door, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return err
	}
	defer door.Close()
	passed, err := door.File()
	if err != nil {
		return err
	}
	defer passed.Close()
	w.url = "http://" + door.Addr().String() + "/api"
	w.log = filepath.Join(dir, "log")
	log, err := os.Create(w.log)
	if err != nil {
		return err
	}
	defer log.Close()
	inner, cancel := context.WithCancel(ctx)
	c := exec.CommandContext(inner, program, "serve", "--services", at)
	c.Env = append(os.Environ(), "BALANCER_CONFIG="+config, "BALANCER_NAME=", "BALANCER_LISTEN=", "BALANCER_DISCOVERY=", "BALANCER_CONSOLE=", "BALANCER_PASSED_SOCKET=3",
		"TMPDIR="+dir, "GOMAXPROCS="+strconv.Itoa(runtime.GOMAXPROCS(0)))
	c.Stdout, c.Stderr, c.ExtraFiles = log, log, []*os.File{passed}
	if err := c.Start(); err != nil {
		cancel()
		return err
	}
	w.pid = c.Process.Pid
	go func() { w.over <- c.Wait() }()
	w.ends = append(w.ends, func() { cancel(); <-w.over })
	// It takes in its list, and the first probes of all pass.
	return w.wait(ctx, 5*time.Second+time.Duration(n)*20*time.Millisecond)
}

func processOf(ctx context.Context, g *rig, n int, probed bool) ([]is, error) {
	w, err := g.begin(ctx, targetProxies, n, probed)
	if err != nil {
		return nil, err
	}
	defer w.end()
	var best, start footprint
	for i := range g.times {
		n0, was, err := w.asked.Load(), footprint{}, error(nil)
		if was, err = footprintOf(w.pid); err != nil {
			return nil, err
		}
		if i == 0 {
			start = was
		}
		began := time.Now()
		if err := w.wait(ctx, 4*time.Second); err != nil {
			return nil, err
		}
		now, err := footprintOf(w.pid)
		if err != nil {
			return nil, err
		}
		span := time.Since(began).Seconds()
		got := footprint{cpu: (now.cpu - was.cpu) / span, mb: now.mb, bytes: (now.bytes - was.bytes) / span, probes: float64(w.asked.Load()-n0) / span}
		if best.cpu == 0 || got.cpu < best.cpu {
			best = got
		}
	}
	return []is{{"resident", "MB", best.mb}, {"at rest", "% core", 100 * best.cpu}, {"read and written", "KB/s", best.bytes / 1000}, {"probes", "1/s", best.probes},
		{"the start, and some seconds", "s", start.cpu}, {"the list", "KB", float64(w.list) / 1000}}, nil
}

func requestsOf(ctx context.Context, g *rig, rate int) ([]is, error) {
	// Danger: its limits are a proxy's part of what the backends bear; among 4,700 proxies, 38 backends are not for 10 requests a second.
	const services, proxies = 16, targetProxies * 16 / targetServices
	w, err := g.begin(ctx, proxies, services, true)
	if err != nil {
		return nil, err
	}
	defer w.end()
	rest, err := footprintOf(w.pid)
	if err != nil {
		return nil, err
	}
	const quiet = 4 * time.Second
	if err := w.wait(ctx, quiet); err != nil {
		return nil, err
	}
	was, err := footprintOf(w.pid)
	if err != nil {
		return nil, err
	}
	atRest := (was.cpu - rest.cpu) / quiet.Seconds()
	began := time.Now()
	through, err := ask(ctx, w.url, services, rate, 5*time.Second)
	if err != nil {
		return nil, err
	}
	span := time.Since(began).Seconds()
	now, err := footprintOf(w.pid)
	if err != nil {
		return nil, err
	}
	direct, err := ask(ctx, w.direct, services, rate, 5*time.Second)
	if err != nil {
		return nil, err
	}
	if through.failed*100 > len(through.took) {
		return nil, fmt.Errorf("%d of %d were not answered as asked: %s", through.failed, through.failed+len(through.took), through.why)
	}
	return []is{{"a request", "us of a core", 1e6 * (now.cpu - was.cpu - atRest*span) / float64(len(through.took))}, {"through the proxy, 50 in 100", "ms", through.within(.5)},
		{"directly, 50 in 100", "ms", direct.within(.5)}, {"through the proxy, 99 in 100", "ms", through.within(.99)}, {"directly, 99 in 100", "ms", direct.within(.99)},
		{"not answered with 200", "requests", float64(through.failed)}}, nil
}

// asked is what became of requests that were sent at their times whatever became of those before.
type asked struct {
	took   []time.Duration
	failed int
	why    string // of the last that failed
}

func (a *asked) within(part float64) float64 {
	return millis(a.took[min(len(a.took)-1, int(part*float64(len(a.took))))])
}

func ask(ctx context.Context, url string, services, rate int, length time.Duration) (*asked, error) {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}
	defer client.CloseIdleConnections()
	out := &asked{}
	var mu sync.Mutex
	var open sync.WaitGroup
	defer open.Wait()
	rng := rand.New(rand.NewPCG(1, uint64(rate)))
	began := time.Now()
	for n, due := 0, time.Duration(0); ; n++ {
		due += time.Duration(rng.ExpFloat64() / float64(rate) * float64(time.Second))
		if due >= length {
			break
		}
		select {
		case <-time.After(due - time.Since(began)):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		open.Go(func() {
			var why string
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
			if err == nil {
				r.Host = fmt.Sprintf("s%d.example.org", n%services)
				r.Header = http.Header{"X-Request-Id": {fmt.Sprintf("%016x", n)}, "X-Priority-Class": {"trip-close"}, "X-Timeout-Ms": {"1000"}, "X-Tenant-Id": {"kivu-cabs"}}
				var a *http.Response
				if a, err = client.Do(r); err == nil {
					var text []byte
					text, err = io.ReadAll(a.Body)
					_ = a.Body.Close()
					if a.StatusCode != http.StatusOK {
						why = fmt.Sprintf("%s: %.200s", a.Status, text)
					}
				}
			}
			if err != nil {
				why = err.Error()
			}
			took := time.Since(began) - due
			mu.Lock()
			defer mu.Unlock()
			if why != "" {
				out.failed, out.why = out.failed+1, why
				return
			}
			out.took = append(out.took, took)
		})
	}
	open.Wait()
	if len(out.took) == 0 {
		return nil, fmt.Errorf("of %d requests none was answered", out.failed)
	}
	slices.Sort(out.took)
	return out, nil
}

// footprint is what a process has used: seconds of the processor, bytes read and written; and its resident memory.
type footprint struct{ cpu, mb, bytes, probes float64 }

func footprintOf(pid int) (u footprint, err error) {
	read := func(name string) string {
		text, bad := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, name))
		if bad != nil {
			err = bad
		}
		return string(text)
	}
	stat := read("stat")
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if err == nil && len(fields) > 22 {
		const hertz = 100 // USER_HZ of Linux
		user, _ := strconv.ParseFloat(fields[11], 64)
		system, _ := strconv.ParseFloat(fields[12], 64)
		pages, _ := strconv.ParseFloat(fields[21], 64)
		u.cpu, u.mb = (user+system)/hertz, pages*float64(os.Getpagesize())/1e6
	}
	for line := range strings.Lines(read("io")) {
		if name, v, ok := strings.Cut(strings.TrimSpace(line), ": "); ok && (name == "rchar" || name == "wchar") {
			n, _ := strconv.ParseFloat(v, 64)
			u.bytes += n
		}
	}
	return u, err
}
