package decision

import "testing"

// A backend that is unmeasured is taken to be as its only neighbour, so either may be picked and it becomes known. It
// lost some requests a long time ago: no trace of that may keep it from that for ever.
func TestATraceOfOldLossesBreaksNoTie(t *testing.T) {
	b, _ := newBalancer(t, testConfig(), 2)
	two := list(2)
	two[1].Zone = two[0].Zone
	b.Membership(second, Membership{Kind: ListFull, Version: 2, Backends: two})
	known, lost := b.byID[1], b.byID[2]
	known.note(second, b.span, 40, 40)
	lost.lost[safe].add(3, second, lostMemory*b.span)
	lost.lost[safe].sum /= 1000 // as some minutes leave it
	b.findMedian()
	to := map[BackendID]int{}
	r := &request{Request: Request{ID: 1, Class: safe, Deadline: 4 * second}, arrived: second, aimAt: 2 * second, worth: 1}
	for range 64 {
		to[b.pick(r).ID]++
	}
	if to[1] == 0 || to[2] == 0 {
		t.Errorf("of 64 requests %d went to the one that is known and %d to its neighbour", to[1], to[2])
	}
	lost.lost[safe].add(3, second, lostMemory*b.span)
	if b.score(r, lost) < 3*b.score(r, known) {
		t.Errorf("one that has just lost three is scored %v, the other %v", b.score(r, lost), b.score(r, known))
	}
}
