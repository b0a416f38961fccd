package consensus

// injectFaults draws whether a fault happens in this tick, and which.
func (s *simulation) injectFaults() {
	running := 0
	for _, n := range s.nodes {
		if n.core != nil && !n.failed() {
			running++
		}
	}
	until := s.now + 15 + s.rng.IntN(45)
	switch draw := s.rng.IntN(600); {
	case draw < 6: // a crash; at times of the whole fleet
		if n := s.anyNode(); n.core != nil && (running > len(s.nodes)/2+1 || s.rng.IntN(4) == 0) {
			s.crash(n)
		}
	case draw < 10:
		s.partition(until)
	case draw < 16: // a link in one direction
		s.cutUntil[[2]uint64{s.anyNode().id, s.anyNode().id}] = until
	case draw < 20: // a pause, of the leader if there is one
		n := s.anyNode()
		for _, other := range s.nodes {
			if other.isLeader() {
				n = other
			}
		}
		n.pausedUntil = until
	case draw < 24:
		s.loss = []float64{0, .05, .3}[s.rng.IntN(3)]
	case draw < 60: // a copy of a store, which may be restored later
		if n := s.anyNode(); len(n.copies) < 40 {
			n.copies = append(n.copies, n.disk)
		}
	}
}

func (s *simulation) anyNode() *simulatedNode { return s.nodes[s.rng.IntN(len(s.nodes))] }

// partition cuts some nodes off from the others.
func (s *simulation) partition(until int) {
	side := map[uint64]bool{}
	for range 1 + s.rng.IntN(len(s.nodes)/2) {
		side[s.anyNode().id] = true
	}
	s.cutOff(side, until)
}

// cutOff cuts all links between some nodes and the others.
func (s *simulation) cutOff(side map[uint64]bool, until int) {
	for _, a := range s.nodes {
		for _, b := range s.nodes {
			if side[a.id] != side[b.id] {
				s.cutUntil[[2]uint64{a.id, b.id}] = until
			}
		}
	}
}

// crash stops a node at once. A batch that was being written may be on disk or not.
func (s *simulation) crash(n *simulatedNode) {
	s.truncations += n.core.Status().Truncations
	if n.writing != nil && s.rng.IntN(2) == 0 {
		n.persistBatch()
	}
	mayRollBack := s.mutations.restoreOldStore && s.rolledBack == 0 && len(n.copies) > 0
	if mayRollBack && s.rng.IntN(2) == 0 && s.now > faultTicks/6 {
		s.rolledBack = n.id
		n.disk = n.copies[s.rng.IntN(len(n.copies))]
	}
	n.core = nil
	n.writing = nil
	n.startAt = s.now + 3 + s.rng.IntN(30)
}
