package server

import (
	"context"
	"encoding/json"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lapisspread/internal/consensus"
	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/quotalease"
)

const leads = "StateLeader"

// plans answers asks: all that came while the last plan was committed go into the next.
func (s *Steward) plans(ctx context.Context) {
	idle := time.NewTimer(rest)
	defer idle.Stop()
	for {
		var asks []ask
		idle.Reset(s.untilEnd())
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-idle.C:
		case a := <-s.asks:
			asks = append(asks, a)
		}
		for range len(s.asks) {
			asks = append(asks, <-s.asks)
		}
		s.round(ctx, asks)
	}
}

// untilEnd is for how long nothing ends.
func (s *Steward) untilEnd() time.Duration {
	t := s.now.Load()
	if t == nil {
		return rest
	}
	t.machine.mu.Lock()
	defer t.machine.mu.Unlock()
	at, ok := t.machine.keeper.NextExpiry()
	if !ok {
		return rest
	}
	return max(20*time.Millisecond, min(rest, at-s.clock())) // what is due at a follower stays due until the leader's word
}

func (s *Steward) round(ctx context.Context, asks []ask) {
	t := s.now.Load()
	if t == nil {
		s.answerAll(asks, quotalease.NotBootstrappedError{})
		return
	}
	m := t.machine
	status := t.node.Status()
	switch {
	case status.Err != nil:
		s.answerAll(asks, status.Err)
		return
	case status.Role != leads:
		m.mu.Lock()
		m.keeper.Plan(s.clock()) // drops what has ended, so that it doesn't grow
		m.mu.Unlock()
		var err error = consensus.NotLeaderError{Leader: status.Leader}
		if len(status.UnconfirmedPeers) > 0 {
			err = consensus.SilentError{UnconfirmedPeers: status.UnconfirmedPeers}
		}
		s.answerAll(asks, err)
		return
	}
	m.mu.Lock()
	_, _, unfounded := m.book.Bootstrapped()
	m.mu.Unlock()
	if unfounded != nil {
		f := t.founding
		if err := s.propose(ctx, t, quotalease.Command{Bootstrap: &quotalease.Bootstrap{FleetID: f.Fleet, Epoch: f.Epoch, MaxDrift: f.Drift, MaxLifetime: time.Duration(f.Longest)}}); err != nil {
			s.answerAll(asks, err)
			return
		}
	}
	heard := asks[:0:0]
	now := s.clock()
	m.mu.Lock()
	for _, a := range asks {
		if err := m.keeper.HandleRequest(now, a.request); err != nil {
			s.answer(a, quotalease.Reply{}, err)
			continue
		}
		heard = append(heard, a)
	}
	m.mu.Unlock()
	for _, a := range heard {
		if err := s.claims.heard(now, &a.request); err != nil {
			s.counts.twice.Add(1)
			if s.claims.told == 0 || now-s.claims.told > tellEvery {
				s.claims.told = now
				s.warn("floors are spent twice", err)
			}
		}
	}
	for range 3 { // words first, then grants of what they free; what is left comes with the next round
		m.mu.Lock()
		var commands []quotalease.Command
		if m.keeper.HasWork(s.clock()) {
			commands = m.keeper.Plan(s.clock())
		}
		m.mu.Unlock()
		if len(commands) == 0 {
			break
		}
		if err := s.carryOut(ctx, t, commands); err != nil {
			s.answerAll(heard, err)
			return
		}
	}
	for _, a := range heard {
		m.mu.Lock()
		reply := m.book.ReplyTo(a.request.HolderID)
		past := reply.ConfigVersion == 0 && m.past()
		m.mu.Unlock()
		if past {
			s.answer(a, reply, quotalease.BootstrapPendingError{MaxLifetime: time.Duration(t.founding.Longest)})
			continue
		}
		s.answer(a, reply, nil)
	}
}

// carryOut proposes a plan, in as few entries as it fits in.
func (s *Steward) carryOut(ctx context.Context, t *term, commands []quotalease.Command) error {
	for len(commands) > 0 {
		n, bytes := 0, 0
		for n < len(commands) {
			text, err := json.Marshal(commands[n])
			if err != nil {
				return err
			}
			if bytes += len(text); n > 0 && bytes > mostBatch {
				break
			}
			n++
		}
		if err := s.propose(ctx, t, quotalease.Command{Batch: commands[:n]}); err != nil {
			return err
		}
		commands = commands[n:]
	}
	return nil
}

// propose returns once a command is committed and applied here. An error is the log's, or the book's Problem.
func (s *Steward) propose(ctx context.Context, t *term, c quotalease.Command) error {
	text, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return s.proposeText(ctx, t, text)
}

func (s *Steward) proposeText(ctx context.Context, t *term, text []byte) error {
	ctx, cancel := context.WithTimeout(ctx, planTime)
	defer cancel()
	s.counts.proposals.Add(1)
	reply, err := t.node.Propose(ctx, text)
	if err != nil {
		s.counts.failed.Add(1)
		return err
	}
	var out outcome
	if err := cbor.Unmarshal(reply, &out); err != nil {
		return api.BadMessage{Why: err.Error()}
	}
	s.counts.grants.Add(uint64(out.Born))
	s.counts.rejected.Add(uint64(out.Parts))
	if out.Refused.Text != "" {
		s.counts.rejected.Add(1)
		return out.Refused
	}
	return nil
}

func (s *Steward) answer(a ask, r quotalease.Reply, err error) {
	if err == nil {
		s.counts.answered.Add(1)
	} else {
		s.counts.refused.Add(1)
	}
	a.answer <- answer{r, err} // holds one
}

func (s *Steward) answerAll(asks []ask, err error) {
	for _, a := range asks {
		s.answer(a, quotalease.Reply{}, err)
	}
}

// asked has the plans answer a request.
func (s *Steward) asked(ctx context.Context, r quotalease.Request, waits time.Duration) (quotalease.Reply, error) {
	s.counts.asks.Add(1)
	ctx, cancel := context.WithTimeout(ctx, waits*4/5) // so that the caller hears why
	defer cancel()
	a := ask{r, make(chan answer, 1)}
	select {
	case s.asks <- a:
	default:
		s.counts.full.Add(1)
		return quotalease.Reply{}, consensus.QueueFullError{Limit: mostAsks}
	}
	select {
	case got := <-a.answer:
		return got.reply, got.err
	case <-ctx.Done():
		return quotalease.Reply{}, s.late()
	}
}

// late is that a majority didn't agree in time.
func (s *Steward) late() error {
	if st := s.stand.Load(); st != nil {
		return consensus.NoQuorumError{Active: st.Heard, Needed: st.Voters/2 + 1}
	}
	return consensus.NoQuorumError{}
}

// setBudgets carries out an operator's word.
func (s *Steward) setBudgets(ctx context.Context, b quotalease.SetQuotas) error {
	t := s.now.Load()
	if t == nil {
		return quotalease.NotBootstrappedError{}
	}
	status := t.node.Status()
	if status.Err != nil {
		return status.Err
	}
	if status.Role != leads {
		return consensus.NotLeaderError{Leader: status.Leader}
	}
	ctx, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	err := s.propose(ctx, t, quotalease.Command{SetQuotas: &b})
	if err == nil {
		s.set.Log.Info("budgets were set by an operator's word", "version", b.Version, "budgets", len(b.Config.Quotas))
	} else {
		s.warn("budgets were not set", err)
	}
	return err
}
