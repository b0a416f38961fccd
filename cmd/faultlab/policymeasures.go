package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/faultlab/quotasim"
	"lapisspread/internal/policy/namespace"
	"lapisspread/internal/policy/rollout"
	"lapisspread/internal/policy/store"
	"lapisspread/internal/route"
)

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
