package consensus

// injectFaults injects at most one fault, chosen at random, in this tick.
func (s *simulation) injectFaults() {
	running := 0
	for _, n := range s.nodes {
		if n.core != nil && !n.failed() {
			running++
		}
	}
	until := s.now + 15 + s.rng.IntN(45)
	switch draw := s.rng.IntN(600); {
	case draw < 6: // a crash; sometimes one that leaves no majority running
		if n := s.randomNode(); n.core != nil && (running > len(s.nodes)/2+1 || s.rng.IntN(4) == 0) {
			s.crash(n)
		}
	case draw < 10:
		s.partition(until)
	case draw < 16: // one link is cut in one direction
		s.cutUntil[[2]uint64{s.randomNode().id, s.randomNode().id}] = until
	case draw < 20: // a node is paused, the leader if there is one
		n := s.randomNode()
		for _, other := range s.nodes {
			if other.isLeader() {
				n = other
			}
		}
		n.pausedUntil = until
	case draw < 24:
		s.lossRate = []float64{0, .05, .3}[s.rng.IntN(3)]
	case draw < 60: // a store is copied; crash may restore the copy later
		if n := s.randomNode(); len(n.diskCopies) < 40 {
			n.diskCopies = append(n.diskCopies, n.disk)
		}
	}
}

// randomNode returns a node chosen at random.
func (s *simulation) randomNode() *simulatedNode { return s.nodes[s.rng.IntN(len(s.nodes))] }

// partition cuts off a random minority of the nodes from the others, until a tick.
func (s *simulation) partition(until int) {
	side := map[uint64]bool{}
	for range 1 + s.rng.IntN(len(s.nodes)/2) {
		side[s.randomNode().id] = true
	}
	s.cutOff(side, until)
}

// cutOff cuts all links between the nodes of side and the other nodes, until a tick.
func (s *simulation) cutOff(side map[uint64]bool, until int) {
	for _, a := range s.nodes {
		for _, b := range s.nodes {
			if side[a.id] != side[b.id] {
				s.cutUntil[[2]uint64{a.id, b.id}] = until
			}
		}
	}
}

// crash stops a node at once. A batch that was being written reaches the disk or not, at random. With restoreOldStore
// the node's store may be rolled back to an older copy, once in a simulation.
func (s *simulation) crash(n *simulatedNode) {
	s.truncations += n.core.Status().Truncations
	if n.writing != nil && s.rng.IntN(2) == 0 {
		n.persistBatch()
	}
	mayRollBack := s.mutations.restoreOldStore && s.rolledBack == 0 && len(n.diskCopies) > 0
	if mayRollBack && s.rng.IntN(2) == 0 && s.now > faultTicks/6 {
		s.rolledBack = n.id
		n.disk = n.diskCopies[s.rng.IntN(len(n.diskCopies))]
	}
	n.core = nil
	n.writing = nil
	n.startAt = s.now + 3 + s.rng.IntN(30)
}
