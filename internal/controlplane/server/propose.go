package server

import (
	"context"
	"encoding/json"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lapisspread/internal/consensus"
	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/policy/store"
	"lapisspread/internal/quotalease"
)

const (
	maxBatchBytes   = 256 << 10       // maximum total size of the commands in one log entry
	proposeTimeout  = 2 * time.Second // maximum time until an entry is committed and applied
	operatorTimeout = 5 * time.Second // maximum time for an operator's command
)

// roleLeader is the Raft library's name for the role of the leader.
const roleLeader = "StateLeader"

// leaderReplica returns the current replica if this server is the leader, and an error otherwise. On a server that is
// not the leader it discards the progress of the rollout.
func (s *Server) leaderReplica() (*replica, error) {
	current := s.replica.Load()
	if current == nil {
		return nil, quotalease.NotBootstrappedError{}
	}
	status := current.node.Status()
	if status.Err != nil {
		return nil, status.Err
	}
	if status.Role != roleLeader {
		current.rollouts.reset()
		return nil, consensus.NotLeaderError{Leader: status.Leader}
	}
	return current, nil
}

// setQuotas commits the quotas that an operator sets. It blocks until they are applied, for at most operatorTimeout.
func (s *Server) setQuotas(ctx context.Context, command quotalease.SetQuotas) error {
	current, err := s.leaderReplica()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	if err := s.proposeQuotaCommand(ctx, current, quotalease.Command{SetQuotas: &command}); err != nil {
		s.warn("setting quotas failed", err)
		return err
	}
	s.config.Logger.Info("quotas set by an operator", "version", command.Version, "quotas", len(command.Config.Quotas))
	return nil
}

// policyCommand commits an operator's command about the policy. It blocks until the command is applied, for at most
// operatorTimeout. It rejects rollout results, which only the leader may commit.
func (s *Server) policyCommand(ctx context.Context, command store.Command) error {
	if command.RolloutResult != nil {
		return store.InvalidCommandError{Reason: "how a roll-out ends is the leader's word"}
	}
	current, err := s.leaderReplica()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	if err := s.proposePolicyCommand(ctx, current, command); err != nil {
		s.warn("policy command failed", err)
		return err
	}
	status := current.state.policyStatus()
	s.config.Logger.Info("policy command applied",
		"active_epoch", status.Active.Epoch, "candidate_epoch", status.Candidate.Epoch,
		"generation", status.Active.Generation, "withheld", len(status.WithheldFiles))
	return nil
}

// commitPlan commits the commands of a plan in order, as many in each log entry as fit in maxBatchBytes.
func (s *Server) commitPlan(ctx context.Context, current *replica, commands []quotalease.Command) error {
	for len(commands) > 0 {
		count, err := batchSize(commands)
		if err != nil {
			return err
		}
		batch := quotalease.Command{Batch: commands[:count]}
		if err := s.proposeQuotaCommand(ctx, current, batch); err != nil {
			return err
		}
		commands = commands[count:]
	}
	return nil
}

// batchSize returns how many of the first commands fit in one log entry. It is at least one: a command that is larger
// than maxBatchBytes gets an entry of its own.
func batchSize(commands []quotalease.Command) (int, error) {
	size := 0
	for i := range commands {
		text, err := json.Marshal(commands[i])
		if err != nil {
			return 0, err
		}
		size += len(text)
		if i > 0 && size > maxBatchBytes {
			return i, nil
		}
	}
	return len(commands), nil
}

// proposeQuotaCommand commits a command about quotas or leases; see proposeEntry.
func (s *Server) proposeQuotaCommand(ctx context.Context, current *replica, command quotalease.Command) error {
	text, err := json.Marshal(command)
	if err != nil {
		return err
	}
	return s.proposeEntry(ctx, current, text)
}

// proposePolicyCommand commits a command about policies; see proposeEntry.
func (s *Server) proposePolicyCommand(ctx context.Context, current *replica, command store.Command) error {
	text, err := json.Marshal(command)
	if err != nil {
		return err
	}
	return s.proposeEntry(ctx, current, append([]byte{policyEntryMarker}, text...))
}

// proposeEntry proposes a log entry and blocks until it is committed and applied on this server, for at most
// proposeTimeout. A RemoteError means that the state machine rejected the command. After any other error the entry may
// or may not be committed.
func (s *Server) proposeEntry(ctx context.Context, current *replica, entry []byte) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	s.counters.proposals.Add(1)
	reply, err := current.node.Propose(ctx, entry)
	if err != nil {
		s.counters.failedProposals.Add(1)
		return err
	}
	var outcome applyOutcome
	if err := cbor.Unmarshal(reply, &outcome); err != nil {
		return api.MalformedMessageError{Reason: err.Error()}
	}
	s.counters.leasesGranted.Add(uint64(outcome.LeasesStarted))
	s.counters.rejectedCommands.Add(uint64(outcome.RejectedParts))
	if outcome.Rejected.Message != "" {
		s.counters.rejectedCommands.Add(1)
		return outcome.Rejected
	}
	return nil
}
