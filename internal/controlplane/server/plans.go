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

const roleLeader = "StateLeader"

// runAllocator answers asks: all that came while the last plan was committed go into the next.
func (s *Server) runAllocator(ctx context.Context) {
	idle := time.NewTimer(maxIdle)
	defer idle.Stop()
	for {
		var asks []leaseRequest
		idle.Reset(s.untilNextExpiry())
		select {
		case <-ctx.Done():
			return
		case <-s.replicaChanged:
		case <-idle.C:
		case a := <-s.leaseRequests:
			asks = append(asks, a)
		}
		for range len(s.leaseRequests) {
			asks = append(asks, <-s.leaseRequests)
		}
		s.allocate(ctx, asks)
	}
}

// untilNextExpiry is for how long nothing ends.
func (s *Server) untilNextExpiry() time.Duration {
	t := s.replica.Load()
	if t == nil {
		return maxIdle
	}
	t.state.quotaMu.Lock()
	defer t.state.quotaMu.Unlock()
	at, ok := t.state.allocator.NextExpiry()
	if !ok {
		return maxIdle
	}
	return max(20*time.Millisecond, min(maxIdle, at-s.clock())) // what is due at a follower stays due until the leader's word
}

func (s *Server) allocate(ctx context.Context, asks []leaseRequest) {
	t := s.replica.Load()
	if t == nil {
		s.replyAll(asks, quotalease.NotBootstrappedError{})
		return
	}
	m := t.state
	status := t.node.Status()
	switch {
	case status.Err != nil:
		s.replyAll(asks, status.Err)
		return
	case status.Role != roleLeader:
		m.quotaMu.Lock()
		m.allocator.Plan(s.clock()) // drops what has ended, so that it doesn't grow
		m.quotaMu.Unlock()
		var err error = consensus.NotLeaderError{Leader: status.Leader}
		if len(status.UnconfirmedPeers) > 0 {
			err = consensus.SilentError{UnconfirmedPeers: status.UnconfirmedPeers}
		}
		s.replyAll(asks, err)
		return
	}
	m.quotaMu.Lock()
	_, _, unfounded := m.quotas.Bootstrapped()
	m.quotaMu.Unlock()
	if unfounded != nil {
		f := t.bootstrap
		if err := s.proposeQuotaCommand(ctx, t, quotalease.Command{Bootstrap: &quotalease.Bootstrap{FleetID: f.Fleet, Epoch: f.Epoch, MaxDrift: f.MaxDrift, MaxLifetime: time.Duration(f.MaxLifetimeNanos)}}); err != nil {
			s.replyAll(asks, err)
			return
		}
	}
	heard := asks[:0:0]
	now := s.clock()
	m.quotaMu.Lock()
	for _, a := range asks {
		if err := m.allocator.HandleRequest(now, a.request); err != nil {
			s.reply(a, quotalease.Reply{}, err)
			continue
		}
		heard = append(heard, a)
	}
	m.quotaMu.Unlock()
	for _, a := range heard {
		if err := s.floorClaims.observe(now, &a.request); err != nil {
			s.counters.duplicateFloorClaims.Add(1)
			if s.floorClaims.lastWarning == 0 || now-s.floorClaims.lastWarning > repeatedWarningInterval {
				s.floorClaims.lastWarning = now
				s.warn("floors are spent twice", err)
			}
		}
	}
	for range 3 { // words first, then grants of what they free; what is left comes with the next round
		m.quotaMu.Lock()
		var commands []quotalease.Command
		if m.allocator.HasWork(s.clock()) {
			commands = m.allocator.Plan(s.clock())
		}
		m.quotaMu.Unlock()
		if len(commands) == 0 {
			break
		}
		if err := s.commitPlan(ctx, t, commands); err != nil {
			s.replyAll(heard, err)
			return
		}
	}
	for _, a := range heard {
		m.quotaMu.Lock()
		reply := m.quotas.ReplyTo(a.request.HolderID)
		past := reply.ConfigVersion == 0 && m.awaitingExpiry()
		m.quotaMu.Unlock()
		if past {
			s.reply(a, reply, quotalease.BootstrapPendingError{MaxLifetime: time.Duration(t.bootstrap.MaxLifetimeNanos)})
			continue
		}
		s.reply(a, reply, nil)
	}
}

// commitPlan proposes a plan, in as few entries as it fits in.
func (s *Server) commitPlan(ctx context.Context, t *replica, commands []quotalease.Command) error {
	for len(commands) > 0 {
		n, bytes := 0, 0
		for n < len(commands) {
			text, err := json.Marshal(commands[n])
			if err != nil {
				return err
			}
			if bytes += len(text); n > 0 && bytes > maxBatchBytes {
				break
			}
			n++
		}
		if err := s.proposeQuotaCommand(ctx, t, quotalease.Command{Batch: commands[:n]}); err != nil {
			return err
		}
		commands = commands[n:]
	}
	return nil
}

// proposeQuotaCommand returns once a command is committed and applied here. An error is the log's, or the book's Problem.
func (s *Server) proposeQuotaCommand(ctx context.Context, t *replica, c quotalease.Command) error {
	text, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return s.proposeEntry(ctx, t, text)
}

func (s *Server) proposeEntry(ctx context.Context, t *replica, text []byte) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	s.counters.proposals.Add(1)
	reply, err := t.node.Propose(ctx, text)
	if err != nil {
		s.counters.failedProposals.Add(1)
		return err
	}
	var out applyOutcome
	if err := cbor.Unmarshal(reply, &out); err != nil {
		return api.MalformedMessageError{Reason: err.Error()}
	}
	s.counters.leasesGranted.Add(uint64(out.LeasesStarted))
	s.counters.rejectedCommands.Add(uint64(out.RejectedParts))
	if out.Rejected.Message != "" {
		s.counters.rejectedCommands.Add(1)
		return out.Rejected
	}
	return nil
}

func (s *Server) reply(a leaseRequest, r quotalease.Reply, err error) {
	if err == nil {
		s.counters.answered.Add(1)
	} else {
		s.counters.rejectedRequests.Add(1)
	}
	a.reply <- leaseReply{r, err} // holds one
}

func (s *Server) replyAll(asks []leaseRequest, err error) {
	for _, a := range asks {
		s.reply(a, quotalease.Reply{}, err)
	}
}

// requestLease has the plans answer a request.
func (s *Server) requestLease(ctx context.Context, r quotalease.Request, waits time.Duration) (quotalease.Reply, error) {
	s.counters.requests.Add(1)
	ctx, cancel := context.WithTimeout(ctx, waits*4/5) // so that the caller hears why
	defer cancel()
	a := leaseRequest{r, make(chan leaseReply, 1)}
	select {
	case s.leaseRequests <- a:
	default:
		s.counters.queueFull.Add(1)
		return quotalease.Reply{}, consensus.QueueFullError{Limit: maxQueuedRequests}
	}
	select {
	case got := <-a.reply:
		return got.reply, got.err
	case <-ctx.Done():
		return quotalease.Reply{}, s.noQuorum()
	}
}

// noQuorum is that a majority didn't agree in time.
func (s *Server) noQuorum() error {
	if st := s.status.Load(); st != nil {
		return consensus.NoQuorumError{Active: st.RespondingVoters, Needed: st.Voters/2 + 1}
	}
	return consensus.NoQuorumError{}
}

// setQuotas carries out an operator's word.
func (s *Server) setQuotas(ctx context.Context, b quotalease.SetQuotas) error {
	t := s.replica.Load()
	if t == nil {
		return quotalease.NotBootstrappedError{}
	}
	status := t.node.Status()
	if status.Err != nil {
		return status.Err
	}
	if status.Role != roleLeader {
		return consensus.NotLeaderError{Leader: status.Leader}
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	err := s.proposeQuotaCommand(ctx, t, quotalease.Command{SetQuotas: &b})
	if err == nil {
		s.config.Logger.Info("budgets were set by an operator's word", "version", b.Version, "budgets", len(b.Config.Quotas))
	} else {
		s.warn("budgets were not set", err)
	}
	return err
}
