package metrics

import (
	"encoding/json"
	"sync"
	"testing"
)

func TestCountsFromManyGoroutines(t *testing.T) {
	f := New([]string{"ride", "payout"})
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			for range 100 {
				f.CountRequest(0, Served)
				f.CountRequest(1, Failed)
				f.Attempts.Add(1)
				f.CountRequest(2, Served) // no such class: not counted
				f.CountRequest(-1, Rejected)
			}
		})
	}
	all.Wait()
	f.InFlight.Store(14)
	f.BackendsKnown.Store(9)
	text, err := json.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	want := `{"served":{"payout":0,"ride":800},"refused":{"payout":0,"ride":0},"failed":{"payout":800,"ride":0},` +
		`"attempts":800,"in_flight":14,"backends_known":9,"backends_excluded":0,"reloads_ok":0,"reloads_failed":0,"lists_bad":0}`
	if string(text) != want {
		t.Errorf("got  %s\nwant %s", text, want)
	}
}
