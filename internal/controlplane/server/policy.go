package server

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/policy/rollout"
	"lapisspread/internal/quotalease"
)

// regressionShownFor is how long a regression stays in the policy's status.
const regressionShownFor = time.Hour

// policyReport records a proxy's report. The reply has the version that the proxy must adopt, with chunks or a text of
// it if the proxy needs them. It fails if the report is of another fleet or this server is not the leader.
func (s *Server) policyReport(report api.PolicyReport) (api.PolicyReply, error) {
	reply := api.PolicyReply{Fleet: s.config.Fleet.Fleet}
	if report.Fleet != reply.Fleet {
		return reply, quotalease.FleetMismatchError{Ours: reply.Fleet, Theirs: report.Fleet}
	}
	current, err := s.leaderReplica()
	if err != nil {
		return reply, err
	}
	state := current.state
	reported := report.Current
	report.Current = state.resolveRoot(report.Current)
	report.Rejected = state.resolveRoot(report.Rejected)
	settings := s.config.Fleet.RolloutSettings()
	reply.Target, err = current.rollouts.lockedReport(s.clock(), settings, state.policyStatus(), report)
	if err != nil {
		return reply, err
	}
	wanted := reply.Target.NewerThan(report.Current) && reply.Target != report.Rejected
	if report.AcceptsChunks {
		reply.Chunked = true
		if wanted {
			limit := cmp.Or(report.MaxChunkBytes, api.MaxChunkBytes)
			reply.Chunks = state.chunks.ChunksBetween(report.Current.Hash, reply.Target.Hash, limit)
		}
		return reply, nil
	}
	return state.textReply(reply, report.Current, reported, wanted)
}

// textReply completes the reply to a proxy that does not accept chunks. Such a proxy identifies versions by the hash of
// their text. The argument reported is the proxy's version as it reported it, and current is the same version with the
// root of its tree as the hash. It returns a ChunksRequiredError if the target is too long or no longer retained.
func (m *stateMachine) textReply(
	reply api.PolicyReply, current, reported rollout.Version, wanted bool,
) (api.PolicyReply, error) {
	if reply.Target == current {
		reply.Target = reported
		return reply, nil
	}
	if !reply.Target.NewerThan(current) {
		return reply, nil
	}
	encoded, ok := m.policyEncoding(reply.Target)
	if !ok {
		return reply, ChunksRequiredError{Epoch: reply.Target.Epoch}
	}
	reply.Target.Hash = encoded.hash
	if wanted {
		reply.Text = []byte(encoded.text)
	}
	return reply, nil
}

// policyChunks returns chunks by name. Leaders and followers both serve chunks. A server whose log is behind may lack
// some, which the proxy then requests from another server.
func (s *Server) policyChunks(request api.ChunksRequest) (api.ChunksReply, error) {
	if request.Fleet != s.config.Fleet.Fleet {
		err := quotalease.FleetMismatchError{Ours: s.config.Fleet.Fleet, Theirs: request.Fleet}
		return api.ChunksReply{}, err
	}
	if len(request.Names) > api.MaxChunkNames || len(request.Proxy) > maxProxyNameBytes {
		reason := fmt.Sprintf("it asks for %d pieces", len(request.Names))
		return api.ChunksReply{}, api.MalformedMessageError{Reason: reason}
	}
	current := s.replica.Load()
	if current == nil {
		return api.ChunksReply{}, quotalease.NotBootstrappedError{}
	}
	distributor := current.state.chunks
	chunks, missing, retryAfter := distributor.ChunksByName(s.clock(), request.Proxy, request.Root, request.Names)
	return api.ChunksReply{Chunks: chunks, Missing: missing, RetryAfterNanos: int64(retryAfter)}, nil
}

// policyStatus returns the state of the policy and, on the leader, the state of the rollout. It fails before the
// bootstrap.
func (s *Server) policyStatus() (api.PolicyStatus, error) {
	current := s.replica.Load()
	if current == nil {
		return api.PolicyStatus{}, quotalease.NotBootstrappedError{}
	}
	status := api.PolicyStatus{Policy: current.state.policyStatus()}
	if _, err := s.leaderReplica(); err != nil {
		return status, nil // a follower has only the state that it has applied
	}
	status.IsLeader = true
	driver := &current.rollouts
	driver.mu.Lock()
	defer driver.mu.Unlock()
	driver.syncWithLog(s.clock(), s.config.Fleet.RolloutSettings(), status.Policy)
	state, _ := driver.rollout.State()
	if status.Policy.Stopped != nil {
		state = rollout.Stopped
	}
	status.RolloutState = state.String()
	if driver.regression.Epoch > 0 && s.clock()-driver.regressionAt < regressionShownFor {
		status.Regression = driver.regression.Error()
		status.RegressionAdvice = driver.regression.Advice()
	}
	driver.countProxies(&status)
	return status, nil
}

// countProxies adds to status how many proxies are tracked, have a version older than the active one, accept no chunks,
// have the newest version, or have rejected the newest version. The caller must hold d.mu.
func (d *rolloutDriver) countProxies(status *api.PolicyStatus) {
	newest := status.Policy.Candidate
	if newest.Epoch == 0 {
		newest = status.Policy.Active
	}
	status.ProxyCount = len(d.proxies)
	for name, proxy := range d.proxies {
		if status.Policy.Active.NewerThan(proxy.current) {
			status.BehindCount++
			status.Behind = append(status.Behind, name)
		}
		if proxy.legacy {
			status.LegacyCount++
		}
		if proxy.current == newest {
			status.Updated++
		}
		if proxy.rejected == newest {
			status.Rejected++
		}
	}
	slices.Sort(status.Behind)
	status.Behind = status.Behind[:min(len(status.Behind), api.MaxBehindNames)]
}
