package decision

import "testing"

// The first request of a process does not stand for the mean of the next hundreds.
func TestFirstRequestIsNoMean(t *testing.T) {
	b, _ := newBalancer(t, testConfig(), 4)
	const others = 15
	for i := range 1 + others {
		r := Request{ID: RequestID(i + 1), Deadline: 2 * second, ExpectedWork: milli}
		if i == 0 {
			r.ExpectedWork = 100 * milli
		}
		b.Request(second, r)
	}
	if want := (100. + others) / (1 + others); b.meanWork < want-0.01 || b.meanWork > want+0.01 {
		t.Errorf("the mean work is %.1f ms, %.1f is right", b.meanWork, want)
	}
}
