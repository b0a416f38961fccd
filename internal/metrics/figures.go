// Package metrics counts what a proxy does. Whoever counts takes no lock, and whoever reads waits for nobody:
// the figures of one reading may be some events apart from each other.
package metrics

import (
	"encoding/json"
	"fmt"
	"runtime"
	"sync/atomic"
)

// Outcome is how a request ended.
type Outcome int

// The outcomeCount.
const (
	Served Outcome = iota
	Rejected
	Failed
	outcomeCount
)

// Counters are one process's, from 0 on.
type Counters struct {
	classes  []string
	requests [outcomeCount][]atomic.Int64 // by class

	Attempts         atomic.Int64 // written whole to backends
	InFlight         atomic.Int64 // requests taken and not yet ended
	BackendsKnown    atomic.Int64 // in the list
	BackendsExcluded atomic.Int64 // of these, the ones that are avoided
	ReloadsOK        atomic.Int64
	ReloadsFailed    atomic.Int64
	InvalidLists     atomic.Int64 // answers of discovery that were no list
}

// New makes figures for requests of these classes.
func New(classes []string) *Counters {
	f := &Counters{classes: classes}
	for i := range f.requests {
		f.requests[i] = make([]atomic.Int64, len(classes))
	}
	return f
}

// CountRequest counts a request of a class.
func (f *Counters) CountRequest(class int, o Outcome) {
	if class >= 0 && class < len(f.classes) && o >= 0 && o < outcomeCount {
		f.requests[o][class].Add(1)
	}
}

// MarshalJSON gives the figures as one object, on one line.
func (f *Counters) MarshalJSON() ([]byte, error) {
	byClass := func(o Outcome) map[string]int64 {
		m := make(map[string]int64, len(f.classes))
		for i, name := range f.classes {
			m[name] = f.requests[o][i].Load()
		}
		return m
	}
	text, err := json.Marshal(struct {
		Served           map[string]int64 `json:"served"`
		Refused          map[string]int64 `json:"refused"`
		Failed           map[string]int64 `json:"failed"`
		Attempts         int64            `json:"attempts"`
		InFlight         int64            `json:"in_flight"`
		BackendsKnown    int64            `json:"backends_known"`
		BackendsExcluded int64            `json:"backends_excluded"`
		ReloadsOK        int64            `json:"reloads_ok"`
		ReloadsFailed    int64            `json:"reloads_failed"`
		ListsBad         int64            `json:"lists_bad"`
	}{byClass(Served), byClass(Rejected), byClass(Failed), f.Attempts.Load(), f.InFlight.Load(), f.BackendsKnown.Load(),
		f.BackendsExcluded.Load(), f.ReloadsOK.Load(), f.ReloadsFailed.Load(), f.InvalidLists.Load()})
	if err != nil {
		return nil, fmt.Errorf("figures: %w", err)
	}
	return text, nil
}

// MarshalTotals gives the figures of several services: their sums in the form of one, and beside them each service's own and
// how they share the process's limits. Reloads and bad lists are the process's.
func MarshalTotals(own *Counters, services map[string]*Counters, limits map[string]any) ([]byte, error) {
	sums := map[string]any{"reloads_ok": own.ReloadsOK.Load(), "reloads_failed": own.ReloadsFailed.Load(), "lists_bad": own.InvalidLists.Load(), "services": services, "limits": limits,
		"goroutines": runtime.NumGoroutine()}
	for o, name := range map[Outcome]string{Served: "served", Rejected: "refused", Failed: "failed"} {
		by := map[string]int64{}
		for _, f := range services {
			for i, class := range f.classes {
				by[class] += f.requests[o][i].Load()
			}
		}
		sums[name] = by
	}
	var attempts, inFlight, known, excluded int64
	for _, f := range services {
		attempts += f.Attempts.Load()
		inFlight += f.InFlight.Load()
		known += f.BackendsKnown.Load()
		excluded += f.BackendsExcluded.Load()
	}
	sums["attempts"], sums["in_flight"], sums["backends_known"], sums["backends_excluded"] = attempts, inFlight, known, excluded
	text, err := json.Marshal(sums)
	if err != nil {
		return nil, fmt.Errorf("figures: %w", err)
	}
	return text, nil
}
