package metrics

import (
	"encoding/json"
	"sync"
	"testing"
)

// The counters of clients that left and of broken responses are shown once they count something, and summed.
func TestRareCountersAreShownOnceTheyCount(t *testing.T) {
	c := New(nil)
	c.ClientsLeft.Store(3)
	c.BrokenResponses.Store(4)
	text, err := MarshalTotals(New(nil), map[string]*Counters{"a": c, "b": c}, nil)
	if err != nil {
		t.Fatalf("MarshalTotals(): %v", err)
	}
	var got struct {
		ClientsLeft     int64 `json:"clients_left"`
		BrokenResponses int64 `json:"answers_broken"`
		Services        map[string]map[string]any
	}
	if err := json.Unmarshal(text, &got); err != nil {
		t.Fatalf("decoding the totals: %v", err)
	}
	if a := got.Services["a"]; got.ClientsLeft != 6 || got.BrokenResponses != 8 || a["clients_left"] != 3.0 || a["answers_broken"] != 4.0 {
		t.Errorf("totals %s, want the sums 6 and 8, and 3 and 4 for each service", text)
	}
}

// Concurrent counts are all included in the JSON encoding, and counts of unknown classes are ignored.
func TestCountsFromManyGoroutines(t *testing.T) {
	c := New([]string{"ride", "payout"})
	var counting sync.WaitGroup
	for range 8 {
		counting.Go(func() {
			for range 100 {
				c.CountRequest(0, Served)
				c.CountRequest(1, Failed)
				c.Attempts.Add(1)
				c.CountRequest(2, Served) // no such class: not counted
				c.CountRequest(-1, Rejected)
			}
		})
	}
	counting.Wait()
	c.InFlight.Store(14)
	c.BackendsKnown.Store(9)
	text, err := json.Marshal(c)
	if err != nil {
		t.Fatalf("encoding the counters: %v", err)
	}
	want := `{"served":{"payout":0,"ride":800},"refused":{"payout":0,"ride":0},"failed":{"payout":800,"ride":0},` +
		`"attempts":800,"in_flight":14,"backends_known":9,"backends_excluded":0,` +
		`"reloads_ok":0,"reloads_failed":0,"lists_bad":0}`
	if string(text) != want {
		t.Errorf("counters encoded as JSON: got\n%s\nwant\n%s", text, want)
	}
}
