// Package payouts sends claims through a real proxy process to Diameter servers that fail at every step, kills the process
// again and again, and counts: how often each claim ran, and what its client was told.
package payouts

import (
	"context"
	"encoding/json"
	"errors"
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
	"strings"
	"sync"
	"syscall"
	"time"

	"lapisspread/internal/diameter"
	"lapisspread/internal/faultlab/diameterpeer"
	"lapisspread/internal/faultlab/liverun"
	"lapisspread/internal/faultlab/loopbackaddr"
	"lapisspread/internal/faultlab/model"
)

// Plan is what is played.
type Plan struct {
	Binary  string // of the proxy
	Other   string // the program of another build, with which Binary takes turns at each start; empty is none
	Claims  int
	Rate    float64 // claims a second
	Clients int     // peers that they come from
	Servers int
	Faults  float64       // how often what Chances says goes wrong does, 1 is as it says
	Kills   int           // times that the process is killed, spread over the run
	Ends    int           // times that it is ended in order, with the next one beside it
	Durable bool          // with a ledger on disk
	Lose    string        // what befalls that ledger at each kill, if Durable: one of Losses; empty is nothing
	HTTP    bool          // by HTTP, to HTTP servers that do not fail: to hold the cost against
	Again   float64       // part of the claims with an answer that are sent once more,
	Soon    time.Duration // within this; 10s if it is 0
	Seed    uint64
	Keep    string // a directory that the logs of all processes and their files are left in; empty keeps nothing
	Say     func(format string, args ...any)
}

// Chances are what a server does wrong, by how often. The last of the servers stalls for a part of the run besides.
var Chances = map[diameterpeer.Act]float64{diameterpeer.Slowly: 0.05, diameterpeer.Stall: 0.002, diameterpeer.DropAfter: 0.0006, diameterpeer.HalfAnswer: 0.0006, diameterpeer.Twice: 0.01,
	diameterpeer.Stray: 0.01, diameterpeer.Swap: 0.01, diameterpeer.Garbage: 0.0006, diameterpeer.HalfHeader: 0.0006, diameterpeer.DropBefore: 0.0006, diameterpeer.Busy: 0.01,
	diameterpeer.Fails: 0.002, diameterpeer.Goodbye: 0.0006}

// Losses are what may befall a ledger: it is gone, the whole state folder is, or it is again as it was at the kill before.
var Losses = []string{"ledger", "folder", "old"}

// lose has it befall the ledger of a process that is dead.
func (s *stage) lose() error {
	folder := filepath.Join(s.tmp, "state")
	path := filepath.Join(folder, ledgerFile)
	kept := filepath.Join(s.tmp, "ledger.old")
	switch s.plan.Lose {
	case "ledger":
		return os.Remove(path)
	case "folder":
		return errors.Join(os.RemoveAll(folder), os.Mkdir(folder, 0o700))
	case "old":
		now, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if old, err := os.ReadFile(kept); err == nil {
			if err := os.WriteFile(path, old, 0o600); err != nil {
				return err
			}
		}
		return os.WriteFile(kept, now, 0o600)
	}
	return nil
}

// Table is what came of it.
type Table struct {
	Claims         int `json:"claims"`
	Paid           int `json:"paid"`              // told 2001
	MayHaveRun     int `json:"told_may_have_run"` // told 5012
	Refused        int `json:"refused"`           // told 3002 or 3004 to the end
	Other          int `json:"other"`
	NoAnswer       int `json:"no_answer"` // the client's tries were used up
	Tries          int `json:"tries"`
	Executed       int `json:"executed"`             // claims that ran
	Twice          int `json:"executed_twice"`       // more than once
	PaidNeverRan   int `json:"paid_and_never_ran"`   // told 2001
	RefusedThatRan int `json:"refused_and_ran"`      // told 3002 or 3004 to the end, each try of theirs answered
	Asked          int `json:"asked_again"`          // claims that were paid
	Lost           int `json:"answers_lost"`         // and were told something else then
	Uncertain      int `json:"asked_again_and_told"` // of them told that they may have run: without a disk that is all that is known
	Kills          int `json:"kills"`
	Ends           int `json:"ends"`

	Recovery  []time.Duration `json:"-"` // from the process's start to a ledger that is ready
	FileBytes int64           `json:"ledger_bytes"`
	Entries   int             `json:"ledger_entries"`
	Flushes   int64           `json:"flushes_of_the_last_process"`
	Begun     int64           `json:"begun_in_the_last_process"`
	Took      time.Duration   `json:"-"`
	CPU       time.Duration   `json:"-"` // of all processes of the proxy
}

// Broken tells which promises were broken, if any.
func (t *Table) Broken(durable bool) error {
	var errs []error
	for what, n := range map[string]int{"ran more than once": t.Twice, "were paid and never ran": t.PaidNeverRan, "were told that they had not run, and had": t.RefusedThatRan} {
		if n > 0 {
			errs = append(errs, fmt.Errorf("%d claims %s", n, what))
		}
	}
	if lost := t.Lost; durable && lost > 0 {
		errs = append(errs, fmt.Errorf("%d answers that were given were lost", lost))
	}
	return errors.Join(errs...)
}

// stage is a run.
type stage struct {
	plan    Plan
	tmp     string
	addr    string // of the proxy's Diameter, or HTTP
	plain   []*webServer
	servers []*diameterpeer.Server
	lists   []net.Listener
	catalog *http.Server
	agent   string

	mu      sync.Mutex
	procs   []*proc
	started int
	cpu     time.Duration
	ready   []time.Duration
}

type proc struct {
	cmd     *exec.Cmd
	done    chan struct{}
	console string
	log     *os.File
}

const (
	ledgerFile = "effects.db"

	waitReady = 15 * time.Second
	giveUp    = time.Second
	tries     = 30
)

// Play plays a plan. An error is trouble with the run itself: what the proxy did wrong stands in the table.
func Play(ctx context.Context, p Plan) (*Table, error) {
	if p.Soon == 0 {
		p.Soon = 10 * time.Second
	}
	if p.Say == nil {
		p.Say = func(string, ...any) {}
	}
	tmp, err := os.MkdirTemp("", "payouts-")
	if err != nil {
		return nil, err
	}
	if p.Keep != "" {
		os.RemoveAll(tmp)
		tmp = p.Keep
		if err := os.MkdirAll(tmp, 0o700); err != nil {
			return nil, err
		}
	} else {
		defer os.RemoveAll(tmp)
	}
	s := &stage{plan: p, tmp: tmp}
	defer s.end()
	if err := s.open(); err != nil {
		return nil, err
	}
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	began := time.Now()
	t := &Table{}
	length := time.Duration(float64(p.Claims) / p.Rate * float64(time.Second))
	trouble := make(chan error, 1)
	breaking, stop := context.WithCancel(ctx)
	go func() { trouble <- s.disturb(breaking, t, length) }()
	outcomes := s.send(ctx, t)
	stop()
	if err := <-trouble; err != nil {
		return nil, err
	}
	t.Took = time.Since(began)
	s.judge(t, outcomes)
	if info, err := s.report(); err == nil {
		t.FileBytes, t.Entries, t.Flushes, t.Begun = info.Ledger.FileBytes, info.Ledger.Entries, info.Ledger.Flushes, info.Ledger.Begun
	}
	s.end()
	s.mu.Lock()
	t.Recovery, t.CPU = s.ready, s.cpu
	s.mu.Unlock()
	return t, ctx.Err()
}

// open starts the servers and the register.
func (s *stage) open() error {
	rng := rand.New(rand.NewPCG(s.plan.Seed, 1))
	for i := range s.plan.Servers {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("a server: %w", err)
		}
		seed := rng.Uint64()
		srv := &diameterpeer.Server{Host: fmt.Sprintf("n%d.nodes.example", i), Realm: "kigali.example", Act: s.chance(seed, i == s.plan.Servers-1 && i > 0)}
		s.servers, s.lists = append(s.servers, srv), append(s.lists, l)
		if s.plan.HTTP {
			s.plain = append(s.plain, newWebServer(l))
			continue
		}
		go srv.Serve(l)
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("the register: %w", err)
	}
	s.agent = l.Addr().String()
	s.catalog = &http.Server{Handler: http.HandlerFunc(s.members), ReadHeaderTimeout: 5 * time.Second}
	go s.catalog.Serve(l)
	if s.addr, err = loopbackaddr.Addr(); err != nil {
		return err
	}
	return s.files()
}

// chance draws what a server does with each claim. One that stalls does so for the second fifth of its claims.
func (s *stage) chance(seed uint64, stalls bool) func(n int64) diameterpeer.Act {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 2))
	acts := make([]diameterpeer.Act, 0, len(Chances))
	for a := range Chances {
		acts = append(acts, a)
	}
	slices.Sort(acts)
	share := int64(s.plan.Claims / max(1, s.plan.Servers))
	return func(n int64) diameterpeer.Act {
		if stalls && n > share/5 && n < share/5+50 {
			return diameterpeer.Stall
		}
		mu.Lock()
		u := rng.Float64()
		mu.Unlock()
		for _, a := range acts {
			if u -= Chances[a] * s.plan.Faults; u < 0 {
				return a
			}
		}
		return diameterpeer.Serve
	}
}

// members is the register: all servers, for as long as the run goes.
func (s *stage) members(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("from") {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	io.WriteString(w, s.list())
}

func (s *stage) list() string {
	var rows []map[string]any
	for i, l := range s.lists {
		rows = append(rows, map[string]any{"instanceId": fmt.Sprintf("pay-%d", i), "hostPort": l.Addr().String(), "zone": "nyarugenge", "machineType": "std-1",
			"cell": 0, "lifecycle": "active", "weight": 1.0, "startedAtMs": 0})
	}
	text, err := json.Marshal(map[string]any{"generation": 1, "reset": true, "instances": rows})
	if err != nil {
		panic(err) // strings and numbers
	}
	return string(text)
}

const services = `
version = 1
[[service]]
name = "payouts"
upstream = "diameter"
share = { cap = 1.0 }
[[route]]
name = "all"
to = [{ service = "payouts" }]
`

// files writes what the proxy reads.
func (s *stage) files() error {
	spec := model.Default()
	spec.Proxies = 1
	listen, spoken := "127.0.0.1:0", s.addr
	routes := services
	if s.plan.HTTP {
		listen, spoken = spoken, ""
		routes = strings.Replace(services, "upstream = \"diameter\"\n", "", 1)
	}
	text, err := json.MarshalIndent(map[string]any{"name": "p0", "listen": listen, "discovery": s.agent, "seed": fmt.Sprintf("%x", s.plan.Seed),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 512}, "known": json.RawMessage(s.list()), "settings": liverun.Settings(&spec, 0)}, "", " ")
	if err != nil {
		return err
	}
	ledger := "window = \"4m\"\nentries = 2000000\nbytes = 33554432\n"
	if s.plan.Durable {
		ledger += fmt.Sprintf("file = %q\n", ledgerFile)
	}
	diameterFile := fmt.Sprintf(`version = 1
host = "proxy.kigali.example"
realm = "kigali.example"
listen = %q
goodbye = "500ms"
[limits]
peers = 256
in_hand = 20000
bytes = 33554432
queue = 1048576
[[peer]]
realm = "partner.example"
[[command]]
command = "Credit-Control"
requested_action = 1
class = "driver-payout"
give_up = %q
[ledger]
%s`, spoken, giveUp, ledger)
	for name, text := range map[string]string{"config.json": string(text), "diameter.toml": diameterFile, "services.toml": routes} {
		if err := os.WriteFile(filepath.Join(s.tmp, name), []byte(text), 0o600); err != nil {
			return err
		}
	}
	return os.MkdirAll(filepath.Join(s.tmp, "state"), 0o700)
}

// start starts a process and waits until its ledger is ready.
func (s *stage) start(ctx context.Context) error {
	began := time.Now()
	at, err := loopbackaddr.Addr()
	if err != nil {
		return err
	}
	p := &proc{done: make(chan struct{}), console: at}
	s.mu.Lock()
	binary := liverun.Alternate(s.plan.Binary, s.plan.Other, s.started)
	s.started++
	name := fmt.Sprintf("log-%d", s.started)
	s.mu.Unlock()
	if p.log, err = os.Create(filepath.Join(s.tmp, name)); err != nil {
		return err
	}
	p.cmd = exec.Command(binary, "serve", "--services", filepath.Join(s.tmp, "services.toml"), "--diameter", filepath.Join(s.tmp, "diameter.toml"))
	p.cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+filepath.Join(s.tmp, "config.json"), "BALANCER_NAME=", "BALANCER_LISTEN=", "BALANCER_DISCOVERY=",
		"BALANCER_PASSED_SOCKET=", "BALANCER_CONSOLE="+p.console, "TMPDIR="+filepath.Join(s.tmp, "state"))
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	go func() {
		runtime.LockOSThread() // the signal at the parent's end follows the thread that started the child
		defer runtime.UnlockOSThread()
		err := p.cmd.Start()
		started <- err
		if err != nil {
			return
		}
		_ = p.cmd.Wait() // how it ended is its state's
		s.mu.Lock()
		s.cpu += p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
		s.mu.Unlock()
		p.log.Close()
		close(p.done)
	}()
	if err := <-started; err != nil {
		return fmt.Errorf("starting %s: %w", binary, err)
	}
	s.mu.Lock()
	s.procs = append(s.procs, p)
	s.mu.Unlock()
	for time.Since(began) < waitReady {
		if info, err := ask(p.console); err == nil && info.Ledger.Ready && s.listens() {
			s.mu.Lock()
			s.ready = append(s.ready, time.Since(began))
			s.mu.Unlock()
			return nil
		}
		select {
		case <-p.done:
			return fmt.Errorf("the proxy ended at its start: %s", lastLines(filepath.Join(s.tmp, name)))
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(2 * time.Millisecond):
		}
	}
	return fmt.Errorf("the proxy is not ready %v after its start: %s", waitReady, lastLines(filepath.Join(s.tmp, name)))
}

func (s *stage) listens() bool {
	c, err := net.DialTimeout("tcp4", s.addr, time.Second)
	if err == nil {
		c.Close()
	}
	return err == nil
}

func lastLines(path string) string {
	text, _ := os.ReadFile(path)
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(lines[max(0, len(lines)-6):], "\n")
}

// info is what of DIAMETER is looked at.
type info struct {
	Ledger struct {
		Ready     bool  `json:"ready"`
		Entries   int   `json:"entries"`
		Flushes   int64 `json:"flushes"`
		Begun     int64 `json:"begun"`
		FileBytes int64 `json:"file_bytes"`
	} `json:"ledger"`
}

func ask(console string) (info, error) {
	var i info
	c, err := net.DialTimeout("tcp4", console, time.Second)
	if err != nil {
		return i, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := io.WriteString(c, "DIAMETER\n"); err != nil {
		return i, err
	}
	return i, json.NewDecoder(c).Decode(&i)
}

func (s *stage) report() (info, error) {
	s.mu.Lock()
	console := s.procs[len(s.procs)-1].console
	s.mu.Unlock()
	return ask(console)
}

// disturb kills the process, or ends it in order, at times drawn from the run.
func (s *stage) disturb(ctx context.Context, t *Table, length time.Duration) error {
	rng := rand.New(rand.NewPCG(s.plan.Seed, 3))
	type event struct {
		at   time.Duration
		kill bool
	}
	var events []event
	for i := range s.plan.Kills + s.plan.Ends {
		events = append(events, event{time.Duration(rng.Float64() * float64(length) * 0.95), i < s.plan.Kills})
	}
	slices.SortFunc(events, func(a, b event) int { return int(a.at - b.at) })
	began := time.Now()
	for _, e := range events {
		select {
		case <-time.After(e.at - time.Since(began)):
		case <-ctx.Done():
			return nil
		}
		s.mu.Lock()
		p := s.procs[len(s.procs)-1]
		s.mu.Unlock()
		if e.kill {
			t.Kills++
			p.cmd.Process.Kill()
			<-p.done
			if err := s.lose(); err != nil {
				return fmt.Errorf("losing the ledger: %w", err)
			}
		} else {
			t.Ends++
			p.cmd.Process.Signal(syscall.SIGTERM)
		}
		if err := s.start(ctx); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("after disturbance %d: %w", t.Kills+t.Ends, err)
		}
		if n := t.Kills + t.Ends; n%20 == 0 {
			s.plan.Say("%d of %d ends and kills, after %v", n, len(events), time.Since(began).Round(time.Second))
		}
	}
	return nil
}

// send sends all claims, and some of those with an answer again.
func (s *stage) send(ctx context.Context, t *Table) []diameterpeer.Outcome {
	rng := rand.New(rand.NewPCG(s.plan.Seed, 4))
	if s.plan.HTTP {
		return s.sendHTTP(ctx)
	}
	var clients []*diameterpeer.Client
	for i := range s.plan.Clients {
		clients = append(clients, &diameterpeer.Client{Host: fmt.Sprintf("c%d.partner.example", i), Realm: "partner.example", To: "kigali.example", Action: 1,
			GiveUp: giveUp + 200*time.Millisecond, Tries: tries, Rest: 100 * time.Millisecond, Seed: rng.Uint64(),
			Dial: func(ctx context.Context) (net.Conn, error) { return new(net.Dialer).DialContext(ctx, "tcp4", s.addr) }})
	}
	out := make([]diameterpeer.Outcome, s.plan.Claims)
	var all sync.WaitGroup
	var mu sync.Mutex
	for i := range s.paced(ctx) {
		c, again, later := clients[i%len(clients)], rng.Float64() < s.plan.Again, time.Duration(rng.Int64N(int64(s.plan.Soon)))
		all.Go(func() {
			amount := int64(1000 + i)
			o := c.Claim(ctx, amount)
			out[i] = o
			if !again || o.Code != diameter.Success {
				return
			}
			select {
			case <-time.After(later):
			case <-ctx.Done():
				return
			}
			second := c.Again(ctx, o, amount)
			mu.Lock()
			defer mu.Unlock()
			t.Asked++
			switch {
			case second.Code == 0 || second.Code == diameter.TooBusy || second.Code == diameter.UnableToDeliver: // not reached
				t.Asked--
			case second.Code == diameter.UnableToComply:
				t.Uncertain++
				t.Lost++
			case second.Code != diameter.Success || second.Body != o.Body:
				t.Lost++
			}
		})
	}
	all.Wait()
	for _, c := range clients {
		c.Close()
	}
	return out
}

// paced gives the numbers of the claims, each at its time, until ctx ends.
func (s *stage) paced(ctx context.Context) func(func(int) bool) {
	return func(yield func(int) bool) {
		tick := time.NewTicker(5 * time.Millisecond)
		defer tick.Stop()
		began := time.Now()
		for i := range s.plan.Claims {
			for float64(i) >= time.Since(began).Seconds()*s.plan.Rate && ctx.Err() == nil {
				<-tick.C
			}
			if ctx.Err() != nil || !yield(i) {
				return
			}
		}
	}
}

// judge holds what clients were told against what has run.
func (s *stage) judge(t *Table, outcomes []diameterpeer.Outcome) {
	ran := map[diameterpeer.Name]int{}
	for _, srv := range s.servers {
		for name, n := range srv.Executed() {
			ran[name] += n
		}
	}
	for _, srv := range s.plain {
		for name, n := range srv.executed() {
			ran[name] += n
		}
	}
	for _, n := range ran {
		t.Executed++
		if n > 1 {
			t.Twice++
		}
	}
	for _, o := range outcomes {
		if o.Tries == 0 {
			continue
		}
		t.Claims++
		t.Tries += o.Tries
		switch o.Code {
		case 0:
			t.NoAnswer++
		case diameter.Success:
			t.Paid++
			if ran[o.Name] == 0 {
				t.PaidNeverRan++
			}
		case diameter.UnableToComply:
			t.MayHaveRun++
		case diameter.TooBusy, diameter.UnableToDeliver:
			t.Refused++
			if ran[o.Name] > 0 && !o.Unknown {
				t.RefusedThatRan++
			}
		default:
			t.Other++
		}
	}
}

// end ends what was started.
func (s *stage) end() {
	s.mu.Lock()
	procs := slices.Clone(s.procs)
	s.procs = nil
	s.mu.Unlock()
	for _, p := range procs {
		p.cmd.Process.Signal(syscall.SIGTERM) // it may have ended
	}
	for _, p := range procs {
		select {
		case <-p.done:
		case <-time.After(5 * time.Second):
			p.cmd.Process.Kill()
			<-p.done
		}
	}
	for i, l := range s.lists {
		l.Close()
		if !s.plan.HTTP {
			s.servers[i].Drop()
		}
	}
	if s.catalog != nil {
		s.catalog.Close()
	}
}

// RecoveryTimes are the median and the longest of the recoveries after the first start.
func (t *Table) RecoveryTimes() (median, longest time.Duration) {
	if len(t.Recovery) < 2 {
		return 0, 0
	}
	all := slices.Clone(t.Recovery[1:])
	slices.Sort(all)
	return all[len(all)/2], all[len(all)-1]
}
