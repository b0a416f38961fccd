package consensus

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// operation is a request of a client.
type operation struct {
	read     bool   // else the command that appends value
	value    uint64 // also the request ID
	callTick int    // tick of the request
	endTick  int    // tick of the reply; 0 while the outcome is unknown
	result   uint64 // length of the list
}

// liveGrant is a lease granted by an acknowledged command. It is in force until silenceTicks after the request.
type liveGrant struct {
	from, until int      // ticks; until is exclusive
	history     []uint64 // the list up to and including the command
}

// runClient sends a request of a client to a node, in one of 8 calls on average.
func (s *simulation) runClient(n *simulatedNode) {
	if s.clientsDisabled || s.rng.IntN(8) > 0 {
		return
	}
	id := uint64(len(s.operations) + 1)
	o := &operation{read: s.rng.IntN(3) == 0, value: id, callTick: s.now}
	var err error
	if o.read {
		err = n.core.ReadIndex(id)
	} else {
		err = n.core.Propose(id, binary.BigEndian.AppendUint64(nil, id))
	}
	if err == nil {
		n.inflight[id] = len(s.operations)
		s.operations = append(s.operations, o)
	}
}

// recordGrant records a grant. Of two grants that are in force at the same time, the history of one must be a prefix of
// the history of the other, so that the later one took the earlier one into account.
func (s *simulation) recordGrant(grant liveGrant) {
	for _, other := range s.grants {
		commonLength := min(len(grant.history), len(other.history))
		overlap := other.until > grant.from && other.from < grant.until
		if overlap && !slices.Equal(grant.history[:commonLength], other.history[:commonLength]) {
			s.recordViolation("two grants in force at the same time have divergent histories %v and %v, "+
				"want one to be a prefix of the other", other.history, grant.history)
		}
	}
	s.grants = append(s.grants, grant)
}

// compareApplied checks that every node has applied a prefix of the same list.
func (s *simulation) compareApplied(n *simulatedNode) {
	numbers := n.machine.numbers
	if len(numbers) == n.comparedCount {
		return
	}
	n.comparedCount = len(numbers)
	commonLength := min(len(numbers), len(s.longestApplied))
	if !slices.Equal(numbers[:commonLength], s.longestApplied[:commonLength]) {
		s.recordViolation("node %d has applied %v and another node %v, want one to be a prefix of the other",
			n.id, numbers, s.longestApplied)
	}
	if len(numbers) > len(s.longestApplied) {
		s.longestApplied = slices.Clone(numbers)
	}
}

// listModel models the list by its length alone: the result of an append is its position in the list.
var listModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		if isRead := input.(bool); isRead {
			return output == state, state
		}
		return output == state.(uint64)+1, output
	},
}

// checkHistory checks that the operations are linearizable: no acknowledged command is lost, and each operation sees
// all that ended before it began.
func (s *simulation) checkHistory() {
	position := map[uint64]uint64{}
	for i, n := range s.longestApplied {
		if position[n] > 0 {
			s.recordViolation("command %d was applied twice, want once", n)
		}
		position[n] = uint64(i + 1)
	}
	var history []porcupine.Operation
	for i, o := range s.operations {
		at := position[o.value] // from 1; 0 if it was not applied
		if o.endTick > 0 && !o.read && at != o.result {
			s.recordViolation("command %d was acknowledged at position %d of the list, and is at position %d "+
				"(0: not in the list)", o.value, o.result, at)
		}
		entry := porcupine.Operation{
			ClientId: i,
			Input:    o.read,
			Call:     int64(o.callTick),
			Output:   o.result,
			Return:   int64(o.endTick),
		}
		if o.endTick == 0 {
			if o.read || at == 0 {
				continue
			}
			// The command was applied, but no reply reached the client.
			entry.Output = at
			entry.Return = int64(s.now + 1)
		}
		history = append(history, entry)
	}
	if porcupine.CheckOperationsTimeout(listModel, history, 5*time.Second) != porcupine.Ok {
		s.recordViolation("the history of %d operations was not found to be linearizable within 5 s", len(history))
	}
}

// describeNodes returns the status of all nodes that run.
func (s *simulation) describeNodes() string {
	var b strings.Builder
	for _, n := range s.nodes {
		if n.core != nil {
			fmt.Fprintf(&b, "status of node %d: %+v; ", n.id, n.core.Status())
		}
	}
	return b.String()
}
