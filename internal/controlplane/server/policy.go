package server

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"lapisspread/internal/consensus"
	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/operatorerror"
	"lapisspread/internal/policy/rollout"
	"lapisspread/internal/policy/store"
	"lapisspread/internal/quotalease"
)

const (
	mostProxies  = 16384 // that are kept in a roll-out
	mostName     = 128   // bytes of a proxy's
	recountEvery = time.Second
	worseTold    = time.Hour // for which it is shown what became worse
)

// roller is the roll-out at the leader. The log has what goes out and how a roll-out ended; how far it is is known here alone. A
// new leader begins at the first step again, with the same draw: the epoch is the seed. Proxies that are further keep what they
// have, for what they are offered then is older.
type roller struct {
	mu      sync.Mutex // never held over I/O
	rule    *rollout.Rollout
	base    rollout.Offer // of the rule
	next    rollout.Offer // that was begun; the zero is none
	since   time.Duration // of the rule
	recount time.Duration // when it is next looked for proxies that are gone
	proxies map[string]*reporter
	after   *rollout.Aftermath
	worse   rollout.WorseAfter // that it has told last; the zero is nothing
	told    time.Duration      // when
	early   bool               // guards taken out, to see that the tests convict
	hasty   bool
}

type reporter struct {
	heard time.Duration
	has   rollout.Offer
	not   rollout.Offer // that it can't take up
	older bool          // it takes whole texts alone
	last  uint64        // report that was counted
}

// leading is the term in which this steward leads.
func (s *Steward) leading() (*term, error) {
	t := s.now.Load()
	if t == nil {
		return nil, quotalease.NotBootstrappedError{}
	}
	status := t.node.Status()
	if status.Err != nil {
		return nil, status.Err
	}
	if status.Role != leads {
		t.roller.mu.Lock()
		t.roller.rule, t.roller.proxies, t.roller.after, t.roller.worse = nil, nil, nil, rollout.WorseAfter{}
		t.roller.mu.Unlock()
		return nil, consensus.NotLeaderError{Leader: status.Leader}
	}
	return t, nil
}

// base is what all have. A fleet with no policy yet has one without an epoch, of this founding's order.
func base(st store.Standing) rollout.Offer {
	if st.Base.Epoch == 0 {
		return rollout.Offer{Order: st.Next.Order}
	}
	return st.Base
}

// follow brings the rule in step with the log. It is called under the lock.
func (r *roller) follow(now time.Duration, set rollout.Settings, st store.Standing) {
	if r.after == nil {
		r.after = rollout.NewAftermath(set)
	}
	if r.rule != nil && r.next != (rollout.Offer{}) && st.Base == r.next {
		if r.base != st.Base {
			r.after.Through(now, st.Base.Epoch)
		}
		r.base = st.Base // it is through, by this rule
	}
	if r.rule == nil || r.base != base(st) {
		rule, err := rollout.New(set, base(st))
		if err != nil {
			return // the file was checked
		}
		if r.proxies == nil {
			r.proxies = map[string]*reporter{}
		}
		r.rule, r.base, r.next, r.since, r.recount = rule, base(st), rollout.Offer{}, now, now
	}
	if now >= r.recount { // it looks at all: not for each report
		r.recount = now + recountEvery
		for name, p := range r.proxies {
			if now-p.heard > 3*set.Silent {
				delete(r.proxies, name)
			}
		}
		r.rule.Members(now, slices.Sorted(maps.Keys(r.proxies)))
	}
	// Danger: a leader that has just begun does not know its proxies; the first to report is not the whole fleet. Nine in ten of those that
	// there were at the last judgement are enough of it.
	known := st.Proxies > 0 && 10*len(r.proxies) >= 9*st.Proxies
	if st.Next.Epoch != 0 && st.Next != r.next && st.Stopped == nil && (known || now-r.since > set.Silent || r.hasty) {
		if r.rule.Begin(now, st.Next.Epoch, st.Next.Hash, st.Next.Epoch) == nil {
			r.next = st.Next
		}
	}
}

// tick has the rule go on. The last step, which has nobody to compare with, begins and ends under one lock: nobody is told in between.
func (r *roller) tick(now time.Duration) {
	r.rule.Tick(now)
	r.rule.Tick(now)
}

// offer is what a proxy shall have; none is the zero. It is called under the lock.
func (r *roller) offer(name string, st store.Standing) rollout.Offer {
	o := r.rule.Offer(name)
	// Danger: that a roll-out is through is committed before all are told. Else a leader that dies in between leaves the next one with
	// nobody to compare with, and the roll-out never ends.
	if state, _ := r.rule.State(); state == rollout.Done && r.next != st.Base && !r.early {
		o = st.Base
	}
	if o.Epoch == 0 {
		return rollout.Offer{}
	}
	return o
}

// report takes a proxy's report in, and gives what it shall have. It is called under the lock.
func (r *roller) report(now time.Duration, set rollout.Settings, st store.Standing, in api.PolicyReport) (rollout.Offer, error) {
	p := r.proxies[in.Proxy]
	if p == nil {
		if in.Proxy == "" || len(in.Proxy) > mostName || len(r.proxies) >= mostProxies {
			return rollout.Offer{}, consensus.QueueFullError{Limit: mostProxies}
		}
		p = &reporter{}
		if r.proxies == nil {
			r.proxies = map[string]*reporter{}
		}
		r.proxies[in.Proxy] = p
		if r.rule != nil {
			r.rule.Join(now, in.Proxy)
		}
	}
	p.heard, p.has, p.not, p.older = now, in.Has, in.Refused, !in.Pieces
	r.follow(now, set, st)
	has := in.Has
	if b := base(st); b.Epoch == 0 && b.After(has) {
		has = b // what it has is of a founding before: under this one it has none
	}
	if in.Number > p.last {
		p.last = in.Number
		r.after.Report(now, in.Good, in.Bad)
	}
	r.rule.Report(now, rollout.Report{Proxy: in.Proxy, Number: in.Number, Has: has, Good: in.Good, Bad: in.Bad})
	return r.offer(in.Proxy, st), nil
}

// reported takes a proxy's report in, and tells what it shall have.
func (s *Steward) reported(in api.PolicyReport) (api.PolicyReply, error) {
	out := api.PolicyReply{Fleet: s.set.File.Fleet}
	if in.Fleet != out.Fleet {
		return out, quotalease.FleetMismatchError{Ours: out.Fleet, Theirs: in.Fleet}
	}
	t, err := s.leading()
	if err != nil {
		return out, err
	}
	had := in.Has
	in.Has, in.Refused = t.machine.rooted(in.Has), t.machine.rooted(in.Refused)
	now, st, r := s.clock(), t.machine.standing(), &t.roller
	r.mu.Lock()
	out.Offer, err = r.report(now, s.set.File.Rollout(), st, in)
	r.mu.Unlock()
	if err != nil {
		return out, err
	}
	wants := out.Offer.After(in.Has) && out.Offer != in.Refused
	if in.Pieces {
		out.InPieces = true
		if wants {
			out.Pieces = t.machine.shelf.Along(in.Has.Hash, out.Offer.Hash, cmp.Or(in.Most, api.MostPieces))
		}
		return out, nil
	}
	if out.Offer == in.Has {
		out.Offer = had // as it was told
	} else if out.Offer.After(in.Has) {
		w, ok := t.machine.policyText(out.Offer)
		if !ok {
			return out, NeedsPieces{out.Offer.Epoch}
		}
		out.Offer.Hash = w.hash
		if wants {
			out.Text = []byte(w.text)
		}
	}
	return out, nil
}

// piecesOf gives pieces by name. Any steward does: what it has may be behind, and then the proxy asks another.
func (s *Steward) piecesOf(in api.PiecesRequest) (out api.PiecesReply, err error) {
	if in.Fleet != s.set.File.Fleet {
		return out, quotalease.FleetMismatchError{Ours: s.set.File.Fleet, Theirs: in.Fleet}
	}
	if len(in.Names) > api.MostNames || len(in.Proxy) > mostName {
		return out, api.BadMessage{Why: fmt.Sprintf("it asks for %d pieces", len(in.Names))}
	}
	t := s.now.Load()
	if t == nil {
		return out, quotalease.NotBootstrappedError{}
	}
	var later time.Duration
	out.Pieces, out.Lacks, later = t.machine.shelf.Named(s.clock(), in.Proxy, in.Root, in.Names)
	out.Later = int64(later)
	return out, nil
}

// NeedsPieces is what a proxy of an older release is told of a policy that is too long for one answer.
type NeedsPieces struct{ Epoch uint64 }

func (e NeedsPieces) Error() string {
	return fmt.Sprintf("the policy of epoch %d is over %d bytes, and this proxy takes whole texts alone", e.Epoch, store.MostWhole)
}

// Advice is what an operator can do.
func (NeedsPieces) Advice() string {
	return "The proxy goes on with the policy that it has. Replace it by one of this release, which takes policies in pieces; or have " +
		"the teams write less until then."
}

// rollouts has the roll-out go on, and commits how it ends.
func (s *Steward) rollouts(ctx context.Context) {
	set := s.set.File.Rollout()
	every := time.NewTicker(min(100*time.Millisecond, max(10*time.Millisecond, set.Step/time.Duration(4*set.Looks)))) // a look late makes a train late
	defer every.Stop()
	var begun rollout.Offer // that was told of
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
		t, err := s.leading()
		if err != nil {
			continue
		}
		now, st, r := s.clock(), t.machine.standing(), &t.roller
		r.mu.Lock()
		r.follow(now, set, st)
		r.tick(now)
		state, why := r.rule.State()
		next, known := r.next, len(r.proxies)
		var worse rollout.WorseAfter
		if errors.As(r.after.Tick(now), &worse) {
			r.worse, r.told = worse, now
		}
		r.mu.Unlock()
		if worse.Epoch > 0 {
			s.warn("the fleet does worse since a policy is in force", worse)
		}
		if next != begun && next == st.Next && next.Epoch > 0 {
			begun = next
			s.set.Log.Info("a train has departed", "epoch", next.Epoch, "changes", st.Train, "proxies", known)
		}
		if next != st.Next || next.Epoch == 0 || st.Stopped != nil || state != rollout.Done && state != rollout.Stopped {
			continue
		}
		j := store.Judge{Order: next.Order, Epoch: next.Epoch, Done: state == rollout.Done, Proxies: known}
		if why != nil {
			j.Why, j.Help = why.Error(), operatorerror.Of(why)
			s.warn("a train was stopped", why)
		}
		if err := s.command(ctx, t, store.Command{Judge: &j}); err != nil {
			s.warn("how a train ended was not kept", err) // it is tried again
			continue
		}
		s.set.Log.Info("a train has ended", "epoch", next.Epoch, "state", state.String(), "changes", st.Train)
		for _, f := range t.machine.standing().Faults {
			if !slices.Contains(st.Faults, f) {
				s.set.Log.Warn("a change was taken out: the others go on without it", "namespace", f.Namespace, "number", f.Number, "by", f.By, "why", f.Why, "advice", f.Help)
			}
		}
	}
}

func (s *Steward) command(ctx context.Context, t *term, c store.Command) error {
	text, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return s.proposeText(ctx, t, append([]byte{policyMark}, text...))
}

// order carries out an operator's word. How a roll-out ends is not theirs to say.
func (s *Steward) order(ctx context.Context, c store.Command) error {
	if c.Judge != nil {
		return store.BadCommand{Why: "how a roll-out ends is the leader's word"}
	}
	t, err := s.leading()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	if err = s.command(ctx, t, c); err != nil {
		s.warn("a word about the policy was not carried out", err)
		return err
	}
	st := t.machine.standing()
	s.set.Log.Info("the policy, by an operator's word", "all_have", st.Base.Epoch, "goes_out", st.Next.Epoch, "order", st.Base.Order, "held", len(st.Held))
	return nil
}

func (s *Steward) policyStatus() (api.PolicyStatus, error) {
	t := s.now.Load()
	if t == nil {
		return api.PolicyStatus{}, quotalease.NotBootstrappedError{}
	}
	out := api.PolicyStatus{Standing: t.machine.standing()}
	if _, err := s.leading(); err != nil {
		return out, nil // what it has applied
	}
	out.Leads = true
	r := &t.roller
	r.mu.Lock()
	defer r.mu.Unlock()
	r.follow(s.clock(), s.set.File.Rollout(), out.Standing)
	state, _ := r.rule.State()
	out.State, out.Proxies = state.String(), len(r.proxies)
	if r.worse.Epoch > 0 && s.clock()-r.told < worseTold {
		out.Worse, out.WorseHelp = r.worse.Error(), r.worse.Advice()
	}
	if out.Standing.Stopped != nil {
		out.State = rollout.Stopped.String()
	}
	want := out.Standing.Next
	if want.Epoch == 0 {
		want = out.Standing.Base
	}
	for name, p := range r.proxies {
		if out.Standing.Base.After(p.has) {
			out.Late++
			out.Behind = append(out.Behind, name)
		}
		if p.older {
			out.Older++
		}
		if p.has == want {
			out.Have++
		}
		if p.not == want {
			out.Refused++
		}
	}
	slices.Sort(out.Behind)
	out.Behind = out.Behind[:min(len(out.Behind), api.MostBehind)]
	return out, nil
}
