package server

import (
	"context"
	"time"

	"lapisspread/internal/consensus"
	"lapisspread/internal/quotalease"
)

const (
	maxQueuedRequests = 1024            // lease requests in the queue
	maxRequestWait    = 3 * time.Second // maximum time that a caller is assumed to wait for its lease
	// maxIdle is the maximum time between two runs of the allocator without a request. Such runs expire leases.
	maxIdle = time.Second
	// minIdle is the minimum time. It prevents a busy loop on a follower, where an expiry stays due until the leader's
	// log entry arrives.
	minIdle = 20 * time.Millisecond
	// maxPlanRounds is the maximum number of plans in one run of the allocator. A first plan may free units that a
	// second one grants.
	maxPlanRounds = 3
	// repeatedWarningInterval is the minimum time between two log lines about duplicate floor claims.
	repeatedWarningInterval = 10 * time.Second
)

// leaseRequest is a request that is queued for the allocator.
type leaseRequest struct {
	request quotalease.Request
	reply   chan leaseReply // capacity 1
}

// leaseReply is the result of a lease request. The reply is valid only if err is nil.
type leaseReply struct {
	reply quotalease.Reply
	err   error
}

// requestLease queues a request for the allocator and blocks until its reply. It waits for less time than callerWaits,
// after which the caller gives up. It returns a QueueFullError if the queue is full and a NoQuorumError on a timeout.
func (s *Server) requestLease(
	ctx context.Context, request quotalease.Request, callerWaits time.Duration,
) (quotalease.Reply, error) {
	s.counters.requests.Add(1)
	ctx, cancel := context.WithTimeout(ctx, callerWaits*4/5) // leaves time to send the error to the caller
	defer cancel()
	queued := leaseRequest{request: request, reply: make(chan leaseReply, 1)}
	select {
	case s.leaseRequests <- queued:
	default:
		s.counters.queueFull.Add(1)
		return quotalease.Reply{}, consensus.QueueFullError{Limit: maxQueuedRequests}
	}
	select {
	case result := <-queued.reply:
		return result.reply, result.err
	case <-ctx.Done():
		return quotalease.Reply{}, s.noQuorum()
	}
}

// noQuorum returns the error for a request that was not committed in time.
func (s *Server) noQuorum() error {
	if status := s.status.Load(); status != nil {
		return consensus.NoQuorumError{Active: status.RespondingVoters, Needed: status.Voters/2 + 1}
	}
	return consensus.NoQuorumError{}
}

// runAllocator serves lease requests until ctx is canceled. Requests that arrive while a plan is being committed are
// served together by the next plan.
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

// untilNextExpiry returns how long the allocator may wait without a request: until the next lease expires, but between
// minIdle and maxIdle.
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

// allocate frees leases whose time is over, serves the requests, and replies to each of them.
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

// checkLeader returns an error unless this server is the leader. On a follower it also runs a plan of the allocator,
// which drops expired entries, so that the allocator's memory stays bounded.
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

// ensureBootstrapped commits the bootstrap entry of the epoch if the state machine has not applied it yet.
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

// handleRequests passes requests to the allocator. It replies with an error to those that the allocator rejects, and
// returns the others. It also logs duplicate floor claims.
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

// warnDuplicateFloorClaim counts a duplicate floor claim and logs it, at most once per repeatedWarningInterval.
func (s *Server) warnDuplicateFloorClaim(now time.Duration, err error) {
	s.counters.duplicateFloorClaims.Add(1)
	last := s.floorClaims.lastWarning
	if last == 0 || now-last > repeatedWarningInterval {
		s.floorClaims.lastWarning = now
		s.warn("duplicate floor claim", err)
	}
}

// commitPlans commits the allocator's plans: first those that free leases, then those that grant the freed units. Work
// that remains after maxPlanRounds is left to the next run.
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

// plan returns the commands that the allocator wants to commit, none if nothing is due.
func (s *Server) plan(state *stateMachine) []quotalease.Command {
	state.quotaMu.Lock()
	defer state.quotaMu.Unlock()
	if !state.allocator.HasWork(s.clock()) {
		return nil
	}
	return state.allocator.Plan(s.clock())
}

// replyFromState replies with the leases and floors that the state machine holds for the requester. While leases of an
// earlier epoch may still be valid and no quotas are set, it replies with a BootstrapPendingError.
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

// reply completes a request with a reply or an error, and counts it.
func (s *Server) reply(request leaseRequest, reply quotalease.Reply, err error) {
	if err == nil {
		s.counters.answered.Add(1)
	} else {
		s.counters.rejectedRequests.Add(1)
	}
	// Never blocks: each request gets one reply, and the channel has capacity 1.
	request.reply <- leaseReply{reply: reply, err: err}
}

// replyAll rejects requests with an error.
func (s *Server) replyAll(requests []leaseRequest, err error) {
	for _, request := range requests {
		s.reply(request, quotalease.Reply{}, err)
	}
}
