package capacity

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"lapisspread/internal/supervisor"
)

// The kinds of faults.
const (
	LeaderKilled   = "leader-killed"   // the steward that leads is killed, and started again
	StewardStopped = "steward-stopped" // a steward is stopped, and woken
	ProxiesStopped = "proxies-stopped" // a tenth of the hollow proxies, by whole processes, is stopped through several changes, and woken
	AnewEmpty      = "anew-empty"      // a third of the hollow proxies begins anew, without what they kept
	AnewKept       = "anew-kept"       // likewise, with it
	LinksCut       = "links-cut"       // the links to the stewards of a process's hollow proxies are cut, and joined
)

// Kinds are all of them.
func Kinds() []string {
	return []string{LeaderKilled, StewardStopped, ProxiesStopped, AnewEmpty, AnewKept, LinksCut}
}

const (
	stewardAway = 3 * time.Second  // that is killed or stopped
	mostAway    = 30 * time.Second // of proxies
	mostCatchUp = 45 * time.Second // that all are waited for after a fault
	between     = time.Second      // faults
)

// goesOn tells whether faults are still played.
func (r *run) goesOn() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.troubled
}

// trouble plays faults one after another while changes come, each with its end. All kinds come in a drawn order, then again.
func (r *run) trouble(ctx context.Context, began time.Duration) {
	defer func() {
		r.mu.Lock()
		r.troubled = false
		r.mu.Unlock()
	}()
	rng := rand.New(rand.NewPCG(r.set.Seed, 0xfa))
	for {
		for _, i := range rng.Perm(len(Kinds())) {
			if pause(ctx, between) != nil || supervisor.Boottime()-began > r.set.Duration {
				return
			}
			f := Fault{Kind: Kinds()[i], At: ms(supervisor.Boottime() - began)}
			r.say("fault: %s", f.Kind)
			if err := r.fault(ctx, &f, rng); err != nil {
				if ctx.Err() == nil {
					r.broke("a fault could not be played", f.Kind+": "+err.Error())
				}
				return
			}
			r.mu.Lock()
			r.faults = append(r.faults, f)
			r.mu.Unlock()
		}
	}
}

// fault plays one, and waits until all have caught up with what was offered until its end.
func (r *run) fault(ctx context.Context, f *Fault, rng *rand.Rand) error {
	begin := supervisor.Boottime()
	var befell []string
	away := min(mostAway, max(3*r.set.Every, 4*time.Second))
	switch f.Kind {
	case LeaderKilled:
		no := max(0, r.leader(ctx))
		r.stewards[no].kill()
		err := pause(ctx, stewardAway)
		if e := r.startSteward(r.stewards[no]); err == nil {
			err = e
		}
		if err != nil {
			return err
		}
	case StewardStopped:
		p := r.stewards[rng.IntN(len(r.stewards))].process()
		p.signal(syscall.SIGSTOP)
		err := pause(ctx, stewardAway)
		p.signal(syscall.SIGCONT)
		if err != nil {
			return err
		}
	case ProxiesStopped, LinksCut:
		n := 1
		if f.Kind == ProxiesStopped {
			n = max(1, len(r.remotes)/10)
		}
		var some []*remote
		for _, i := range rng.Perm(len(r.remotes))[:n] {
			some = append(some, r.remotes[i])
			befell = append(befell, r.remotes[i].hollow()...)
		}
		r.leave(befell, begin)
		for _, c := range some {
			if err := r.cut(ctx, c, f.Kind, true); err != nil {
				return err
			}
		}
		err := pause(ctx, away)
		for _, c := range some {
			if e := r.cut(ctx, c, f.Kind, false); err == nil {
				err = e
			}
		}
		if err != nil {
			return err
		}
	case AnewEmpty, AnewKept:
		by := map[*remote][]string{}
		for _, c := range r.remotes {
			for _, name := range c.hollow() {
				if rng.IntN(3) == 0 {
					by[c] = append(by[c], name)
					befell = append(befell, name)
				}
			}
		}
		r.leave(befell, begin)
		answers := map[*remote]<-chan event{}
		for c, names := range by {
			answers[c] = c.ask(r, order{Anew: names, Empty: f.Kind == AnewEmpty})
		}
		for c, answer := range answers {
			select {
			case <-answer:
			case <-c.done:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
	r.mu.Lock()
	end, offered := supervisor.Boottime(), len(r.changes)
	var routes []int
	for _, c := range r.changes[max(0, offered-50):] {
		routes = append(routes, c.route)
	}
	r.mu.Unlock()
	if len(routes) == 0 {
		routes = r.site.order[:1]
	}
	f.Lasted, f.Proxies = ms(end-begin), len(befell)
	w := r.await(r.expectAt(offered, routes), nil, r.able())
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-w.done:
		r.mu.Lock()
		f.CaughtUp = ms(w.at - end)
		r.mu.Unlock()
		r.comeBack(befell, w.at)
	case <-time.After(mostCatchUp):
		f.CaughtUp, f.Behind = -1, r.count(w)
	}
	return nil
}

// cut has a process's hollow proxies stopped, or their links cut; or ends that.
func (r *run) cut(ctx context.Context, c *remote, kind string, on bool) error {
	if kind == LinksCut {
		_, err := c.call(ctx, r, order{Cut: &on})
		return err
	}
	c.mu.Lock()
	c.stopped = on
	c.mu.Unlock()
	if on {
		c.signal(syscall.SIGSTOP)
	} else {
		c.signal(syscall.SIGCONT)
	}
	return nil
}

// hollow are the names of a process's proxies.
func (c *remote) hollow() []string {
	var all []string
	for _, p := range c.place.Proxies {
		all = append(all, p.Name)
	}
	return all
}

// leave notes that proxies are not of the living from a moment on.
func (r *run) leave(names []string, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range names {
		r.away[name] = append(r.away[name], span{at, never})
	}
}

// comeBack notes that they have caught up.
func (r *run) comeBack(names []string, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range names {
		r.away[name][len(r.away[name])-1].to = at
	}
}
