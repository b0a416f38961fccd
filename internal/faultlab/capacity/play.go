package capacity

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/policy/store"
	"lapisspread/internal/route"
	"lapisspread/internal/supervisor"
)

// reading is what all have spent so far.
type reading struct {
	at             time.Duration
	children       []figures
	paper          figures
	stewards       []time.Duration
	stewardMB      float64
	control, plain time.Duration
	controlMB      float64
}

func (r *run) read(ctx context.Context, collect bool) (reading, error) {
	out := reading{at: supervisor.Boottime(), children: make([]figures, len(r.remotes))}
	var all sync.WaitGroup
	errs := make([]error, len(r.remotes)+1)
	for i, c := range append(slices.Clone(r.remotes), r.paper) {
		all.Go(func() {
			e, err := c.call(ctx, r, order{Figures: true, Collect: collect})
			switch {
			case err != nil:
				errs[i] = err
			case c == r.paper:
				out.paper = *e.Fig
			default:
				out.children[i] = *e.Fig
			}
		})
	}
	for _, s := range r.stewards {
		out.stewards = append(out.stewards, s.spent())
		out.stewardMB = max(out.stewardMB, float64(s.process().anon())/1e6)
	}
	if r.control != nil {
		out.control, out.plain = r.control.cpu(), r.plain.cpu()
		out.controlMB = float64(r.control.anon()-r.plain.anon()) / 1e6
	}
	all.Wait()
	for _, err := range errs {
		if err != nil {
			return out, err
		}
	}
	return out, nil
}

// spent is what one hollow proxy took between two readings: bytes a second for policy and budgets, percent of a core, and the rig's.
func (r *run) spent(a, b reading) (policy, budget, cpu, rig float64) {
	var spent, length float64
	for i := range b.children {
		x, y := a.children[i], b.children[i]
		length = (y.At - x.At).Seconds()
		policy += float64(y.Policy-x.Policy) / length
		budget += float64(y.Budget-x.Budget) / length
		spent += (y.CPU - x.CPU).Seconds() / length
	}
	n := float64(r.set.hollow())
	rig = (b.paper.CPU - a.paper.CPU).Seconds() / (b.paper.At - a.paper.At).Seconds() / float64(len(r.paper.place.Proxies))
	return policy / n, budget / n, 100 * (spent/n - rig), 100 * rig
}

// play has the changes come, and measures.
func (r *run) play(ctx context.Context, res *Result) error {
	// What all begin with brings garbage and reports about it: a moment's quiet first.
	if err := pause(ctx, 2*time.Second); err != nil {
		return err
	}
	rest := make([]reading, restParts(r.set.Rest)+1) // between two of them nothing but reports should go
	for i := range rest {
		if i > 0 {
			if err := pause(ctx, r.set.Rest/time.Duration(len(rest)-1)); err != nil {
				return err
			}
		}
		var err error
		if rest[i], err = r.read(ctx, false); err != nil {
			return err
		}
	}
	r.say("the changes begin")
	r.mu.Lock()
	r.served, r.unchecked = 0, 0 // before the first policy there is nothing to answer by
	clear(r.unserved)
	r.early = nil
	r.mu.Unlock()
	began := supervisor.Boottime()
	checks, stopChecks := context.WithCancel(ctx)
	defer stopChecks()
	var beside sync.WaitGroup
	beside.Go(func() { r.sampling(checks) })
	if r.set.Faults {
		r.troubled = true
		beside.Go(func() { r.trouble(ctx, began) })
	}
	if err := r.offer(ctx, began); err != nil {
		return err
	}
	r.say("%d changes were offered; the last ones settle", len(r.changes))
	for r.goesOn() { // the last fault ends, and all catch up
		if err := pause(ctx, 50*time.Millisecond); err != nil {
			return err
		}
	}
	r.settle(ctx)
	if err := ctx.Err(); err != nil {
		return err
	}
	last, err := r.read(ctx, false)
	if err != nil {
		return err
	}
	stopChecks()
	beside.Wait()
	if err := r.finalSample(ctx, res); err != nil {
		return err
	}
	alive, err := r.read(ctx, true)
	if err != nil {
		return err
	}
	r.resolve()
	r.sum(res, rest, last, alive)
	return nil
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// offer offers the changes one after another, each at its time or once the one before was taken.
func (r *run) offer(ctx context.Context, began time.Duration) error {
	for no := 1; time.Duration(no)*r.set.Every <= r.set.Duration; no++ {
		if wait := began + time.Duration(no-1)*r.set.Every - supervisor.Boottime(); wait > 0 {
			if err := pause(ctx, wait); err != nil {
				return err
			}
		}
		moved := r.site.moved(no)
		c := &change{no: no, route: moved, seen: map[string]time.Duration{}}
		team := r.site.team(moved)
		text := r.site.file(team, no)
		e := expect{ID: int(r.lastID.Add(1)), Requests: []route.Request{r.site.request(moved)}, Services: [][]string{{r.site.want(moved, no)}}}
		c.at = supervisor.Boottime()
		r.mu.Lock()
		r.changes = append(r.changes, c)
		r.mu.Unlock()
		r.await(e, c, r.names())
		limit, cancel := context.WithTimeout(ctx, time.Minute)
		err := r.give(limit, store.Command{SubmitFile: &store.SubmitFile{Text: text, Author: teamName(team)}})
		if err == nil {
			c.answered = supervisor.Boottime()
			if st, err := r.standing(limit); err == nil {
				r.learn(st, no)
			}
		}
		cancel()
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			return fmt.Errorf("change %d was not taken: %w", no, err)
		}
	}
	return nil
}

// settle waits until all changes are in force, for so long as they may take.
func (r *run) settle(ctx context.Context) {
	limit, able := time.After(r.set.Settle), r.able()
	for {
		r.mu.Lock()
		left := 0
		for _, c := range r.changes {
			if r.inForce(c, able) == never {
				left++
			}
		}
		r.mu.Unlock()
		if left == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-limit:
			r.say("%d changes are not in force after %v", left, r.set.Settle)
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// inForce is how long after its offer a change was seen to hold at all living ones of some proxies; never if it was not. One that a later change of
// the same route overtook holds where that one does. A proxy that a fault held up meanwhile is not of the living. r.mu is held.
func (r *run) inForce(c *change, names []string) time.Duration {
	last := c.at
	of := []*change{c}
	for _, later := range r.changes[c.no:] {
		if later.route == c.route {
			of = append(of, later)
		}
	}
	for _, name := range names {
		at := never
		for _, one := range of {
			if t, there := one.seen[name]; there {
				at = min(at, t)
			}
		}
		excused := false
		for _, a := range r.away[name] {
			excused = excused || a.from <= at && a.to >= c.at
		}
		if excused {
			continue
		}
		if at == never {
			return never
		}
		last = max(last, at)
	}
	return last - c.at
}

// sampling asks all hollow proxies every now and then how they decide.
func (r *run) sampling(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.set.Seed, 0x5a))
	for pause(ctx, 2*time.Second) == nil {
		r.sampleOnce(rng, func(c *remote, routes []int, answer <-chan event) {
			go func() {
				select {
				case e := <-answer:
					for _, s := range e.Sample {
						r.check(s, routes)
					}
				case <-c.done:
				}
			}()
		})
	}
}

// sampleRoutes are those of the last changes, and drawn ones.
func (r *run) sampleRoutes(rng *rand.Rand) []int {
	var routes []int
	r.mu.Lock()
	for _, c := range r.changes[max(0, len(r.changes)-20):] {
		routes = append(routes, c.route)
	}
	r.mu.Unlock()
	for range 20 {
		routes = append(routes, rng.IntN(r.site.routes))
	}
	return routes
}

func (r *run) sampleOnce(rng *rand.Rand, take func(c *remote, routes []int, answer <-chan event)) {
	routes := r.sampleRoutes(rng)
	o := order{}
	for _, route := range routes {
		o.Sample = append(o.Sample, r.site.request(route))
	}
	r.mu.Lock()
	o.Known = slices.Collect(maps.Keys(r.contents))
	r.mu.Unlock()
	r.paper.ask(r, o)
	for _, c := range r.remotes {
		c.mu.Lock()
		stopped := c.stopped
		c.mu.Unlock()
		if !stopped {
			take(c, routes, c.ask(r, o))
		}
	}
}

// finalSample tells who is left behind: who does not decide by the newest content.
func (r *run) finalSample(ctx context.Context, res *Result) error {
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	rng := rand.New(rand.NewPCG(r.set.Seed, 0xf1))
	routes := r.sampleRoutes(rng)
	newest := content{changes: len(r.changes)}
	behind := func(proxy string, services []string) {
		for i, route := range routes {
			if want := r.want(route, newest); services[i] != want {
				res.LeftBehind++
				if len(res.Behind) < 5 {
					res.Behind = append(res.Behind, fmt.Sprintf("left behind: %s: %s leads to %q, not to %s", proxy, r.site.name(route), services[i], want))
				}
				return
			}
		}
	}
	o := order{}
	for _, route := range routes {
		o.Sample = append(o.Sample, r.site.request(route))
	}
	r.mu.Lock()
	o.Known = slices.Collect(maps.Keys(r.contents))
	r.mu.Unlock()
	for _, c := range r.remotes {
		e, err := c.call(ctx, r, o)
		if err != nil {
			return err
		}
		for _, s := range e.Sample {
			r.check(s, routes)
			behind(s.Proxy, s.Services)
		}
	}
	for _, p := range r.reals {
		var services []string
		for i, q := range o.Sample {
			service := ""
			for try := range 20 { // overload and the like are no matter of control
				if got, _, err := p.ask(q.Host, q.Path, q.Tenant, fmt.Sprintf("%s-end-%d-%d", p.name, i, try)); err == nil {
					service = got
					break
				}
				time.Sleep(50 * time.Millisecond)
			}
			services = append(services, service)
		}
		behind(p.name, services)
	}
	return nil
}

// resolve holds what was sampled of policies whose content was not known then against what it became known to be: the files that a
// proxy says it comes of are merged here, and if that has the hash that the policy was offered under, it is its content.
func (r *run) resolve() {
	r.mu.Lock()
	defer r.mu.Unlock()
	const most = 40
	merged := 0
	defer r.checkEarly()
	for _, hash := range slices.Sorted(maps.Keys(r.unknown)) {
		c, there := r.contents[hash]
		tried := map[string]bool{}
		for _, o := range r.unknown[hash] {
			if there || merged >= most {
				break
			}
			key := fmt.Sprint(o.sample.Numbers)
			if tried[key] || len(tried) > 3 {
				continue
			}
			tried[key] = true
			numbers := make([]int, r.site.teams)
			for team := range numbers {
				numbers[team] = max(1, int(o.sample.Numbers[teamName(team)]))
			}
			merged++
			if got, err := r.site.hashOf(numbers); err == nil && got == hash {
				c, there = content{numbers: numbers}, true
				r.contents[hash] = c
			}
		}
		for _, o := range r.unknown[hash] {
			if there {
				r.checkLocked(o.sample, o.routes, c)
			} else {
				r.unchecked++
			}
		}
	}
}

// checkEarly holds the attempts that came under epochs that were not known then against what these became known to be. r.mu is held.
func (r *run) checkEarly() {
	for _, a := range r.early {
		if c, there := r.epochs[a.epoch]; there {
			r.checkAttempt(a, c)
		} else {
			r.unchecked++
		}
	}
}

// hashOf is under which hash files' policy is offered.
func (t *site) hashOf(numbers []int) (string, error) {
	p, _, err := t.policyOf(numbers)
	if err != nil {
		return "", err
	}
	tree, err := p.Tree()
	if err != nil {
		return "", err
	}
	return tree.Root().String(), nil
}

// restParts is in how many parts of two seconds or more the time at rest is measured.
func restParts(rest time.Duration) int { return int(min(8, max(1, rest/(2*time.Second)))) }

// sum makes the summary of what was read: at rest, at the end of the changes, and of what is alive then.
func (r *run) sum(res *Result, rest []reading, last, alive reading) {
	rest0, first := rest[0], rest[len(rest)-1]
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []time.Duration
	for _, c := range r.changes {
		t := r.inForce(c, r.all)
		all = append(all, t)
		res.InForceAll = append(res.InForceAll, ms(t))
		if t != never {
			res.InForce++
			res.Max = max(res.Max, ms(t))
		}
	}
	res.Changes = len(all)
	if res.InForce == 0 {
		res.Max = -1
	}
	slices.Sort(all)
	res.P50, res.P99 = quantile(all, .5), quantile(all, .99)

	length := (last.at - first.at).Seconds()
	res.Length = length
	_, _, res.CPURest, _ = r.spent(rest0, first)
	for i := range rest[1:] { // the least: a proxy that fetches the first policy again, since its duty was held up, is not at rest
		if b, _, _, _ := r.spent(rest[i], rest[i+1]); i == 0 || b < res.BytesRest {
			res.BytesRest = b
		}
	}
	res.BytesPolicy, res.BytesBudget, res.CPU, res.CPURig = r.spent(first, last)
	res.BytesProxy = res.BytesPolicy + res.BytesBudget
	res.BytesChange = (res.BytesPolicy - res.BytesRest) * length / float64(max(1, len(r.changes)))
	n := float64(r.set.hollow())
	part := float64(len(r.paper.place.Proxies))
	var anon, live float64
	res.Troubles = map[string]int{}
	for i := range last.children {
		anon += float64(last.children[i].Anon)
		live += float64(alive.children[i].Live)
		for text, count := range last.children[i].Troubles {
			if len(res.Troubles) < 20 || res.Troubles[text] > 0 {
				res.Troubles[text] += count
			}
		}
	}
	res.Memory = (anon/n - float64(last.paper.Anon)/part) / 1e6
	res.Live = (live/n - float64(alive.paper.Live)/part) / 1e6
	if r.control != nil {
		res.RealPlain = 100 * (last.plain - first.plain).Seconds() / length
		res.RealCPU = 100*(last.control-first.control).Seconds()/length - res.RealPlain
		res.RealMB = last.controlMB
	}
	var spent []float64
	for i := range last.stewards {
		spent = append(spent, 100*(last.stewards[i]-first.stewards[i]).Seconds()/length)
	}
	slices.Sort(spent)
	for i := range first.stewards {
		res.StewardRest = max(res.StewardRest, 100*(first.stewards[i]-rest0.stewards[i]).Seconds()/(first.at-rest0.at).Seconds())
	}
	res.StewardCPU, res.StewardMB = spent[len(spent)-1], last.stewardMB
	for _, x := range spent[:len(spent)-1] {
		res.StewardOthers += x / float64(len(spent)-1)
	}
	res.Wrong = len(r.wrong)
	for _, name := range slices.Sorted(maps.Keys(r.wrong)) {
		if len(res.Evidence) < 5 {
			res.Evidence = append(res.Evidence, "wrong content: "+name+": "+r.wrong[name])
		}
	}
	for _, rule := range slices.Sorted(maps.Keys(r.broken)) {
		res.Broken = append(res.Broken, *r.broken[rule])
		res.RulesBroken += r.broken[rule].Count
	}
	res.Held = slices.Sorted(maps.Keys(r.held))
	res.Requests, res.Unchecked, res.Unanswered = r.served, r.unchecked, r.unserved
	for _, n := range r.unserved {
		res.NoAnswer += n
	}
	res.Faults = r.faults
	for _, f := range r.faults {
		if f.CaughtUp < 0 || res.CaughtUp < 0 {
			res.CaughtUp = -1
		} else {
			res.CaughtUp = max(res.CaughtUp, f.CaughtUp)
		}
	}
}

// leader is the steward that leads; -1 is none that says so.
func (r *run) leader(ctx context.Context) int {
	for i, s := range r.file.Servers {
		var st api.ServerStatus
		one, cancel := context.WithTimeout(ctx, time.Second)
		err := api.Call(one, r.operator, s.Address, api.PathStatus, nil, &st)
		cancel()
		if err == nil && st.Name == st.LeaderName {
			return i
		}
	}
	return -1
}
