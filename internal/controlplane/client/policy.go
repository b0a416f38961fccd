package client

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/policy/merkle"
	"lapisspread/internal/policy/namespace"
	"lapisspread/internal/policy/rollout"
	"lapisspread/internal/supervisor"
)

const (
	leastReport = 50 * time.Millisecond // between two reports
	mostReport  = time.Second
	reportTime  = 2 * time.Second // for one call

	unreadableRest = 30 * time.Second // until content that can't be read is fetched again
)

// Taken is a policy that was taken up whole. It never changes but for its counts.
type Taken struct {
	Offer  rollout.Offer
	Policy *namespace.Policy // nil of none
	Epoch  string            // as attempts carry it; empty of none
	Tree   *merkle.Tree      // its content; nil of none

	Before rollout.Offer   // that it was made of by Diff
	Diff   *namespace.Diff // what is not as in Before; nil where it was not made of it

	good, bad atomic.Int64
}

// Count counts a request that was decided under it. Of none it counts too: the stewards compare.
func (t *Taken) Count(good bool) {
	switch {
	case t == nil:
	case good:
		t.good.Add(1)
	default:
		t.bad.Add(1)
	}
}

// Policies is a proxy's side of the policy: one more duty beside the grants', watched in the same way. It reports to the stewards
// and takes up what they offer, whole or not at all.
type Policies struct {
	*Link   // of no budgets: it watches the duty
	install func(*Taken) error
	keeper  *keeper // nil without a folder

	now    atomic.Pointer[Taken]
	taking sync.Mutex // a duty that is stuck in there holds up the next one, and no request
	holder *rollout.Holder
	number atomic.Uint64
	refuse atomic.Pointer[refused]
	loose  bag
	got    atomic.Int64 // pieces that were taken
	wrong  atomic.Int64 // pieces that were not what they should be
	wants  func(root merkle.Name, has *merkle.Tree) assembly
	out    guards
}

// guards are those taken out, to see that the tests convict.
type guards struct {
	root  bool // content is taken whatever it comes to
	order bool // and whatever is held
}

// refused is a policy that came and can't be taken up yet: it need not come again. It is tried again by itself.
type refused struct {
	content               // without a tree it can't be read at all
	why     error         // of one without a tree
	until   time.Duration // for which one without a tree is not fetched again
}

// NewPolicies makes one. Install is handed each policy that is to be taken up, and has the process decide by it, or changes nothing
// and says why.
func NewPolicies(set Settings, install func(*Taken) error) *Policies {
	file := *set.File
	dir := file.State
	file.State, file.Budgets = "", nil
	set.File = &file
	p := &Policies{Link: New(set), install: install, holder: rollout.NewHolder(rollout.Offer{}),
		wants: func(root merkle.Name, has *merkle.Tree) assembly { return merkle.Assemble(root, has) }}
	p.number.Store(uint64(time.Now().UnixNano())) // rises over restarts too
	p.now.Store(&Taken{})
	if dir != "" {
		_ = os.MkdirAll(dir, 0o700) // if it can't be, keeping says so
		p.keeper = newKeeper(dir, set.Name)
	}
	p.duty.Work = p.follow
	return p
}

// Now is what requests are decided under.
func (p *Policies) Now() *Taken { return p.now.Load() }

// Recall takes up what the process before has kept. Without it the stewards tell it anew, and what could be read is not fetched again.
func (p *Policies) Recall() {
	if p.keeper == nil {
		return
	}
	c, loose, err := p.keeper.load()
	for _, piece := range loose {
		p.loose.put(piece)
	}
	if c.tree != nil {
		if wrong := p.take(c, func() bool { return true }); wrong != nil {
			err = wrong
			for _, piece := range c.tree.Pieces() {
				p.loose.put(piece)
			}
		}
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		p.trouble(PolicyNotTaken{c.offer.Epoch, err})
	}
}

// take takes a policy up, if may says so yet.
func (p *Policies) take(c content, may func() bool) error {
	p.taking.Lock()
	defer p.taking.Unlock()
	if !may() {
		return nil
	}
	before := p.holder.Has()
	if c.offer == before {
		return nil
	}
	next := rollout.NewHolder(before) // so that one that can't be installed is not had
	if p.out.root {
		c.hash = c.offer.Hash
	}
	if p.out.order {
		next = rollout.NewHolder(rollout.Offer{})
	}
	if err := next.TakeRoot(c.offer, c.hash); err != nil {
		return err
	}
	was := p.now.Load()
	t := &Taken{Offer: c.offer, Epoch: strconv.FormatUint(c.offer.Epoch, 10), Tree: c.tree}
	if was.Policy != nil {
		if policy, diff, err := was.Policy.With(merkle.Changes(was.Tree, c.tree)); err == nil {
			t.Policy, t.Diff, t.Before = policy, diff, was.Offer
		}
	}
	if t.Policy == nil { // there is none before, or it can't be made of it: it is read anew, whole
		policy, err := namespace.FromTree(c.tree)
		if err != nil {
			return unreadable{err}
		}
		t.Policy = policy
	}
	if err := p.install(t); err != nil {
		return err
	}
	p.holder = next
	p.now.Store(t)
	p.set.Log.Info("a policy was taken up", "epoch", c.offer.Epoch, "hash", c.offer.Hash)
	return nil
}

// unreadable is content that is whole and no policy.
type unreadable struct{ error }

func (e unreadable) Unwrap() error { return e.error }

func (p *Policies) follow(ctx context.Context, generation uint64) {
	current := func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return ctx.Err() == nil && p.generation == generation
	}
	every := min(mostReport, max(leastReport, p.set.File.Rollout().Silent/5))
	stewards := p.set.File.Stewards
	at := rand.IntN(len(stewards))
	address := stewards[at].Address
	f := newFetching(p)
	var waits *api.PolicyReport // it goes again until it is answered: twice it counts once
	for ctx.Err() == nil {
		p.duty.Heartbeat()
		if waits == nil {
			t := p.now.Load()
			waits = &api.PolicyReport{Fleet: p.set.File.Fleet, Proxy: p.set.Name, Number: p.number.Add(1), Has: t.Offer, Good: t.good.Swap(0), Bad: t.bad.Swap(0), Pieces: true}
			if not := p.refuse.Load(); not != nil {
				waits.Refused = not.offer
			}
		}
		waits.Most = f.along
		begun := p.clock()
		var reply api.PolicyReply
		p.counts.asks.Add(1)
		inner, cancel := context.WithTimeout(ctx, reportTime)
		err := api.Call(inner, p.client, address, api.PathReport, waits, &reply)
		slow := inner.Err() != nil
		cancel()
		var problem api.Problem
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			p.counts.answered.Add(1)
			p.mu.Lock()
			p.leader = address
			p.mu.Unlock()
			waits = nil
			f.pace(false)
			if err := p.taken(ctx, f, reply, current); err != nil {
				p.trouble(PolicyNotTaken{reply.Offer.Epoch, err})
			}
		case errors.As(err, &problem) && problem.Leader != "" && problem.Leader != address:
			p.counts.failed.Add(1)
			address = problem.Leader
		default:
			p.counts.failed.Add(1)
			p.trouble(err)
			f.pace(slow)
			at++
			address = stewards[at%len(stewards)].Address
		}
		// A fleet must not report in step. Over a slow link the time of the call is part of it, else the proxy would look silent; and while
		// it fetches a report is due between two turns, no more.
		rest := time.Duration(float64(every)*(.8+.4*rand.Float64())) - (p.clock() - begun)
		if err == nil && f.open() {
			rest = 0
		}
		supervisor.Sleep(ctx, max(rest, every/8))
	}
}

// taken takes up what a steward offers, once all of it is there.
func (p *Policies) taken(ctx context.Context, f *fetching, r api.PolicyReply, current func() bool) error {
	if r.Fleet != p.set.File.Fleet {
		return fmt.Errorf("a steward answers for fleet %q", r.Fleet)
	}
	if !r.Offer.After(p.now.Load().Offer) && !p.out.order {
		return nil // a steward that has just begun to lead offers the one before
	}
	var c content
	var err error
	if not := p.refuse.Load(); not != nil && not.offer == r.Offer && (not.tree != nil || p.clock() < not.until) {
		if not.tree == nil {
			return not.why
		}
		c = not.content
	} else if r.InPieces {
		c.offer = r.Offer
		c.tree, err = f.fetch(ctx, r)
		if c.tree != nil {
			c.hash = c.tree.Root().String()
		}
	} else {
		c, err = contentOf(r.Offer, r.Text)
	}
	if err == nil && c.tree == nil {
		return nil // it is on its way
	}
	if err == nil {
		err = p.take(c, current)
	}
	var malformed merkle.Malformed
	var no unreadable
	switch {
	case errors.As(err, &malformed) || errors.As(err, &no): // of the root that was offered: what the stewards have is so
		p.refuse.Store(&refused{content{offer: r.Offer}, err, p.clock() + unreadableRest})
		f.anew()
		return err
	case err != nil && c.tree != nil && c.hash == c.offer.Hash:
		p.refuse.Store(&refused{content: c})
		return err
	case err != nil:
		return err
	}
	p.refuse.Store(nil)
	if p.now.Load().Offer != r.Offer {
		return nil // another duty has taken over: nothing that does not hold is kept
	}
	f.anew()
	if p.keeper == nil {
		return nil
	}
	if err := p.keeper.save(c); err != nil {
		return fmt.Errorf("it holds, but is not kept for the next process: %w", err)
	}
	return nil
}

// PolicyReport is what the console shows.
type PolicyReport struct {
	Epoch    uint64    `json:"epoch"` // 0 is none
	Order    uint64    `json:"order"`
	Hash     string    `json:"hash"`
	Steward  string    `json:"steward"` // that answered last
	Asks     int64     `json:"reports"`
	Answered int64     `json:"answered"`
	Failed   int64     `json:"failed"`
	Died     int64     `json:"duties_died"`
	Stuck    int64     `json:"duties_stuck"`
	Pieces   int64     `json:"pieces"`       // that came and were wanted
	Wrong    int64     `json:"pieces_wrong"` // that came and were not what they should be
	Troubles []Trouble `json:"troubles,omitempty"`
}

// PolicyReport tells how it stands. It waits for nobody.
func (p *Policies) PolicyReport() PolicyReport {
	r, o := p.Link.Report(), p.now.Load().Offer
	return PolicyReport{o.Epoch, o.Order, o.Hash, r.Steward, r.Asks, r.Answered, r.Failed, r.Died, r.Stuck, p.got.Load(), p.wrong.Load(), r.Troubles}
}

// PolicyNotTaken is a policy that this proxy was offered and could not take up: it goes on with the one before.
type PolicyNotTaken struct {
	Epoch uint64
	Err   error
}

func (e PolicyNotTaken) Error() string {
	return fmt.Sprintf("the policy of epoch %d was not taken up: %v", e.Epoch, e.Err)
}
func (e PolicyNotTaken) Unwrap() error { return e.Err }

// Advice is what an operator can do.
func (PolicyNotTaken) Advice() string {
	return "The proxy goes on as before. If services are missing, enter them in its file of services and have it read again; it tries " +
		"by itself each time that it reports. The roll-out waits meanwhile."
}
