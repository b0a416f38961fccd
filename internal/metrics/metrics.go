// Package metrics holds the counters of a proxy that the admin command INFO shows. Counting and reading take no lock,
// so the counters of one reading may differ by the events that happened while they were read.
package metrics

import (
	"encoding/json"
	"fmt"
	"runtime"
	"sync/atomic"
)

// Outcome is the result of a request for its client.
type Outcome int

// The outcomes of a request.
const (
	Served   Outcome = iota // the client got a successful response
	Rejected                // the request was rejected, for example because of a limit
	Failed                  // any other result
	outcomeCount
)

// Counters holds the counters of one service, or of a process with a single service. It is safe for concurrent use: the
// exported counters may be set and added to by any goroutine.
type Counters struct {
	classes  []string
	requests [outcomeCount][]atomic.Int64 // by outcome and index of the class

	Attempts         atomic.Int64 // attempts that were sent completely to a backend
	InFlight         atomic.Int64 // requests that have not ended
	BackendsKnown    atomic.Int64 // backends in the endpoint list
	BackendsExcluded atomic.Int64 // backends in the endpoint list that get no traffic
	ReloadsOK        atomic.Int64 // successful reloads of the configuration
	ReloadsFailed    atomic.Int64
	InvalidLists     atomic.Int64 // responses of discovery that were not a valid endpoint list
	ClientsLeft      atomic.Int64 // requests whose client left before it had an answer
	BrokenResponses  atomic.Int64 // streamed responses that broke off after their first byte
}

// New returns counters, all 0, for requests of the given classes.
func New(classes []string) *Counters {
	c := &Counters{classes: classes}
	for outcome := range c.requests {
		c.requests[outcome] = make([]atomic.Int64, len(classes))
	}
	return c
}

// CountRequest counts a request that has ended. class is the index of the request's class in the argument of New; a
// class or outcome that does not exist is ignored.
func (c *Counters) CountRequest(class int, outcome Outcome) {
	if class < 0 || class >= len(c.classes) || outcome < 0 || outcome >= outcomeCount {
		return
	}
	c.requests[outcome][class].Add(1)
}

// byClass returns the number of requests with an outcome, by name of their class.
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
		ClientsLeft      int64            `json:"clients_left,omitempty"`
		BrokenResponses  int64            `json:"answers_broken,omitempty"`
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
		ClientsLeft:      c.ClientsLeft.Load(),
		BrokenResponses:  c.BrokenResponses.Load(),
	})
	if err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	return text, nil
}

// totals is the object that MarshalTotals encodes. Its fields are in the order of their JSON keys.
type totals struct {
	BrokenResponses  int64                `json:"answers_broken,omitempty"`
	Attempts         int64                `json:"attempts"`
	BackendsExcluded int64                `json:"backends_excluded"`
	BackendsKnown    int64                `json:"backends_known"`
	ClientsLeft      int64                `json:"clients_left,omitempty"`
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

// MarshalTotals returns one JSON object on one line. It has the keys of Counters with the sums over all services, and
// in addition each service's own counters and the use of the process's limits. The counters of reloads and invalid
// lists are those of the process.
func MarshalTotals(process *Counters, services map[string]*Counters, limits any) ([]byte, error) {
	t := totals{
		Goroutines:    runtime.NumGoroutine(),
		Limits:        limits,
		InvalidLists:  process.InvalidLists.Load(),
		ReloadsFailed: process.ReloadsFailed.Load(),
		ReloadsOK:     process.ReloadsOK.Load(),
		Failed:        sumByClass(services, Failed),
		Rejected:      sumByClass(services, Rejected),
		Served:        sumByClass(services, Served),
		Services:      services,
	}
	for _, c := range services {
		t.Attempts += c.Attempts.Load()
		t.InFlight += c.InFlight.Load()
		t.ClientsLeft += c.ClientsLeft.Load()
		t.BrokenResponses += c.BrokenResponses.Load()
		t.BackendsKnown += c.BackendsKnown.Load()
		t.BackendsExcluded += c.BackendsExcluded.Load()
	}
	text, err := json.Marshal(t)
	if err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	return text, nil
}

// sumByClass returns the number of requests with an outcome, summed over all services, by name of their class.
func sumByClass(services map[string]*Counters, outcome Outcome) map[string]int64 {
	sums := map[string]int64{}
	for _, c := range services {
		for i, name := range c.classes {
			sums[name] += c.requests[outcome][i].Load()
		}
	}
	return sums
}
