// Package metrics counts what a proxy does, for the console's INFO. Counting takes no lock and reading waits for
// nobody: the counters of one reading may be some events apart from each other.
package metrics

import (
	"encoding/json"
	"fmt"
	"runtime"
	"sync/atomic"
)

// Outcome is how a request ended for its client.
type Outcome int

// The outcomes.
const (
	Served Outcome = iota
	Rejected
	Failed
	outcomeCount
)

// Counters are the counters of one service, or of a process with a single one. Those without a class may be set and
// added to by any goroutine.
type Counters struct {
	classes  []string
	requests [outcomeCount][]atomic.Int64 // by class

	Attempts         atomic.Int64 // sent completely to backends
	InFlight         atomic.Int64 // requests that have not ended
	BackendsKnown    atomic.Int64 // in the endpoint list
	BackendsExcluded atomic.Int64 // of these, the ones that get no traffic
	ReloadsOK        atomic.Int64
	ReloadsFailed    atomic.Int64
	InvalidLists     atomic.Int64 // responses of discovery that were no list
}

// New makes counters for requests of these classes, from 0 on.
func New(classes []string) *Counters {
	c := &Counters{classes: classes}
	for outcome := range c.requests {
		c.requests[outcome] = make([]atomic.Int64, len(classes))
	}
	return c
}

// CountRequest counts a request that has ended, by the index of its class. A class that does not exist is ignored.
func (c *Counters) CountRequest(class int, outcome Outcome) {
	if class < 0 || class >= len(c.classes) || outcome < 0 || outcome >= outcomeCount {
		return
	}
	c.requests[outcome][class].Add(1)
}

// byClass returns the requests of an outcome by the name of their class.
func (c *Counters) byClass(outcome Outcome) map[string]int64 {
	counts := make(map[string]int64, len(c.classes))
	for i, name := range c.classes {
		counts[name] = c.requests[outcome][i].Load()
	}
	return counts
}

// MarshalJSON returns the counters as one JSON object on one line.
func (c *Counters) MarshalJSON() ([]byte, error) {
	text, err := json.Marshal(struct {
		Served           map[string]int64 `json:"served"`
		Rejected         map[string]int64 `json:"refused"`
		Failed           map[string]int64 `json:"failed"`
		Attempts         int64            `json:"attempts"`
		InFlight         int64            `json:"in_flight"`
		BackendsKnown    int64            `json:"backends_known"`
		BackendsExcluded int64            `json:"backends_excluded"`
		ReloadsOK        int64            `json:"reloads_ok"`
		ReloadsFailed    int64            `json:"reloads_failed"`
		InvalidLists     int64            `json:"lists_bad"`
	}{
		Served:           c.byClass(Served),
		Rejected:         c.byClass(Rejected),
		Failed:           c.byClass(Failed),
		Attempts:         c.Attempts.Load(),
		InFlight:         c.InFlight.Load(),
		BackendsKnown:    c.BackendsKnown.Load(),
		BackendsExcluded: c.BackendsExcluded.Load(),
		ReloadsOK:        c.ReloadsOK.Load(),
		ReloadsFailed:    c.ReloadsFailed.Load(),
		InvalidLists:     c.InvalidLists.Load(),
	})
	if err != nil {
		return nil, fmt.Errorf("figures: %w", err)
	}
	return text, nil
}

// totals is what MarshalTotals returns; its keys are in the order of their names.
type totals struct {
	Attempts         int64                `json:"attempts"`
	BackendsExcluded int64                `json:"backends_excluded"`
	BackendsKnown    int64                `json:"backends_known"`
	Failed           map[string]int64     `json:"failed"`
	Goroutines       int                  `json:"goroutines"`
	InFlight         int64                `json:"in_flight"`
	Limits           any                  `json:"limits"`
	InvalidLists     int64                `json:"lists_bad"`
	Rejected         map[string]int64     `json:"refused"`
	ReloadsFailed    int64                `json:"reloads_failed"`
	ReloadsOK        int64                `json:"reloads_ok"`
	Served           map[string]int64     `json:"served"`
	Services         map[string]*Counters `json:"services"`
}

// MarshalTotals returns the sums over several services in the form of one, on one line, with each service's own
// counters and the use of the process's limits beside them. Reloads and invalid lists are those of own.
func MarshalTotals(own *Counters, services map[string]*Counters, limits any) ([]byte, error) {
	t := totals{
		Goroutines:    runtime.NumGoroutine(),
		Limits:        limits,
		InvalidLists:  own.InvalidLists.Load(),
		ReloadsFailed: own.ReloadsFailed.Load(),
		ReloadsOK:     own.ReloadsOK.Load(),
		Failed:        sumByClass(services, Failed),
		Rejected:      sumByClass(services, Rejected),
		Served:        sumByClass(services, Served),
		Services:      services,
	}
	for _, c := range services {
		t.Attempts += c.Attempts.Load()
		t.InFlight += c.InFlight.Load()
		t.BackendsKnown += c.BackendsKnown.Load()
		t.BackendsExcluded += c.BackendsExcluded.Load()
	}
	text, err := json.Marshal(t)
	if err != nil {
		return nil, fmt.Errorf("figures: %w", err)
	}
	return text, nil
}

// sumByClass adds up the requests of an outcome over services, by the name of their class.
func sumByClass(services map[string]*Counters, outcome Outcome) map[string]int64 {
	sums := map[string]int64{}
	for _, c := range services {
		for i, name := range c.classes {
			sums[name] += c.requests[outcome][i].Load()
		}
	}
	return sums
}
