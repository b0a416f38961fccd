package modelcheck

import (
	"encoding/binary"
	"slices"

	"github.com/zeebo/xxh3"
)

// appendState appends an encoding of the state that determines the future behavior of the cluster: clusters with equal
// encodings behave alike.
func (c *cluster) appendState(out []byte) []byte {
	out = appendNumbers(out, int(c.now), len(c.requests), len(c.replies))
	for _, s := range c.servers {
		out = s.appendState(out)
		for _, p := range c.proxies {
			if r := s.requests[p.HolderID]; r != nil {
				out = appendNumbers(out, int(r.Seq))
			}
		}
	}
	for _, p := range c.proxies {
		out = p.AppendState(out)
	}
	return c.appendMessages(out)
}

// appendState appends an encoding of the state of a server. It omits the state machine, which is determined by the log
// and the number of applied entries.
func (s *server) appendState(out []byte) []byte {
	out = appendNumbers(out, boolToInt(s.running), int(s.term), boolToInt(s.leader), s.commit, s.applied, len(s.log),
		s.confirmed)
	if n := len(s.log); n > 0 {
		out = binary.AppendUvarint(out, s.log[n-1].id)
	}
	if s.leader {
		out = appendNumbers(out, s.matchLengths...)
		for _, lastContact := range s.lastContact {
			out = appendNumbers(out, int(lastContact))
		}
	}
	return s.allocator.AppendState(out)
}

// appendMessages appends the ids of the messages on the network, sorted, so that the order of sending has no effect.
func (c *cluster) appendMessages(out []byte) []byte {
	ids := make([]uint64, 0, len(c.requests)+len(c.replies))
	for _, r := range c.requests {
		ids = append(ids, r.id)
	}
	for _, r := range c.replies {
		ids = append(ids, r.id+uint64(r.proxyIndex))
	}
	slices.Sort(ids)
	for _, id := range ids {
		out = binary.AppendUvarint(out, id)
	}
	return out
}

// hash returns a hash of the node's state and of its counts of events. It writes the encoding to buffer and returns the
// buffer for reuse.
func (n *searchNode) hash(buffer []byte) ([]byte, xxh3.Uint128) {
	buffer = n.appendState(buffer[:0])
	for _, sent := range n.requestsSent {
		buffer = append(buffer, byte(sent))
	}
	buffer = append(buffer, byte(n.ticks), byte(n.elections), byte(n.restarts))
	return buffer, xxh3.Hash128(buffer)
}

// appendNumbers appends integers as varints.
func appendNumbers(out []byte, values ...int) []byte {
	for _, value := range values {
		out = binary.AppendVarint(out, int64(value))
	}
	return out
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(flag bool) int {
	if flag {
		return 1
	}
	return 0
}
