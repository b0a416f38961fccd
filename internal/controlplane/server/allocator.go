package server

import (
	"context"
	"time"

	"lapisspread/internal/consensus"
	"lapisspread/internal/quotalease"
)

const (
	maxQueuedRequests = 1024            // lease requests that wait
	maxRequestWait    = 3 * time.Second // that a lease request waits
	// maxIdle bounds the time between two runs of the allocator without a request, which expire leases.
	maxIdle = time.Second
	// minIdle bounds it from below: what is due on a follower stays due until the leader's entry arrives.
	minIdle = 20 * time.Millisecond
	// maxPlanRounds is how often one run of the allocator plans. A first plan may free what a second one grants.
	maxPlanRounds = 3
	// repeatedWarningInterval is the shortest time between two log lines about duplicate floor claims.
	repeatedWarningInterval = 10 * time.Second
)

// leaseRequest is a request that waits for the allocator.
type leaseRequest struct {
	request quotalease.Request
	reply   chan leaseReply // capacity 1
}

type leaseReply struct {
	reply quotalease.Reply
	err   error
}

// requestLease queues a request for the allocator and waits for its reply, no longer than the caller does.
func (s *Server) requestLease(
	ctx context.Context, request quotalease.Request, callerWaits time.Duration,
) (quotalease.Reply, error) {
	s.counters.requests.Add(1)
	ctx, cancel := context.WithTimeout(ctx, callerWaits*4/5) // leaves time for the error to reach the caller
	defer cancel()
	queued := leaseRequest{request: request, reply: make(chan leaseReply, 1)}
	select {
	case s.leaseRequests <- queued:
	default:
		s.counters.queueFull.Add(1)
		return quotalease.Reply{}, consensus.QueueFullError{Limit: maxQueuedRequests}
	}
	select {
	case answer := <-queued.reply:
		return answer.reply, answer.err
	case <-ctx.Done():
		return quotalease.Reply{}, s.noQuorum()
	}
}

// noQuorum is the error of a request that was not committed in time.
func (s *Server) noQuorum() error {
	if status := s.status.Load(); status != nil {
		return consensus.NoQuorumError{Active: status.RespondingVoters, Needed: status.Voters/2 + 1}
	}
	return consensus.NoQuorumError{}
}

// runAllocator serves lease requests until ctx ends. Requests that arrive while a plan is being committed are served
// together by the next one.
func (s *Server) runAllocator(ctx context.Context) {
	idle := time.NewTimer(maxIdle)
	defer idle.Stop()
	for {
		var requests []leaseRequest
		idle.Reset(s.untilNextExpiry())
		select {
		case <-ctx.Done():
			return
		case <-s.replicaChanged:
		case <-idle.C:
		case first := <-s.leaseRequests:
			requests = append(requests, first)
		}
		for range len(s.leaseRequests) {
			requests = append(requests, <-s.leaseRequests)
		}
		s.allocate(ctx, requests)
	}
}

// untilNextExpiry returns how long the allocator may sleep.
func (s *Server) untilNextExpiry() time.Duration {
	current := s.replica.Load()
	if current == nil {
		return maxIdle
	}
	state := current.state
	state.quotaMu.Lock()
	defer state.quotaMu.Unlock()
	next, ok := state.allocator.NextExpiry()
	if !ok {
		return maxIdle
	}
	return max(minIdle, min(maxIdle, next-s.clock()))
}

// allocate expires leases that have ended, serves the requests, and replies to each of them.
func (s *Server) allocate(ctx context.Context, requests []leaseRequest) {
	current := s.replica.Load()
	if current == nil {
		s.replyAll(requests, quotalease.NotBootstrappedError{})
		return
	}
	if err := s.checkLeader(current); err != nil {
		s.replyAll(requests, err)
		return
	}
	if err := s.ensureBootstrapped(ctx, current); err != nil {
		s.replyAll(requests, err)
		return
	}
	accepted := s.handleRequests(current.state, requests)
	if err := s.commitPlans(ctx, current); err != nil {
		s.replyAll(accepted, err)
		return
	}
	for _, request := range accepted {
		s.replyFromState(current, request)
	}
}

// checkLeader returns an error unless this server leads. On a follower it also has the allocator drop what has ended,
// so that its memory stays bounded.
func (s *Server) checkLeader(current *replica) error {
	status := current.node.Status()
	if status.Err != nil {
		return status.Err
	}
	if status.Role == roleLeader {
		return nil
	}
	current.state.quotaMu.Lock()
	current.state.allocator.Plan(s.clock())
	current.state.quotaMu.Unlock()
	if len(status.UnconfirmedPeers) > 0 {
		return consensus.SilentError{UnconfirmedPeers: status.UnconfirmedPeers}
	}
	return consensus.NotLeaderError{Leader: status.Leader}
}

// ensureBootstrapped commits the epoch's first entry if the log does not have it yet.
func (s *Server) ensureBootstrapped(ctx context.Context, current *replica) error {
	current.state.quotaMu.Lock()
	_, _, notBootstrapped := current.state.quotas.Bootstrapped()
	current.state.quotaMu.Unlock()
	if notBootstrapped == nil {
		return nil
	}
	return s.proposeQuotaCommand(ctx, current, quotalease.Command{Bootstrap: &quotalease.Bootstrap{
		FleetID:     current.bootstrap.Fleet,
		Epoch:       current.bootstrap.Epoch,
		MaxDrift:    current.bootstrap.MaxDrift,
		MaxLifetime: time.Duration(current.bootstrap.MaxLifetimeNanos),
	}})
}

// handleRequests passes requests to the allocator. It replies to those that it rejects and returns the others.
func (s *Server) handleRequests(state *stateMachine, requests []leaseRequest) (accepted []leaseRequest) {
	now := s.clock()
	state.quotaMu.Lock()
	for _, request := range requests {
		if err := state.allocator.HandleRequest(now, request.request); err != nil {
			s.reply(request, quotalease.Reply{}, err)
			continue
		}
		accepted = append(accepted, request)
	}
	state.quotaMu.Unlock()
	for _, request := range accepted {
		if err := s.floorClaims.observe(now, &request.request); err != nil {
			s.warnDuplicateFloorClaim(now, err)
		}
	}
	return accepted
}

func (s *Server) warnDuplicateFloorClaim(now time.Duration, err error) {
	s.counters.duplicateFloorClaims.Add(1)
	last := s.floorClaims.lastWarning
	if last == 0 || now-last > repeatedWarningInterval {
		s.floorClaims.lastWarning = now
		s.warn("duplicate floor claim", err)
	}
}

// commitPlans commits what the allocator plans: first what frees leases, then what grants the freed units. What is left
// after maxPlanRounds waits for the next run.
func (s *Server) commitPlans(ctx context.Context, current *replica) error {
	for range maxPlanRounds {
		commands := s.plan(current.state)
		if len(commands) == 0 {
			return nil
		}
		if err := s.commitPlan(ctx, current, commands); err != nil {
			return err
		}
	}
	return nil
}

// plan returns the commands that the allocator wants committed now, none if nothing is due.
func (s *Server) plan(state *stateMachine) []quotalease.Command {
	state.quotaMu.Lock()
	defer state.quotaMu.Unlock()
	if !state.allocator.HasWork(s.clock()) {
		return nil
	}
	return state.allocator.Plan(s.clock())
}

// replyFromState replies with what the state machine holds for the requester.
func (s *Server) replyFromState(current *replica, request leaseRequest) {
	state := current.state
	state.quotaMu.Lock()
	reply := state.quotas.ReplyTo(request.request.HolderID)
	pending := reply.ConfigVersion == 0 && state.awaitingExpiry()
	state.quotaMu.Unlock()
	if pending {
		maxLifetime := time.Duration(current.bootstrap.MaxLifetimeNanos)
		s.reply(request, reply, quotalease.BootstrapPendingError{MaxLifetime: maxLifetime})
		return
	}
	s.reply(request, reply, nil)
}

// reply ends a request, with a reply or an error, and counts it.
func (s *Server) reply(request leaseRequest, reply quotalease.Reply, err error) {
	if err == nil {
		s.counters.answered.Add(1)
	} else {
		s.counters.rejectedRequests.Add(1)
	}
	request.reply <- leaseReply{reply: reply, err: err} // never blocks: it is the only reply
}

// replyAll rejects requests with an error.
func (s *Server) replyAll(requests []leaseRequest, err error) {
	for _, request := range requests {
		s.reply(request, quotalease.Reply{}, err)
	}
}
