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
	maxProxies          = 16384 // that are kept in a roll-out
	maxProxyNameBytes   = 128   // bytes of a proxy's
	memberCheckInterval = time.Second
	regressionShownFor  = time.Hour // for which it is shown what became worse
)

// rolloutDriver is the roll-out at the leader. The log has what goes out and how a roll-out ended; how far it is is known here alone. A
// new leader begins at the first step again, with the same draw: the epoch is the seed. Proxies that are further keep what they
// have, for what they are offered then is older.
type rolloutDriver struct {
	mu                   sync.Mutex // never held over I/O
	rollout              *rollout.Rollout
	base                 rollout.Version // of the rule
	next                 rollout.Version // that was begun; the zero is none
	rolloutSince         time.Duration   // of the rule
	nextMemberCheck      time.Duration   // when it is next looked for proxies that are gone
	proxies              map[string]*proxyState
	regressions          *rollout.RegressionWatch
	regression           rollout.RegressionError // that it has told last; the zero is nothing
	regressionAt         time.Duration           // when
	announceBeforeCommit bool                    // guards taken out, to see that the tests convict
	startBeforeQuorum    bool
}

type proxyState struct {
	lastReport   time.Duration
	current      rollout.Version
	rejected     rollout.Version // that it can't take up
	legacy       bool            // it takes whole texts alone
	lastSequence uint64          // report that was counted
}

// leaderReplica is the term in which this steward leads.
func (s *Server) leaderReplica() (*replica, error) {
	t := s.replica.Load()
	if t == nil {
		return nil, quotalease.NotBootstrappedError{}
	}
	status := t.node.Status()
	if status.Err != nil {
		return nil, status.Err
	}
	if status.Role != roleLeader {
		t.rollouts.mu.Lock()
		t.rollouts.rollout, t.rollouts.proxies, t.rollouts.regressions, t.rollouts.regression = nil, nil, nil, rollout.RegressionError{}
		t.rollouts.mu.Unlock()
		return nil, consensus.NotLeaderError{Leader: status.Leader}
	}
	return t, nil
}

// baseVersion is what all have. A fleet with no policy yet has one without an epoch, of this founding's order.
func baseVersion(st store.Standing) rollout.Version {
	if st.Base.Epoch == 0 {
		return rollout.Version{Generation: st.Next.Generation}
	}
	return st.Base
}

// syncWithLog brings the rule in step with the log. It is called under the lock.
func (r *rolloutDriver) syncWithLog(now time.Duration, set rollout.Settings, st store.Standing) {
	if r.regressions == nil {
		r.regressions = rollout.NewRegressionWatch(set)
	}
	if r.rollout != nil && r.next != (rollout.Version{}) && st.Base == r.next {
		if r.base != st.Base {
			r.regressions.RolloutCompleted(now, st.Base.Epoch)
		}
		r.base = st.Base // it is through, by this rule
	}
	if r.rollout == nil || r.base != baseVersion(st) {
		rule, err := rollout.New(set, baseVersion(st))
		if err != nil {
			return // the file was checked
		}
		if r.proxies == nil {
			r.proxies = map[string]*proxyState{}
		}
		r.rollout, r.base, r.next, r.rolloutSince, r.nextMemberCheck = rule, baseVersion(st), rollout.Version{}, now, now
	}
	if now >= r.nextMemberCheck { // it looks at all: not for each report
		r.nextMemberCheck = now + memberCheckInterval
		for name, p := range r.proxies {
			if now-p.lastReport > 3*set.SilenceTimeout {
				delete(r.proxies, name)
			}
		}
		r.rollout.SetMembers(now, slices.Sorted(maps.Keys(r.proxies)))
	}
	// Danger: a leader that has just begun does not know its proxies; the first to report is not the whole fleet. Nine in ten of those that
	// there were at the last judgement are enough of it.
	known := st.Proxies > 0 && 10*len(r.proxies) >= 9*st.Proxies
	if st.Next.Epoch != 0 && st.Next != r.next && st.Stopped == nil && (known || now-r.rolloutSince > set.SilenceTimeout || r.startBeforeQuorum) {
		if r.rollout.Start(now, st.Next.Epoch, st.Next.Hash, st.Next.Epoch) == nil {
			r.next = st.Next
		}
	}
}

// advance has the rule go on. The last step, which has nobody to compare with, begins and ends under one lock: nobody is told in between.
func (r *rolloutDriver) advance(now time.Duration) {
	r.rollout.Tick(now)
	r.rollout.Tick(now)
}

// target is what a proxy shall have; none is the zero. It is called under the lock.
func (r *rolloutDriver) target(name string, st store.Standing) rollout.Version {
	o := r.rollout.Target(name)
	// Danger: that a roll-out is through is committed before all are told. Else a leader that dies in between leaves the next one with
	// nobody to compare with, and the roll-out never ends.
	if state, _ := r.rollout.State(); state == rollout.Done && r.next != st.Base && !r.announceBeforeCommit {
		o = st.Base
	}
	if o.Epoch == 0 {
		return rollout.Version{}
	}
	return o
}

// report takes a proxy's report in, and gives what it shall have. It is called under the lock.
func (r *rolloutDriver) report(now time.Duration, set rollout.Settings, st store.Standing, in api.PolicyReport) (rollout.Version, error) {
	p := r.proxies[in.Proxy]
	if p == nil {
		if in.Proxy == "" || len(in.Proxy) > maxProxyNameBytes || len(r.proxies) >= maxProxies {
			return rollout.Version{}, consensus.QueueFullError{Limit: maxProxies}
		}
		p = &proxyState{}
		if r.proxies == nil {
			r.proxies = map[string]*proxyState{}
		}
		r.proxies[in.Proxy] = p
		if r.rollout != nil {
			r.rollout.Join(now, in.Proxy)
		}
	}
	p.lastReport, p.current, p.rejected, p.legacy = now, in.Current, in.Rejected, !in.AcceptsChunks
	r.syncWithLog(now, set, st)
	has := in.Current
	if b := baseVersion(st); b.Epoch == 0 && b.NewerThan(has) {
		has = b // what it has is of a founding before: under this one it has none
	}
	if in.Sequence > p.lastSequence {
		p.lastSequence = in.Sequence
		r.regressions.Report(now, in.Good, in.Bad)
	}
	r.rollout.Report(now, rollout.Report{Proxy: in.Proxy, Sequence: in.Sequence, Current: has, Good: in.Good, Bad: in.Bad})
	return r.target(in.Proxy, st), nil
}

// policyReport takes a proxy's report in, and tells what it shall have.
func (s *Server) policyReport(in api.PolicyReport) (api.PolicyReply, error) {
	out := api.PolicyReply{Fleet: s.config.Fleet.Fleet}
	if in.Fleet != out.Fleet {
		return out, quotalease.FleetMismatchError{Ours: out.Fleet, Theirs: in.Fleet}
	}
	t, err := s.leaderReplica()
	if err != nil {
		return out, err
	}
	had := in.Current
	in.Current, in.Rejected = t.state.resolveRoot(in.Current), t.state.resolveRoot(in.Rejected)
	now, st, r := s.clock(), t.state.policyStatus(), &t.rollouts
	r.mu.Lock()
	out.Target, err = r.report(now, s.config.Fleet.RolloutSettings(), st, in)
	r.mu.Unlock()
	if err != nil {
		return out, err
	}
	wants := out.Target.NewerThan(in.Current) && out.Target != in.Rejected
	if in.AcceptsChunks {
		out.Chunked = true
		if wants {
			out.Chunks = t.state.chunks.ChunksBetween(in.Current.Hash, out.Target.Hash, cmp.Or(in.MaxChunkBytes, api.MaxChunkBytes))
		}
		return out, nil
	}
	if out.Target == in.Current {
		out.Target = had // as it was told
	} else if out.Target.NewerThan(in.Current) {
		w, ok := t.state.policyEncoding(out.Target)
		if !ok {
			return out, ChunksRequiredError{out.Target.Epoch}
		}
		out.Target.Hash = w.hash
		if wants {
			out.Text = []byte(w.text)
		}
	}
	return out, nil
}

// policyChunks gives pieces by name. Any steward does: what it has may be behind, and then the proxy asks another.
func (s *Server) policyChunks(in api.ChunksRequest) (out api.ChunksReply, err error) {
	if in.Fleet != s.config.Fleet.Fleet {
		return out, quotalease.FleetMismatchError{Ours: s.config.Fleet.Fleet, Theirs: in.Fleet}
	}
	if len(in.Names) > api.MaxChunkNames || len(in.Proxy) > maxProxyNameBytes {
		return out, api.MalformedMessageError{Reason: fmt.Sprintf("it asks for %d pieces", len(in.Names))}
	}
	t := s.replica.Load()
	if t == nil {
		return out, quotalease.NotBootstrappedError{}
	}
	var later time.Duration
	out.Chunks, out.Missing, later = t.state.chunks.ChunksByName(s.clock(), in.Proxy, in.Root, in.Names)
	out.RetryAfterNanos = int64(later)
	return out, nil
}

// ChunksRequiredError is what a proxy of an older release is told of a policy that is too long for one answer.
type ChunksRequiredError struct{ Epoch uint64 }

func (e ChunksRequiredError) Error() string {
	return fmt.Sprintf("the policy of epoch %d is over %d bytes, and this proxy takes whole texts alone", e.Epoch, store.MostWhole)
}

// Advice is what an operator can do.
func (ChunksRequiredError) Advice() string {
	return "The proxy goes on with the policy that it has. Replace it by one of this release, which takes policies in pieces; or have " +
		"the teams write less until then."
}

// runRollouts has the roll-out go on, and commits how it ends.
func (s *Server) runRollouts(ctx context.Context) {
	set := s.config.Fleet.RolloutSettings()
	every := time.NewTicker(min(100*time.Millisecond, max(10*time.Millisecond, set.StepDuration/time.Duration(4*set.LooksPerStep)))) // a look late makes a train late
	defer every.Stop()
	var begun rollout.Version // that was told of
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
		t, err := s.leaderReplica()
		if err != nil {
			continue
		}
		now, st, r := s.clock(), t.state.policyStatus(), &t.rollouts
		r.mu.Lock()
		r.syncWithLog(now, set, st)
		r.advance(now)
		state, why := r.rollout.State()
		next, known := r.next, len(r.proxies)
		var worse rollout.RegressionError
		if errors.As(r.regressions.Tick(now), &worse) {
			r.regression, r.regressionAt = worse, now
		}
		r.mu.Unlock()
		if worse.Epoch > 0 {
			s.warn("the fleet does worse since a policy is in force", worse)
		}
		if next != begun && next == st.Next && next.Epoch > 0 {
			begun = next
			s.config.Logger.Info("a train has departed", "epoch", next.Epoch, "changes", st.Train, "proxies", known)
		}
		if next != st.Next || next.Epoch == 0 || st.Stopped != nil || state != rollout.Done && state != rollout.Stopped {
			continue
		}
		j := store.Judge{Order: next.Generation, Epoch: next.Epoch, Done: state == rollout.Done, Proxies: known}
		if why != nil {
			j.Why, j.Help = why.Error(), operatorerror.Of(why)
			s.warn("a train was stopped", why)
		}
		if err := s.proposePolicyCommand(ctx, t, store.Command{Judge: &j}); err != nil {
			s.warn("how a train ended was not kept", err) // it is tried again
			continue
		}
		s.config.Logger.Info("a train has ended", "epoch", next.Epoch, "state", state.String(), "changes", st.Train)
		for _, f := range t.state.policyStatus().Faults {
			if !slices.Contains(st.Faults, f) {
				s.config.Logger.Warn("a change was taken out: the others go on without it", "namespace", f.Namespace, "number", f.Number, "by", f.By, "why", f.Why, "advice", f.Help)
			}
		}
	}
}

func (s *Server) proposePolicyCommand(ctx context.Context, t *replica, c store.Command) error {
	text, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return s.proposeEntry(ctx, t, append([]byte{policyEntryMarker}, text...))
}

// policyCommand carries out an operator's word. How a roll-out ends is not theirs to say.
func (s *Server) policyCommand(ctx context.Context, c store.Command) error {
	if c.Judge != nil {
		return store.BadCommand{Why: "how a roll-out ends is the leader's word"}
	}
	t, err := s.leaderReplica()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	if err = s.proposePolicyCommand(ctx, t, c); err != nil {
		s.warn("a word about the policy was not carried out", err)
		return err
	}
	st := t.state.policyStatus()
	s.config.Logger.Info("the policy, by an operator's word", "all_have", st.Base.Epoch, "goes_out", st.Next.Epoch, "order", st.Base.Generation, "held", len(st.Held))
	return nil
}

func (s *Server) policyStatus() (api.PolicyStatus, error) {
	t := s.replica.Load()
	if t == nil {
		return api.PolicyStatus{}, quotalease.NotBootstrappedError{}
	}
	out := api.PolicyStatus{Policy: t.state.policyStatus()}
	if _, err := s.leaderReplica(); err != nil {
		return out, nil // what it has applied
	}
	out.IsLeader = true
	r := &t.rollouts
	r.mu.Lock()
	defer r.mu.Unlock()
	r.syncWithLog(s.clock(), s.config.Fleet.RolloutSettings(), out.Policy)
	state, _ := r.rollout.State()
	out.RolloutState, out.ProxyCount = state.String(), len(r.proxies)
	if r.regression.Epoch > 0 && s.clock()-r.regressionAt < regressionShownFor {
		out.Regression, out.RegressionAdvice = r.regression.Error(), r.regression.Advice()
	}
	if out.Policy.Stopped != nil {
		out.RolloutState = rollout.Stopped.String()
	}
	want := out.Policy.Next
	if want.Epoch == 0 {
		want = out.Policy.Base
	}
	for name, p := range r.proxies {
		if out.Policy.Base.NewerThan(p.current) {
			out.BehindCount++
			out.Behind = append(out.Behind, name)
		}
		if p.legacy {
			out.LegacyCount++
		}
		if p.current == want {
			out.Updated++
		}
		if p.rejected == want {
			out.Rejected++
		}
	}
	slices.Sort(out.Behind)
	out.Behind = out.Behind[:min(len(out.Behind), api.MaxBehindNames)]
	return out, nil
}
