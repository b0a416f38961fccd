package quotasim

import (
	"encoding/json"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lapisspread/internal/quotalease"
)

const (
	minDelay     = 500 * time.Microsecond // one way between processes, up to twice that
	logWriteTime = 2 * time.Millisecond   // to disk

	// maxPlans is how many plans answer one batch of requests, as in package controlplane/server.
	maxPlans = 3
)

// delay draws the time of one way between processes.
func (s *simulation) delay() time.Duration {
	return minDelay + time.Duration(s.rng.Int64N(int64(minDelay)))
}

// sendRequest has a holder send a request, and schedules its next one.
func (s *simulation) sendRequest(h *holder) {
	if !h.alive {
		return
	}
	for i, name := range s.quotaNames {
		if i >= s.settings.DrivenQuotas {
			h.SetDemand(name, s.demandOf(h))
			continue
		}
		h.measureDemand(s.now, i, s.settings.DemandDecay)
		h.SetDemand(name, h.wanted[i])
	}
	h.requestedAt = s.now
	if !h.partitioned {
		s.deliverRequest(h, h.NextRequest(s.now))
	}
	s.scheduleRequest(h)
}

// deliverRequest brings a request to the leader, which answers it with the next round.
func (s *simulation) deliverRequest(h *holder, request quotalease.Request) {
	sentAt := s.now
	s.result.Calls++
	s.result.BytesIn += s.encodedSize(request)
	s.schedule(s.delay(), func() {
		s.pendingReplies = append(s.pendingReplies, func() { s.sendReply(h, sentAt) })
		if err := s.allocator.HandleRequest(s.now, request); err != nil {
			s.err = err
		}
		s.startRound()
	})
}

// scheduleRequest has a holder send a request when it is due by what it holds now. A reply changes that.
func (s *simulation) scheduleRequest(h *holder) {
	h.requestGeneration++
	generation := h.requestGeneration
	interval := h.RequestInterval()
	if s.settings.MaxRequestInterval > 0 {
		interval = min(interval, s.settings.MaxRequestInterval)
	}
	s.schedule(max(0, h.requestedAt+interval-s.now), func() {
		if h.requestGeneration == generation {
			s.sendRequest(h)
		}
	})
}

// sendReply answers a request that was sent at sentAt.
func (s *simulation) sendReply(h *holder, sentAt time.Duration) {
	reply := s.state.ReplyTo(h.id())
	s.result.BytesOut += s.encodedSize(reply)
	s.schedule(s.delay(), func() {
		if h.alive && !h.partitioned {
			_ = h.HandleReply(sentAt, s.now, reply) // later replies repeat what it refuses
			s.scheduleRequest(h)
		}
	})
}

// encodedSize returns the bytes of a message.
func (s *simulation) encodedSize(message any) float64 {
	data, err := cbor.Marshal(message)
	if err != nil {
		s.err = err
	}
	return float64(len(data))
}

// startRound begins a round of the leader, unless one is under way. Requests that come meanwhile wait for the next.
func (s *simulation) startRound() {
	if s.planning {
		return
	}
	s.result.Rounds++
	s.planning = true
	s.planRound(0)
}

// planRound makes the next plan of a round and goes on once it is committed. After the last plan it answers the
// requests.
func (s *simulation) planRound(done int) {
	var commands []quotalease.Command
	if done < maxPlans && s.allocator.HasWork(s.now) {
		startedAt := time.Now()
		commands = s.allocator.Plan(s.now)
		s.result.ComputeTime += time.Since(startedAt)
	}
	if len(commands) == 0 {
		s.endRound()
		return
	}
	batch := quotalease.Command{Batch: commands}
	data, err := json.Marshal(batch)
	if err != nil {
		s.err = err
	}
	s.result.Entries++
	s.result.LogBytes += float64(len(data))
	s.schedule(2*s.delay()+logWriteTime+s.planCost(), func() {
		startedAt := time.Now()
		s.apply(batch)
		s.result.ComputeTime += time.Since(startedAt)
		s.planRound(done + 1)
	})
}

func (s *simulation) endRound() {
	replies := s.pendingReplies
	s.pendingReplies = nil
	s.planning = false
	for _, reply := range replies {
		reply()
	}
}

func (s *simulation) planCost() time.Duration {
	return s.settings.PlanCost * time.Duration(len(s.holders)*s.settings.Quotas)
}

// apply commits and applies a command.
func (s *simulation) apply(command quotalease.Command) {
	s.index++
	result, err := s.state.Apply(s.index, command)
	if err != nil {
		s.err = err
	}
	s.allocator.ObserveApplied(s.now, result)
}
