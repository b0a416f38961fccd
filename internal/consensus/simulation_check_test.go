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
	read   bool
	value  uint64
	call   int
	end    int    // 0 is that nobody knows the outcome
	result uint64 // the length of the list
}

// liveGrant is an acknowledged command as a lease: it is in force until the silence has passed since the request.
type liveGrant struct {
	from, until int
	history     []uint64 // the list up to it
}

// runClient has a client send a request to a node at times.
func (s *simulation) runClient(n *simulatedNode) {
	if s.idle || s.rng.IntN(8) > 0 {
		return
	}
	id := uint64(len(s.operations) + 1)
	o := &operation{read: s.rng.IntN(3) == 0, value: id, call: s.now}
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

// recordGrant compares a grant with those that are in force with it: of each two, one must know the other.
func (s *simulation) recordGrant(grant liveGrant) {
	for _, other := range s.grants {
		both := min(len(grant.history), len(other.history))
		overlap := other.until > grant.from && other.from < grant.until
		if overlap && !slices.Equal(grant.history[:both], other.history[:both]) {
			s.fail("of two grants that are in force neither knows the other: %v, %v", other.history, grant.history)
		}
	}
	s.grants = append(s.grants, grant)
}

// compareApplied checks that all nodes apply beginnings of one list.
func (s *simulation) compareApplied(n *simulatedNode) {
	numbers := n.machine.numbers
	if len(numbers) == n.compared {
		return
	}
	n.compared = len(numbers)
	both := min(len(numbers), len(s.longest))
	if !slices.Equal(numbers[:both], s.longest[:both]) {
		s.fail("node %d has applied %v, another %v", n.id, numbers, s.longest)
	}
	if len(numbers) > len(s.longest) {
		s.longest = slices.Clone(numbers)
	}
}

// listModel is the list as its length: the result of an append tells where it belongs.
var listModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		if isRead := input.(bool); isRead {
			return output == state, state
		}
		return output == state.(uint64)+1, output
	},
}

// checkHistory checks that the operations are linearizable: nothing that was acknowledged is lost, and what came
// after came after.
func (s *simulation) checkHistory() {
	position := map[uint64]uint64{}
	for i, n := range s.longest {
		if position[n] > 0 {
			s.fail("command %d was applied twice", n)
		}
		position[n] = uint64(i + 1)
	}
	var history []porcupine.Operation
	for i, o := range s.operations {
		at := position[o.value]
		if o.end > 0 && !o.read && at != o.result {
			s.fail("command %d was acknowledged as number %d, and is number %d", o.value, o.result, at)
		}
		entry := porcupine.Operation{
			ClientId: i,
			Input:    o.read,
			Call:     int64(o.call),
			Output:   o.result,
			Return:   int64(o.end),
		}
		if o.end == 0 {
			if o.read || at == 0 {
				continue
			}
			// Nobody was told, but it was applied.
			entry.Output = at
			entry.Return = int64(s.now + 1)
		}
		history = append(history, entry)
	}
	if porcupine.CheckOperationsTimeout(listModel, history, 5*time.Second) != porcupine.Ok {
		s.fail("the history of %d operations is not linearizable", len(history))
	}
}

func (s *simulation) describeNodes() string {
	var b strings.Builder
	for _, n := range s.nodes {
		if n.core != nil {
			fmt.Fprintf(&b, "%+v; ", n.core.Status())
		}
	}
	return b.String()
}
