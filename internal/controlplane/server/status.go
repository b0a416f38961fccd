package server

import (
	"context"
	"time"

	"lapisspread/internal/controlplane/api"
)

// statusInterval is the time between two refreshes of the published status.
const statusInterval = 200 * time.Millisecond

// runStatus refreshes the published status until ctx is canceled, so that requests for it never wait. It logs when a
// fault makes this server stop taking part.
func (s *Server) runStatus(ctx context.Context) {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	lastFault := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.refreshStatus()
		fault := s.status.Load().Fault
		if fault.Message != "" && fault.Message != lastFault {
			s.warn("control-plane server stopped taking part", fault)
		}
		lastFault = fault.Message
	}
}

// refreshStatus publishes the current status and counters.
func (s *Server) refreshStatus() {
	status := &api.ServerStatus{
		Name:     s.self.Name,
		Fleet:    s.config.Fleet.Fleet,
		ID:       s.self.ID,
		Counters: s.counters.snapshot(),
	}
	if current := s.replica.Load(); current != nil {
		s.addNodeStatus(status, current)
		addChunkCounters(status, current.state)
		current.state.addQuotaStatus(status)
	}
	s.status.Store(status)
}

// addNodeStatus adds the status and the counters of the Raft node.
func (s *Server) addNodeStatus(status *api.ServerStatus, current *replica) {
	raft := current.node.Status()
	status.Epoch = current.bootstrap.Epoch
	status.Role = raft.Role
	status.Term = raft.Term
	status.Commit = raft.Commit
	status.Applied = raft.Applied
	status.UnconfirmedServers = raft.UnconfirmedPeers
	status.RespondingVoters = raft.ActiveVoters
	status.Voters = len(raft.Voters)
	status.Fault = api.RemoteErrorOf(raft.Err)
	status.Leader, status.LeaderName = s.addressAndName(raft.Leader)

	metrics := current.node.Metrics()
	status.Counters["log_sent"] = metrics.Sent
	status.Counters["log_sent_bytes"] = metrics.SentBytes
	status.Counters["log_lost"] = metrics.Dropped
	status.Counters["log_refused"] = metrics.Rejected
	status.Counters["log_writes"] = metrics.SyncedWrites
}

// addChunkCounters adds the counters of the policy chunks that were sent.
func addChunkCounters(status *api.ServerStatus, state *stateMachine) {
	chunks := state.chunks.Counters()
	status.Counters["pieces_along"] = chunks.Pushed
	status.Counters["pieces_named"] = chunks.Requested
	status.Counters["pieces_bytes"] = chunks.Bytes
	status.Counters["pieces_lacked"] = chunks.Missing
	status.Counters["pieces_later"] = chunks.Deferred
}

// addQuotaStatus adds the limits of the quotas and the units granted from them. It locks quotaMu.
func (m *stateMachine) addQuotaStatus(status *api.ServerStatus) {
	m.quotaMu.Lock()
	defer m.quotaMu.Unlock()
	config, version := m.quotas.Config()
	_, _, notBootstrapped := m.quotas.Bootstrapped()
	status.ConfigVersion = version
	status.QuotasUnset = notBootstrapped != nil || version == 0
	for i := range config.Quotas {
		quota := &config.Quotas[i]
		amount, burst := m.quotas.Outstanding(quota.Name)
		status.Quotas = append(status.Quotas, api.QuotaUsage{
			Name:         quota.Name,
			Limit:        quota.Limit,
			Burst:        quota.Burst,
			Granted:      amount.Units(),
			GrantedBurst: burst.Units(),
		})
	}
}

// snapshot returns the counters by their names in the status and in the metrics.
func (c *serverCounters) snapshot() map[string]uint64 {
	return map[string]uint64{
		"asks":         c.requests.Load(),
		"answered":     c.answered.Load(),
		"refused":      c.rejectedRequests.Load(),
		"queue_full":   c.queueFull.Load(),
		"proposals":    c.proposals.Load(),
		"grants":       c.leasesGranted.Load(),
		"rejected":     c.rejectedCommands.Load(),
		"failed":       c.failedProposals.Load(),
		"floors_twice": c.duplicateFloorClaims.Load(),
	}
}
