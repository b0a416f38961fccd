// Package liverun plays a world on loopback sockets, in real time, around real proxies that run as children of this
// process. Nodes, register and clients are the world's; the wire is the platform's protocol.
package liverun

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"log/slog"
	mrand "math/rand/v2"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lapisspread/internal/faultlab/checker"
	"lapisspread/internal/faultlab/model"
)

// On sockets every limit of the rules is longer by this.
const socketSlack = 50 * time.Millisecond

// DefaultMemoryMB is how many MiB a proxy is told it has if the options say nothing.
const DefaultMemoryMB = 64

// Options is how a run is carried out.
type Options struct {
	Binary   string        // the proxy's program
	Args     []string      // its arguments
	Env      []string      // further variables for it
	HalfOpen int           // connections on which nothing ever comes
	Slow     int           // clients that take two seconds over a head
	Log      *slog.Logger  // what the laboratory does; nil is nowhere
	Progress func(Glimpse) // told once a second; may be nil
	MemoryMB int           // that a proxy is told it has; 64 if 0
	Sockets  int           // descriptors likewise; 1024 if 0
	Clients  string        // where requests come from: see experiment.World
	Crowd    int           // clients that have connections of their own; 500 if 0
	Flood    *Flood        // nil is none
	Fabric   bool          // lead all ways between processes through relays, also where no fault is on them

	// OtherBinary is the program of another build; empty means that all processes run Binary. With it both builds run side
	// by side: see Alternate.
	OtherBinary string

	Sample func(Sample) // told once a second; may be nil

	// Script plays faults by what it sees, in place of a time line or beside one. The load ends with it, at the latest with the
	// run's duration; its error is Play's.
	Script func(*Fleet) error

	// Admission is the text of a file by which the proxies admit connections; empty is none.
	Admission string

	// Comeback is the text of a file of coming back; empty is none.
	Comeback string

	// Fleet is what the fleet shares, and the stewards who divide it; nil is nothing. It needs Fabric.
	Fleet *FleetOptions
	// FleetFile is the text of a fleet's file for proxies without stewards of the laboratory; empty is none. It excludes Fleet.
	FleetFile string

	// Services are the texts of files of services that the proxies serve by, the first at the start and each in turn
	// at a change; none is one service.
	Services []string
}

// Glimpse is how a run stands.
type Glimpse struct {
	Now, Of             time.Duration
	Asked, OK, Refused  int // in the last second, but for Asked: first tries so far
	Failed, Open        int
	Up, Draining, Down  int
	Hanging, Cut        int
	Late                time.Duration // of this machine, at the worst in that second
	Proxies             int           // that serve
	RulesBroken         int
	Attempts, FirstTrys int
}

// Sample is what the proxies hold at a time: the most that any of them does.
type Sample struct {
	At    time.Duration
	RSSMB float64
	// PeakRSSMB is the most that a process has had up to then.
	PeakRSSMB float64
	Files     int
}

// sample tells what the proxies hold.
func (r *Run) sample() {
	s := Sample{At: r.now()}
	for _, c := range r.proxies {
		files, rss := c.held()
		s.Files, s.RSSMB = max(s.Files, files), max(s.RSSMB, rss)
		s.PeakRSSMB = max(s.PeakRSSMB, c.peakRSS())
	}
	r.opts.Sample(s)
}

// everySecond does something once a second until ctx ends.
func everySecond(ctx context.Context, do func()) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		do()
	}
}

// Result is what a run has come to.
type Result struct {
	Verdict  checker.Verdict
	Faults   []model.Step
	Problems []string // what went wrong beside the rules: a proxy that ended by itself
	Late     string   // why the machine was too slow for the run to count; empty if it was not
	Partial  bool
	Usage    []Usage                  // of each proxy
	Spending *checker.SpendingVerdict // of the budgets of the fleet; nil without
	Drawn    []model.Fault            // what a script has drawn
}

// Usage is what the processes of a proxy's place have taken of the machine.
type Usage struct {
	// Descriptors and goroutines of the newest process, as the load began and some time after it had ended. Goroutines
	// are told by proxies with several services only.
	FilesBefore, FilesAfter           int
	GoroutinesBefore, GoroutinesAfter int

	CPU    time.Duration // user and system, of all together
	MaxRSS int64         // bytes, of the largest
}

// Run is a world on its way.
type Run struct {
	spec  *model.Spec
	opts  Options
	log   *slog.Logger
	base  time.Time    // with the monotonic clock: a step of the machine's clock moves nothing
	epoch atomic.Int64 // the run's clock starts so many nanoseconds after base
	key   []byte

	mu       sync.Mutex // guards all below
	fleet    *model.Fleet
	ledger   *checker.Ledger
	registry *model.Registry
	gen      *model.Generator
	rng      *mrand.Rand
	waiting  map[*model.Job]chan model.Answer
	tries    map[uint64]int          // attempts that came to nodes, by account
	sentTo   [][]int                 // attempts, by proxy and node
	proved   []map[int]time.Duration // by proxy, of nodes that answered it: when the process that did so began
	unproved []time.Duration         // when clients sent what must never run twice, of that at nodes whose process had not answered that proxy yet
	problems []string
	// straggler is a request that came to a node after it had been settled; empty is none.
	straggler string
	lateness  *hdrhistogram.Histogram // of this machine, in microseconds
	worst     time.Duration
	last      checker.Verdict
	spending  *checker.Spending // nil without budgets of the fleet
	drawn     []model.Fault     // what a script has drawn

	remembered atomic.Pointer[[]catalog] // the lists that proxies start with, by proxy; nil is the newest

	nodes    []*node
	agents   []*agent
	proxies  []*child
	stewards []*steward
	front    *front
	paths    *paths // nil where processes meet directly
	calls    calls  // of the register
	wake     chan struct{}
	over     chan struct{} // closes at the end
	running  sync.WaitGroup
	tmp      string
}

// now is the run's clock.
func (r *Run) now() time.Duration { return time.Since(r.base) - time.Duration(r.epoch.Load()) }

// unixMs is a time of the run as the protocol tells times of start.
func (r *Run) unixMs(at time.Duration) int64 {
	if at <= 0 {
		return 0
	}
	return r.base.Add(time.Duration(r.epoch.Load()) + at).UnixMilli()
}

// mark is what only a node of this run can put into an answer.
func (r *Run) mark(account uint64, node, attempt int) string {
	m := hmac.New(sha256.New, r.key)
	fmt.Fprintf(m, "%d/%d/%d", account, node, attempt)
	return fmt.Sprintf("faultlab %016x %d %d %s\n", account, node, attempt, hex.EncodeToString(m.Sum(nil)[:12]))
}

// genuine tells whether an answer's body was made by a node of this run for that request.
func (r *Run) genuine(account uint64, body []byte) bool {
	var id uint64
	var node, attempt int
	var sum string
	if _, err := fmt.Sscanf(string(body), "faultlab %x %d %d %s", &id, &node, &attempt, &sum); err != nil || id != account {
		return false
	}
	return hmac.Equal([]byte(r.mark(account, node, attempt)), body)
}

func newRun(spec *model.Spec, opts Options) *Run {
	r := &Run{spec: spec, opts: opts, log: opts.Log, key: make([]byte, 32), fleet: model.Build(spec), registry: model.NewRegistry(spec),
		gen: model.NewGenerator(spec), rng: spec.Stream(8), waiting: map[*model.Job]chan model.Answer{}, tries: map[uint64]int{},
		lateness: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 2), wake: make(chan struct{}, 1), over: make(chan struct{})}
	if r.log == nil {
		r.log = slog.New(slog.DiscardHandler)
	}
	rand.Read(r.key) // it never fails
	r.ledger = checker.New(checker.Settings{Classes: spec.Classes, Tenants: spec.Tenants, Proxies: spec.Proxies, Nodes: spec.Nodes,
		Slack: checker.DefaultSlack + socketSlack, LateGrace: checker.DefaultLateGrace + socketSlack, DrainGrace: checker.DefaultDrainGrace + socketSlack})
	for range spec.Proxies {
		r.sentTo = append(r.sentTo, make([]int, spec.Nodes))
		r.proved = append(r.proved, map[int]time.Duration{})
	}
	r.base = time.Now()
	return r
}

// Play carries out a run. An error says why it could not be; whatever happens, no child, port or file is left.
func Play(ctx context.Context, spec *model.Spec, opts Options) (res Result, err error) {
	if err := spec.Check(); err != nil {
		return res, err
	}
	if opts.Fleet != nil {
		if err := opts.Fleet.check(opts.Fabric); err != nil {
			return res, err
		}
	}
	if len(opts.Args) == 0 {
		opts.Args = []string{"serve"}
	}
	if opts.MemoryMB == 0 {
		opts.MemoryMB = DefaultMemoryMB
	}
	if opts.Sockets == 0 {
		opts.Sockets = 1024
	}
	if opts.Crowd == 0 {
		opts.Crowd = 500
	}
	r := newRun(spec, opts)
	if r.tmp, err = os.MkdirTemp(scratch(), "faultlab-"); err != nil {
		return res, fmt.Errorf("a folder for the proxies: %w", err)
	}
	defer os.RemoveAll(r.tmp)
	inner, cancel := context.WithCancel(context.Background())
	defer func() { // in this order: children, then sockets, then goroutines
		r.endProxies()
		r.endStewards()
		cancel()
		close(r.over)
		r.paths.close()
		for _, n := range r.nodes {
			n.close()
		}
		for _, a := range r.agents {
			a.close()
		}
		r.running.Wait()
	}()
	if err := r.open(); err != nil {
		return res, err
	}
	if err := r.startStewards(ctx); err != nil {
		return res, err
	}
	if err := r.startProxies(ctx); err != nil {
		return res, err
	}
	// What has passed so far was the start: the run's clock begins now.
	r.mu.Lock()
	r.epoch.Store(int64(time.Since(r.base)))
	for _, c := range r.fleet.Cells {
		c.Rewind()
	}
	r.mu.Unlock()
	steps := model.Plan(spec, r.fleet)
	front := newFront(r)
	r.front = front
	r.running.Go(func() { r.drive(inner, slices.Clone(steps)) })
	r.running.Go(func() { r.measure(inner) })
	r.running.Go(func() { front.watch(inner) })
	if err := front.await(ctx, startWait); err != nil {
		return res, err
	}
	r.running.Go(func() { front.nuisance(inner) })
	if opts.Sample != nil {
		loaded, stop := context.WithCancel(inner)
		defer stop()
		sampled := make(chan struct{})
		r.running.Go(func() { defer close(sampled); everySecond(loaded, r.sample) })
		defer func() { stop(); <-sampled }() // nobody is told after Play has ended
	}
	if opts.Flood != nil {
		r.running.Go(func() { r.flood(inner, *opts.Flood) })
	}
	if opts.Progress != nil {
		r.running.Go(func() { everySecond(inner, func() { r.glimpse(front) }) })
	}
	for _, c := range r.proxies {
		c.count(&c.usage.FilesBefore, &c.usage.GoroutinesBefore)
		if err := c.keepOlder(); err != nil {
			return res, fmt.Errorf("proxy %d: its state folder: %w", c.no, err)
		}
	}
	if err := r.playScript(ctx, front); err != nil {
		return res, err
	}
	if ctx.Err() == nil && len(opts.Services) > 0 {
		time.Sleep(settle)
	}
	for _, c := range r.proxies {
		c.count(&c.usage.FilesAfter, &c.usage.GoroutinesAfter)
	}
	r.mu.Lock()
	r.ledger.Finish()
	res = Result{Verdict: r.ledger.Verdict(checker.UsualPrices), Faults: steps, Late: r.tooLate(front), Partial: ctx.Err() != nil}
	r.mu.Unlock()
	r.endProxies()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.spending != nil {
		// Two processes of this machine hand an attempt on, and each may be woken as late as this one was.
		r.spending.Late(2 * time.Duration(r.lateness.Max()) * time.Microsecond)
		v := r.spending.Verdict()
		res.Spending, res.Drawn = &v, slices.Clone(r.drawn)
	}
	// Danger: on a machine that is held up a proxy may send so late that its client has gone and the run is over.
	if r.straggler != "" && res.Late == "" {
		r.problem("%s", r.straggler)
	}
	res.Problems = slices.Clone(r.problems)
	for _, c := range r.proxies {
		res.Usage = append(res.Usage, c.used())
	}
	return res, nil
}

// inMemory is a file system in memory, where the system has one; leastFree is what has to be free there.
const (
	inMemory  = "/dev/shm"
	leastFree = 1 << 30
)

// scratch is where a run's folder is made; empty is the usual place. What stewards and proxies write has to outlive their processes, and
// no run takes the machine's power: a disk that others keep busy would only have stewards miss their elections.
func scratch() string {
	var fs syscall.Statfs_t
	if os.Getenv("TMPDIR") == "" && syscall.Statfs(inMemory, &fs) == nil && uint64(fs.Bsize)*fs.Bavail >= leastFree {
		return inMemory
	}
	return ""
}

// endProxies ends all children, in order first.
func (r *Run) endProxies() {
	var ends sync.WaitGroup
	for _, c := range r.proxies {
		ends.Go(c.end)
	}
	ends.Wait()
}

// settle is how long after the load descriptors are counted: idle connections have been closed by then.
const settle = 5 * time.Second

// open starts the nodes and the register's agents.
func (r *Run) open() error {
	for i := range r.fleet.Nodes {
		n := newNode(r, i)
		r.nodes = append(r.nodes, n)
		if err := n.listen(); err != nil {
			return err
		}
	}
	for _, c := range r.fleet.Cells {
		c.OnBegin = func(at time.Duration, n *model.Node, j *model.Job) {
			r.ledger.Began(at, j.Request, r.number(n), int(j.Attempt))
		}
		c.OnFall = func(f model.Fall) {
			no := r.number(f.Node)
			r.ledger.Fell(f, no)
			r.log.Info("a cold node was pushed over", "node", no)
			r.nodes[no].fall()
		}
	}
	if r.opts.Fabric || slices.ContainsFunc(r.spec.Faults, func(f model.Fault) bool { return f.Kind == model.Link }) {
		var err error
		if r.paths, err = newPaths(r); err != nil {
			return err
		}
	}
	for p := range r.spec.Proxies {
		a, err := newAgent(r, p)
		if err != nil {
			return err
		}
		r.agents = append(r.agents, a)
		if err := r.paths.toRegister(a); err != nil {
			return err
		}
	}
	return nil
}

func (r *Run) number(n *model.Node) int { return slices.Index(r.fleet.Nodes, n) }

func (r *Run) problem(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.log.Error(text)
	if len(r.problems) < 50 {
		r.problems = append(r.problems, text)
	}
}

// drive brings the world forward: nodes' work, faults, news. It ends with ctx.
func (r *Run) drive(ctx context.Context, steps []model.Step) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-r.wake:
		}
		r.mu.Lock()
		now := r.now()
		for len(steps) > 0 && steps[0].At <= now {
			r.apply(now, steps[0])
			steps = steps[1:]
		}
		next := r.advance(now)
		for _, n := range r.registry.Due(now) {
			r.agents[n.Proxy].tell(now, n)
		}
		for _, a := range r.agents {
			a.heard(now)
		}
		next = min(next, r.registry.Next())
		if len(steps) > 0 {
			next = min(next, steps[0].At)
		}
		r.ledger.Advance(now)
		r.mu.Unlock()
		timer.Reset(min(max(next-r.now(), 0), 50*time.Millisecond))
	}
}

// advance plays all cells up to now, hands out what has ended and tells when something next does.
func (r *Run) advance(now time.Duration) time.Duration {
	next := model.Never
	for _, c := range r.fleet.Cells {
		for _, d := range c.Advance(now) {
			if d.Answer == model.OK && d.Job.Kind == model.Request {
				r.ledger.Made(d.Job.Request, r.number(d.Node), int(d.Job.Attempt))
			}
			if ch := r.waiting[d.Job]; ch != nil {
				delete(r.waiting, d.Job)
				ch <- d.Answer // it has room for one
			}
		}
		next = min(next, c.Next())
	}
	return next
}

// kick has the world driven anew: something has come that changes when it next must be.
func (r *Run) kick() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Run) apply(now time.Duration, s model.Step) {
	r.advance(now)
	switch s.Op {
	case model.OpRegister:
		r.registry.Stale(now, !s.Flag)
	case model.OpHeavy:
		share := s.Extra
		if s.Size == 1 {
			share = 0
		}
		r.gen.Heavy(s.Node, s.Size, share)
	case model.OpSlow:
		if s.Node >= 0 {
			n := r.fleet.Nodes[s.Node]
			r.fleet.Cells[n.CellNo].Apply(now, n, s)
			return
		}
		for _, c := range r.fleet.Cells {
			c.Apply(now, nil, s)
		}
	case model.OpChangeServices:
		for no := range r.proxies {
			r.running.Go(func() { r.changeServices(no, int(s.Size)) })
		}
	case model.OpMoveRegister:
		for no := range r.proxies {
			r.running.Go(func() { r.moveRegister(no) })
		}
	case model.OpKillProxy:
		away := proxyAway
		if s.Extra > 0 {
			away = time.Duration(s.Extra * float64(time.Second))
		}
		r.running.Go(func() { r.proxies[s.Node].killAndRestart(away) })
	case model.OpStopProxy:
		r.ledger.ProxyStopped(s.Node, true)
		r.proxies[s.Node].signal(syscall.SIGSTOP)
	case model.OpGoOnProxy:
		r.ledger.ProxyStopped(s.Node, false)
		r.proxies[s.Node].signal(syscall.SIGCONT)
	case model.OpLink:
		if err := r.paths.apply(s, r.spec.Faults[s.Node]); err != nil {
			r.problem("fault %d: %v", s.Node, err)
		}
	case model.OpRegisterBusy:
		r.calls.limit(now, s)
	case model.OpRegisterLost:
		for _, a := range r.agents {
			a.lose(s.Flag, s.Size)
		}
	case model.OpSilentWatch:
		if s.Flag {
			r.agents[s.Node].silence(now)
		} else {
			r.agents[s.Node].speak(now)
		}
	case model.OpState:
		if err := r.proxies[s.Node].spoil(s.Do); err != nil {
			r.problem("proxy %d: its state folder: %v", s.Node, err)
		}
	case model.OpRestartProxy:
		r.running.Go(func() { r.proxies[s.Node].restart() })
	case model.OpUpgradeProxy:
		r.running.Go(func() { r.proxies[s.Node].upgrade() })
	default:
		n, w := r.nodes[s.Node], r.fleet.Nodes[s.Node]
		r.fleet.Cells[w.CellNo].Apply(now, w, s)
		switch s.Op {
		case model.OpKill:
			n.kill()
		case model.OpStart:
			if err := n.listen(); err != nil {
				r.problem("node %d cannot come back: %v", s.Node, err)
				return
			}
		case model.OpCut:
			n.cutOff()
		case model.OpUncut:
			n.reconnect()
		}
		r.registry.Step(now, s, w.StartedAt)
	}
}

// changeServices replaces a proxy's file of services as a whole and tells the proxy.
func (r *Run) changeServices(no, before int) {
	if len(r.opts.Services) == 0 {
		return
	}
	c := r.proxies[no]
	if err := c.writeServices(r.opts.Services[(before+1)%len(r.opts.Services)]); err != nil {
		r.mu.Lock()
		r.problem("proxy %d: its file of services: %v", no, err)
		r.mu.Unlock()
		return
	}
	c.signal(syscall.SIGHUP)
}

// oldRegister is how long an address that the register has left still answers.
const oldRegister = 1500 * time.Millisecond

// moveRegister gives a proxy's agent another address and tells the proxy by its configuration and SIGHUP.
func (r *Run) moveRegister(no int) {
	old, err := r.agents[no].move()
	if err == nil {
		r.mu.Lock()
		r.agents[no].sighup = r.now() + sighupTold
		r.mu.Unlock()
		err = r.proxies[no].reload()
	}
	if err != nil {
		r.mu.Lock()
		r.problem("proxy %d: the register's move: %v", no, err)
		r.mu.Unlock()
		return
	}
	time.Sleep(oldRegister)
	old.Close()
}

// beat is how often this machine's lateness is measured.
const beat = 5 * time.Millisecond

// measure finds how late this machine wakes those that sleep.
func (r *Run) measure(ctx context.Context) {
	tick := time.NewTimer(beat)
	defer tick.Stop()
	for {
		due := time.Now().Add(beat)
		tick.Reset(beat)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		late := max(0, time.Since(due))
		r.mu.Lock()
		_ = r.lateness.RecordValue(max(1, int64(late/time.Microsecond)))
		r.worst = max(r.worst, late)
		r.mu.Unlock()
	}
}

// How late the machine may be for a run to count. The slack of the rules on sockets is 50 ms.
const (
	lateUsual = 10 * time.Millisecond // for 99 of 100
	lateWorst = 40 * time.Millisecond // for 9,999 of 10,000
)

// tooLate tells why the machine was too slow, if it was.
func (r *Run) tooLate(f *front) string {
	at := func(h *hdrhistogram.Histogram, q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	}
	var why []string
	if d := at(r.lateness, 99); d > lateUsual {
		why = append(why, fmt.Sprintf("one wake-up in 100 came %v late or more; %v is the most", d, lateUsual))
	}
	if d := at(r.lateness, 99.99); d > lateWorst {
		why = append(why, fmt.Sprintf("one wake-up in 10,000 came %v late or more; %v is the most", d, lateWorst))
	}
	if d := at(f.late, 99); d > 2*lateUsual {
		why = append(why, fmt.Sprintf("one request in 100 was sent %v late or more: the machine cannot keep up with %.0f a second", d, r.spec.Load.Rate))
	}
	return strings.Join(why, "; ")
}

// glimpse tells how the run stands.
func (r *Run) glimpse(f *front) {
	r.mu.Lock()
	v := r.ledger.Verdict(checker.UsualPrices)
	g := Glimpse{Now: r.now(), Of: r.spec.Duration, Asked: v.FirstTries, OK: v.OK - r.last.OK, Refused: v.Refused - r.last.Refused,
		Failed: v.Failed - r.last.Failed, Open: len(r.waiting), Late: r.worst, RulesBroken: v.RulesBroken, Attempts: v.Attempts,
		FirstTrys: v.FirstTries}
	r.worst = 0
	r.last = v
	for _, n := range r.fleet.Nodes {
		switch {
		case n.Cut:
			g.Cut++
		case n.Hangs:
			g.Hanging++
		case n.Condition == model.Up:
			g.Up++
		case n.Condition == model.Draining:
			g.Draining++
		default:
			g.Down++
		}
	}
	r.mu.Unlock()
	g.Proxies = f.serving()
	r.opts.Progress(g)
}

// nodeAddr is where a node listens for one proxy: each pair has an address of its own within 127.0.0.0/8, so
// that a node knows who sends.
func nodeAddr(proxy, node int) net.IP {
	return net.IPv4(127, byte(20+proxy%200), byte(1+node/250), byte(1+node%250))
}
