package modelcheck

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"

	"lapisspread/internal/quotalease"
)

// sendRequest puts the next request of the i-th proxy on the network.
func (c *cluster) sendRequest(i int) {
	p := c.proxies[i]
	now := p.clockTime(c.now)
	r := &request{proxyIndex: i, sentAt: now, Request: p.NextRequest(now)}
	r.id = r.Incarnation<<32 | r.Seq
	c.requests = append(c.requests, r)
}

// deliverRequest passes a request to a server; a leader then proposes its plan. It reports whether the server accepted
// the request.
func (c *cluster) deliverRequest(s *server, r *request) bool {
	if !s.running || s.allocator.HandleRequest(s.clockTime(c.now), r.Request) != nil {
		return false
	}
	if last := s.requests[r.HolderID]; last == nil || last.Seq < r.Seq {
		s.requests[r.HolderID] = r
	}
	c.proposePlan(s)
	return true
}

// proposePlan appends the plan of a leader to its log. It reports whether the plan had commands.
func (c *cluster) proposePlan(s *server) bool {
	if !s.running || !s.leader {
		return false
	}
	commands := s.allocator.Plan(s.clockTime(c.now))
	if len(commands) == 0 {
		return false
	}
	c.append(s, quotalease.Command{Batch: commands})
	return true
}

// runOperator models an operator at a leader whose log lacks the operator's commands: the operator bootstraps the fleet
// again and sets its quotas.
func (c *cluster) runOperator(s *server) {
	if !s.running || !s.leader {
		return
	}
	for _, entry := range s.log[s.commit:] {
		if entry.command.Bootstrap != nil || entry.command.SetQuotas != nil {
			return // already proposed, but not committed yet
		}
	}
	_, epoch, err := s.state.Bootstrapped()
	if err != nil || epoch < c.epoch {
		c.epoch++
		c.append(s, c.settings.bootstrap(c.epoch))
		return
	}
	if _, version := s.state.Config(); version < c.version {
		c.append(s, c.settings.setQuotas(c.version+1, c.settings.Limit, c.settings.Burst))
	}
}

// sendReply puts the reply of a server to a request on the network, unless an equal reply is there already.
func (c *cluster) sendReply(s *server, r *request) {
	state := s.state
	if c.settings.mutations.ReplyBeforeCommit {
		state = s.uncommittedState()
	}
	if _, _, err := state.Bootstrapped(); !s.running || err != nil {
		return
	}
	out := &reply{proxyIndex: r.proxyIndex, sentAt: r.sentAt, Reply: state.ReplyTo(r.HolderID)}
	out.id = out.hash()
	for _, sent := range c.replies {
		if sent.id == out.id && sent.proxyIndex == out.proxyIndex && sent.HolderID == out.HolderID {
			return
		}
	}
	c.replies = append(c.replies, out)
}

// uncommittedState returns a copy of the state with all log entries applied, committed or not.
func (s *server) uncommittedState() *quotalease.StateMachine {
	state := s.state.Clone()
	for i := s.applied; i < len(s.log); i++ {
		_, _ = state.Apply(uint64(i+1), s.log[i].command) // a rejected command changes nothing
	}
	return state
}

// hash returns a hash of the content that distinguishes replies to one process.
func (r *reply) hash() uint64 {
	data := binary.AppendVarint(nil, int64(r.sentAt))
	for _, lease := range r.Leases {
		data = binary.AppendUvarint(data, lease.Token.Index)
		data = binary.AppendVarint(data, int64(lease.Amount))
	}
	return xxh3.Hash(binary.AppendUvarint(data, r.ConfigVersion))
}

// deliverReply passes a reply to its process. A refusal by the holder is not an error of the model.
func (c *cluster) deliverReply(r *reply) {
	if p := c.proxies[r.proxyIndex]; p.running {
		_ = p.HandleReply(r.sentAt, p.clockTime(c.now), r.Reply)
	}
}
