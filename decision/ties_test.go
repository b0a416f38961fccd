package decision

import "testing"

// A backend that is unmeasured is taken to be as its only neighbour, so either may be picked and it becomes known. It
// lost some requests a long time ago: no trace of that may keep it from that for ever.
func TestOldLossesBreakNoTie(t *testing.T) {
	b, _ := newBalancer(t, testConfig(), 2)
	two := list(2)
	two[1].Zone = two[0].Zone
	b.UpdateEndpoints(second, EndpointUpdate{Kind: UpdateFull, Version: 2, Backends: two})
	known, lost := b.targetsByID[1], b.targetsByID[2]
	known.recordRatio(second, b.decaySpan, 40, 40)
	lost.lossesByClass[idempotent].add(3, second, lossDecayFactor*b.decaySpan)
	lost.lossesByClass[idempotent].sum /= 1000 // as some minutes leave it
	b.updateBaselines()
	to := map[BackendID]int{}
	r := &request{Request: Request{ID: 1, Class: idempotent, Deadline: 4 * second}, arrived: second, objectiveAt: 2 * second, value: 1}
	for range 64 {
		to[b.selectTarget(r).ID]++
	}
	if to[1] == 0 || to[2] == 0 {
		t.Errorf("of 64 requests %d went to the one that is known and %d to its neighbour", to[1], to[2])
	}
	lost.lossesByClass[idempotent].add(3, second, lossDecayFactor*b.decaySpan)
	if b.expectedDelay(r, lost) < 3*b.expectedDelay(r, known) {
		t.Errorf("one that has just lost three is scored %v, the other %v", b.expectedDelay(r, lost), b.expectedDelay(r, known))
	}
}
