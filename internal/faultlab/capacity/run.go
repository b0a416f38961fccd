package capacity

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/faultlab/loopbackaddr"
	"lapisspread/internal/faultlab/model"
	"lapisspread/internal/policy/rollout"
	"lapisspread/internal/policy/store"
	"lapisspread/internal/supervisor"
)

// run is one play.
type run struct {
	set       Settings
	site      *site
	world     model.Spec
	services  []string
	dir       string
	folders   string // what hollow proxies keep is in it
	fleetPath string // for stewards and the operator
	file      *api.Config
	operator  *http.Client

	register string
	members  []map[string]any
	servers  []*http.Server

	stewards       []*steward
	remotes        []*remote
	paper          *remote // calibrates
	reals          []*real
	control, plain *real
	running        sync.WaitGroup
	lastID         atomic.Int64

	all []string // names of all proxies

	mu        sync.Mutex // of what follows
	changes   []*change  // the first is number 1
	waits     map[int]*wait
	contents  map[string]content // of policies, by hash
	epochs    map[uint64]content
	unknown   map[string][]odd
	odds      int
	away      map[string][]span
	wrong     map[string]string // proxies that decided otherwise than they say, with the first evidence
	broken    map[string]*Broken
	faults    []Fault
	troubled  bool // faults go on
	held      map[string]bool
	early     []attempt // under epochs that were not known yet
	unchecked int
	served    int
	unserved  map[string]int // by why
	over      bool
}

// change is one, as an operator offers it.
type change struct {
	no, route int
	at        time.Duration // the offer's call
	answered  time.Duration // it was taken; 0 is not
	seen      map[string]time.Duration
}

// wait is for proxies to decide by something.
type wait struct {
	expect expect
	change *change // nil is another wait
	left   map[string]bool
	done   chan struct{}
	at     time.Duration // the last one was seen
	passed bool          // a later change of the same route has come: real proxies' clients ask no more
}

// content is what a policy is made of: all changes up to one, or files by their teams' numbers.
type content struct {
	changes int
	numbers []int
}

// odd is a sample of a policy whose content is not known yet.
type odd struct {
	sample sample
	routes []int
}

type span struct{ from, to time.Duration }

const never = time.Duration(1<<63 - 1)

func (r *run) say(format string, args ...any) {
	if r.set.Say != nil {
		r.set.Say(format, args...)
	}
}

// want is where a route leads by a content.
func (r *run) want(route int, c content) string {
	if c.numbers != nil {
		return r.site.service(route, r.site.movesOf(route, c.numbers[r.site.team(route)]))
	}
	return r.site.want(route, c.changes)
}

// broke notes that something was seen that must never be.
func (r *run) broke(rule, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.brokeLocked(rule, what)
}

func (r *run) brokeLocked(rule, what string) {
	b := r.broken[rule]
	if b == nil {
		b = &Broken{Rule: rule}
		r.broken[rule] = b
	}
	if b.Count++; len(b.Evidence) < 5 {
		b.Evidence = append(b.Evidence, what)
	}
}

// died notes a process that ended by itself.
func (r *run) died(p *process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.over {
		r.brokeLocked("a process ended by itself", fmt.Sprintf("%s: %v\n    %s", p.name, p.err, p.lastLines()))
	}
}

// Play does a run. The error is why it could not be done, TooLarge where it does not fit; what did not hold is in the result.
func Play(ctx context.Context, set Settings) (*Result, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	need, err := set.Fits()
	if err != nil {
		return nil, err
	}
	r := &run{set: set, site: newSite(&set), world: newWorld(), operator: &http.Client{Transport: api.NewTransport(nil)}, waits: map[int]*wait{},
		contents: map[string]content{}, epochs: map[uint64]content{}, unknown: map[string][]odd{}, away: map[string][]span{}, wrong: map[string]string{},
		broken: map[string]*Broken{}, held: map[string]bool{}, unserved: map[string]int{}}
	r.services = r.site.serviceNames()
	r.say("needs %v", need)
	memory := "" // what proxies keep is written often, and no disk of a real fleet is shared by so many: in memory, if that has room
	if _, err := os.Stat("/dev/shm"); err == nil {
		memory = "/dev/shm"
	}
	if r.dir, err = os.MkdirTemp(memory, "faultlab-capacity-"); err != nil {
		return nil, err
	}
	defer os.RemoveAll(r.dir)
	r.folders = r.dir
	if !need.Folders {
		if r.folders, err = os.MkdirTemp("", "faultlab-capacity-"); err != nil {
			return nil, err
		}
		defer os.RemoveAll(r.folders)
	}
	defer r.end()
	res := &Result{Need: need, Proxies: set.Proxies, Hollow: set.hollow(), Processes: set.processes(), Seed: set.Seed, Teams: set.Teams}
	if err := r.begin(ctx, res); err != nil {
		return nil, err
	}
	if err := r.play(ctx, res); err != nil {
		return nil, err
	}
	return res, nil
}

// begin brings all up until every proxy decides by one policy.
func (r *run) begin(ctx context.Context, res *Result) error {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, r.set.Start)
	defer cancel()
	if err := r.startStewards(ctx); err != nil {
		return err
	}
	if err := r.load(ctx); err != nil {
		return fmt.Errorf("the first policy: %w", err)
	}
	res.LoadMS = ms(time.Since(began))
	r.say("%v: three stewards have the first policy, %d files", time.Since(began).Round(time.Millisecond), r.site.teams)
	if err := r.startProxies(ctx, res); err != nil {
		return err
	}
	w := r.await(r.expectAt(0, r.site.order[:min(20, len(r.site.order))]), nil, r.able())
	select {
	case <-w.done:
	case <-ctx.Done():
		return fmt.Errorf("%v after the start %d of %d proxies do not decide by the first policy%s", r.set.Start, r.count(w), r.set.Proxies, r.stand(ctx))
	}
	if err := again(ctx, "what goes out at the beginning is through", func() error {
		s, err := r.file.PolicyStatus(ctx, r.operator)
		switch st := s.Policy; {
		case err != nil:
			return err
		case !s.IsLeader || st.Candidate.Epoch > 0 || newest(st).Hash != st.Active.Hash || s.Updated < s.ProxyCount-(r.set.Proxies-len(r.able())):
			return fmt.Errorf("%s: %d of %d proxies have it%s", s.RolloutState, s.Updated, s.ProxyCount, r.stand(ctx))
		}
		return nil
	}); err != nil {
		return err
	}
	res.StartMS = ms(time.Since(began))
	r.say("%v: all proxies decide by the first policy", time.Since(began).Round(time.Millisecond))
	return nil
}

// able are all proxies that can be expected to decide by what is offered at last: it is no use to wait for others.
func (r *run) able() []string {
	var all []string
	for _, name := range r.names() {
		no, hollow := strings.CutPrefix(name, "h")
		n, err := strconv.Atoi(no)
		if flaw := r.set.Flaws[n]; hollow && err == nil && flaw != "" && flaw != FlawLate {
			continue
		}
		all = append(all, name)
	}
	return all
}

// names are all proxies.
func (r *run) names() []string {
	var all []string
	for _, p := range r.reals {
		all = append(all, p.name)
	}
	for _, c := range r.remotes {
		for _, p := range c.place.Proxies {
			all = append(all, p.Name)
		}
	}
	return all
}

func (r *run) fleetText(state string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "version = 1\nfleet = \"capacity\"\nlongest = \"3s\"\n")
	if state != "" {
		fmt.Fprintf(&b, "state = %q\n", state)
	}
	for _, s := range r.stewards {
		fmt.Fprintf(&b, "[[stewards]]\nname = %q\nnumber = %d\naddress = %q\n", s.name(), s.no+1, s.addr)
	}
	for i := range r.set.Budgets {
		whole := max(10, 2*r.set.Rate*float64(r.set.Proxies)/10)
		fmt.Fprintf(&b, "[[budgets]]\nname = \"b%d\"\nof = { counts = \"attempts\", service = \"budget-%d\" }\nwhole = %f\nburst = %f\nlease = \"3s\"\n", i, i, whole, whole)
	}
	b.WriteString("[policy]\nroutes = true\n")
	if r.set.Watch > 0 {
		fmt.Fprintf(&b, "watch = %q\n", r.set.Watch)
	}
	if r.set.Enough > 0 {
		fmt.Fprintf(&b, "enough = %d\n", r.set.Enough)
	}
	return b.String()
}

func (r *run) startStewards(ctx context.Context) error {
	for no := range stewards {
		at, err := loopbackaddr.Addr()
		if err != nil {
			return err
		}
		r.stewards = append(r.stewards, &steward{no: no, addr: at, dir: filepath.Join(r.dir, fmt.Sprintf("steward-%d", no+1))})
	}
	r.fleetPath = filepath.Join(r.dir, "fleet.toml")
	if err := os.WriteFile(r.fleetPath, []byte(r.fleetText("")), 0o600); err != nil {
		return err
	}
	var err error
	if r.file, err = api.Load(r.fleetPath); err != nil {
		return err
	}
	for _, s := range r.stewards {
		if err := r.startSteward(s); err != nil {
			return err
		}
	}
	if err := again(ctx, "the fleet is founded", func() error { return r.file.Bootstrap(ctx, r.operator, 1) }); err != nil {
		return err
	}
	return again(ctx, "budgets are set", func() error { _, err := r.file.SetQuotas(ctx, r.operator, 0, nil); return err })
}

// again does something until it works, or ctx ends.
func again(ctx context.Context, what string, do func() error) error {
	for {
		err := do()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: not done: %w", what, err)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// give gives the stewards an operator's word until it is taken or the book says no.
func (r *run) give(ctx context.Context, c store.Command) error {
	var no error
	err := again(ctx, "an operator's word", func() error {
		err := r.file.SendPolicyCommand(ctx, r.operator, c)
		if err != nil && api.IsFinalPolicyError(err) {
			no = err
			return nil
		}
		return err
	})
	return errors.Join(err, no)
}

// load gives the stewards the first policy. Then all proxies are told to have it at once, as an operator can: there is no fleet yet in
// which it could go out by steps.
func (r *run) load(ctx context.Context) error {
	if err := r.give(ctx, store.Command{SetDeclaration: &store.SetDeclaration{Text: r.site.charter()}}); err != nil {
		return err
	}
	for team := range r.site.teams {
		if err := r.give(ctx, store.Command{SubmitFile: &store.SubmitFile{Text: r.site.file(team, 0), Author: teamName(team)}}); err != nil {
			return err
		}
	}
	st, err := r.standing(ctx)
	if err != nil {
		return err
	}
	r.learn(st, 0)
	if o := newest(st); o != st.Active && slices.Contains(st.RetainedEpochs, o.Epoch) {
		if err := r.give(ctx, store.Command{Rollback: &store.Rollback{Epoch: o.Epoch}}); err != nil {
			r.say("the first policy goes out by steps: %v", err)
		}
		if st, err = r.standing(ctx); err != nil {
			return err
		}
		r.learn(st, 0)
	}
	return nil
}

func (r *run) standing(ctx context.Context) (st store.Status, err error) {
	err = again(ctx, "how the policy stands", func() error {
		s, err := r.file.PolicyStatus(ctx, r.operator)
		if err == nil && !s.IsLeader {
			err = errors.New("no steward leads")
		}
		st = s.Policy
		return err
	})
	return st, err
}

// newest is what all that was offered has come to.
func newest(st store.Status) rollout.Version {
	if st.Head.Epoch > 0 {
		return st.Head
	}
	if st.Candidate.Epoch > 0 {
		return st.Candidate
	}
	return st.Active
}

// learn notes what the newest policy is made of: changes are offered one after another, each with all before it.
func (r *run) learn(st store.Status, changes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range st.WithheldFiles {
		r.held[h.Namespace+": "+h.Reason] = true
	}
	for _, f := range st.FailedChanges {
		r.held[fmt.Sprintf("%s/%d, taken out: %s", f.Namespace, f.Number, f.Reason)] = true
	}
	o := newest(st)
	if o.Epoch == 0 {
		return
	}
	if _, there := r.contents[o.Hash]; !there {
		r.contents[o.Hash] = content{changes: changes}
	}
	if _, there := r.epochs[o.Epoch]; !there {
		r.epochs[o.Epoch] = content{changes: changes}
	}
}

func (r *run) startProxies(ctx context.Context, res *Result) error {
	rng := rand.New(rand.NewPCG(r.set.Seed, 0xbad))
	var all []placed
	for no := range r.set.hollow() {
		all = append(all, placed{No: no, Name: fmt.Sprintf("h%d", no), Flaw: r.set.Flaws[no], Rate: r.set.Rate, Bad: r.set.Bad * 2 * rng.Float64()})
	}
	for at := 0; at < len(all); at += r.set.Each {
		p := place{Fleet: r.fleetPath, Dir: r.folders, Services: r.services, Proxies: all[at:min(at+r.set.Each, len(all))], Collect: res.Need.Collect}
		p.Room = int64(1e6 * (res.Need.RoomMB - .7) * float64(len(p.Proxies)))
		c, err := r.child(fmt.Sprintf("hollow proxies %d and on", at), p)
		if err != nil {
			return err
		}
		r.remotes = append(r.remotes, c)
	}
	paper := r.remotes[0].place
	paper.Paper, paper.Proxies = true, slices.Clone(paper.Proxies)
	for i := range paper.Proxies {
		paper.Proxies[i].Name = fmt.Sprintf("paper%d", i)
		paper.Proxies[i].Flaw = ""
	}
	var err error
	if r.paper, err = r.child("the calibrating process", paper); err != nil {
		return err
	}
	if err := r.startBackends(); err != nil {
		return err
	}
	joined := filepath.Join(r.dir, "fleet-real.toml")
	if err := os.WriteFile(joined, []byte(r.fleetText(filepath.Join(r.dir, "state-real"))), 0o600); err != nil {
		return err
	}
	for no := range r.set.Real {
		p, err := r.startReal(fmt.Sprintf("real%d", no), joined)
		if err != nil {
			return err
		}
		r.reals = append(r.reals, p)
	}
	waits := slices.Clone(r.reals)
	if r.set.Real > 0 {
		if r.control, err = r.startReal("control", joined); err != nil {
			return err
		}
		if r.plain, err = r.startReal("plain", ""); err != nil {
			return err
		}
		waits = append(waits, r.control, r.plain)
	}
	for _, p := range waits {
		if err := p.healthy(ctx); err != nil {
			return err
		}
	}
	for _, c := range append(slices.Clone(r.remotes), r.paper) {
		select {
		case <-c.ready:
		case <-c.done:
			return fmt.Errorf("%s ended at its start: %v\n    %s", c.name, c.err, c.lastLines())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	r.all = r.names()
	for _, p := range r.reals {
		r.running.Go(func() { r.client(p) })
	}
	return nil
}

// expectAt is that some routes lead where they do after so many changes, or where the next change of them leads.
func (r *run) expectAt(changes int, routes []int) expect {
	e := expect{ID: int(r.lastID.Add(1))}
	for _, route := range routes {
		moves := r.site.moves(route, changes)
		e.Requests = append(e.Requests, r.site.request(route))
		e.Services = append(e.Services, []string{r.site.service(route, moves), r.site.service(route, moves+1)})
	}
	return e
}

// await has all proxies tell once they decide so; left are those that are waited for.
func (r *run) await(e expect, c *change, left []string) *wait {
	w := &wait{expect: e, change: c, left: map[string]bool{}, done: make(chan struct{})}
	for _, name := range left {
		w.left[name] = true
	}
	r.mu.Lock()
	for _, old := range r.waits {
		old.passed = old.passed || c != nil && old.change != nil && old.change.route == c.route
	}
	r.waits[e.ID] = w
	r.mu.Unlock()
	for _, c := range r.remotes {
		c.orders <- order{Expect: &e}
	}
	r.paper.orders <- order{Expect: &e}
	return w
}

func (r *run) count(w *wait) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(w.left)
}

// saw takes in that a proxy decides as expected.
func (r *run) saw(s seen) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.waits[s.ID]
	if w == nil {
		return
	}
	if w.change != nil {
		if _, there := w.change.seen[s.Proxy]; !there {
			w.change.seen[s.Proxy] = s.At
		}
	}
	if !w.left[s.Proxy] {
		return
	}
	delete(w.left, s.Proxy)
	w.at = max(w.at, s.At)
	if len(w.left) == 0 {
		close(w.done)
	}
}

// realEvery is between two requests of a real proxy's client.
const realEvery = 25 * time.Millisecond

// client sends requests through a real proxy until the run is over: of routes that something is expected of, or drawn ones.
func (r *run) client(p *real) {
	rng := rand.New(rand.NewPCG(r.set.Seed, uint64(len(p.name))+uint64(p.addr[len(p.addr)-1])))
	met := map[int]int{} // by wait: how many of its requests have gone as expected
	lastEpoch := uint64(0)
	n := 0
	for {
		r.mu.Lock()
		over := r.over
		var w *wait
		for id, one := range r.waits { // any of them: the order of a map is drawn
			if met[id] < len(one.expect.Requests) && !one.passed {
				w = one
				break
			}
		}
		r.mu.Unlock()
		if over {
			return
		}
		n++
		route, at := rng.IntN(r.site.routes), 0
		if n%4 == 0 { // not only what may wait for long
			w = nil
		}
		q := r.site.request(route)
		if w != nil {
			at = met[w.expect.ID]
			q = w.expect.Requests[at]
			route, _ = strconv.Atoi(strings.TrimSuffix(strings.TrimPrefix(q.Path, "/r"), "/x"))
		}
		service, epochs, err := p.ask(q.Host, q.Path, q.Tenant, fmt.Sprintf("%s-%d", p.name, n))
		now := supervisor.Boottime()
		switch {
		case err != nil && lastEpoch == 0: // it has no policy yet
		case err != nil:
			r.mu.Lock()
			r.unserved[err.Error()]++
			r.mu.Unlock()
		case len(epochs) > 1 || len(epochs) == 0 && lastEpoch > 0:
			r.broke("an attempt without exactly one epoch", fmt.Sprintf("%s: %q to %s", p.name, epochs, service))
		case len(epochs) == 1:
			epoch, err := strconv.ParseUint(epochs[0], 10, 64)
			if err != nil || epoch < lastEpoch {
				r.broke("went back", fmt.Sprintf("%s: attempts under epoch %q after %d", p.name, epochs[0], lastEpoch))
			}
			lastEpoch = epoch
			r.attempted(attempt{p.name, epoch, route, service})
		}
		if err == nil && w != nil && slices.Contains(w.expect.Services[at], service) {
			if met[w.expect.ID]++; met[w.expect.ID] == len(w.expect.Requests) {
				r.saw(seen{w.expect.ID, p.name, now})
			}
		}
		time.Sleep(realEvery)
	}
}

// ask sends a request, and tells by which service's backend it was answered, and under which epochs it came there.
func (p *real) ask(host, path, tenant, id string) (service string, epochs []string, err error) {
	q, err := http.NewRequest(http.MethodGet, "http://"+p.addr+path, nil)
	if err != nil {
		return "", nil, err
	}
	q.Host = host
	q.Header.Set("X-Request-Id", id)
	q.Header.Set("X-Priority-Class", requestClass)
	q.Header.Set("X-Timeout-Ms", "1000")
	if tenant != "" {
		q.Header.Set("X-Tenant-Id", tenant)
	}
	a, err := p.client.Do(q)
	if err != nil {
		return "", nil, err
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	if err == nil && a.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %.80s", a.Status, text)
	}
	if err != nil {
		return "", nil, err
	}
	words := strings.Fields(string(text))
	if len(words) == 0 {
		return "", nil, errors.New("an empty answer")
	}
	return words[0], words[1:], nil
}

// attempt is one of a real proxy, as it came to a backend.
type attempt struct {
	proxy   string
	epoch   uint64
	route   int
	service string
}

// attempted holds one against the policy of its epoch, or keeps it until that is known.
func (r *run) attempted(a attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.served++
	if c, there := r.epochs[a.epoch]; there {
		r.checkAttempt(a, c)
	} else if len(r.early) < 100_000 {
		r.early = append(r.early, a)
	} else {
		r.unchecked++
	}
}

func (r *run) checkAttempt(a attempt, c content) {
	if want := r.want(a.route, c); want != a.service {
		r.wrongLocked(a.proxy, fmt.Sprintf("epoch %d: a request of %s came to %s, not to %s", a.epoch, r.site.name(a.route), a.service, want))
	}
}

func (r *run) wrongLocked(proxy, what string) {
	if r.wrong[proxy] == "" {
		r.wrong[proxy] = what
	}
}

// check holds what hollow proxies decided against the policy that they say they have.
func (r *run) check(s sample, routes []int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Says.Epoch == 0 {
		return
	}
	c, there := r.contents[s.Says.Hash]
	if !there {
		if r.odds++; r.odds <= 100_000 {
			r.unknown[s.Says.Hash] = append(r.unknown[s.Says.Hash], odd{s, routes})
		}
		return
	}
	r.checkLocked(s, routes, c)
}

func (r *run) checkLocked(s sample, routes []int, c content) {
	if _, there := r.epochs[s.Says.Epoch]; !there {
		r.epochs[s.Says.Epoch] = c
	}
	for i, route := range routes {
		if want := r.want(route, c); s.Services[i] != want {
			r.wrongLocked(s.Proxy, fmt.Sprintf("it says epoch %d; %s leads to %q, not to %s", s.Says.Epoch, r.site.name(route), s.Services[i], want))
			return
		}
	}
}

// end ends all processes.
func (r *run) end() {
	r.mu.Lock()
	r.over = true
	r.mu.Unlock()
	var all sync.WaitGroup
	stop := func(p *process) {
		if p != nil {
			all.Go(p.end)
		}
	}
	for _, c := range r.remotes {
		stop(c.process)
	}
	if r.paper != nil {
		stop(r.paper.process)
	}
	for _, p := range append(slices.Clone(r.reals), r.control, r.plain) {
		if p != nil {
			stop(p.process)
			p.client.CloseIdleConnections()
		}
	}
	all.Wait()
	for _, s := range r.stewards {
		stop(s.process())
	}
	all.Wait()
	for _, s := range r.servers {
		s.Close()
	}
	r.operator.CloseIdleConnections()
	r.running.Wait()
}

// stand is how stewards and the first proxies say that they stand, to be put behind an error.
func (r *run) stand(ctx context.Context) string {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 3*time.Second)
	defer cancel()
	st, err := r.file.PolicyStatus(ctx, r.operator)
	out := fmt.Sprintf("; the stewards say: %s, %d of %d proxies have it, %d refuse it; base %d, next %d, stopped %+v, %v", st.RolloutState, st.Updated, st.ProxyCount, st.Rejected,
		st.Policy.Active.Epoch, st.Policy.Candidate.Epoch, st.Policy.Stopped, err)
	if e, err := r.remotes[0].call(ctx, r, order{Figures: true}); err == nil {
		for text, n := range e.Fig.Troubles {
			out += fmt.Sprintf("\n%d times: %s", n, text)
		}
	}
	return out
}
