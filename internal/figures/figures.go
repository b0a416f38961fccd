// Package figures counts what a proxy does. Whoever counts takes no lock, and whoever reads waits for nobody:
// the figures of one reading may be some events apart from each other.
package figures

import (
	"encoding/json"
	"fmt"
	"sync/atomic"
)

// Outcome is how a request ended.
type Outcome int

// The outcomes.
const (
	Served Outcome = iota
	Refused
	Failed
	outcomes
)

// Figures are one process's, from 0 on.
type Figures struct {
	classes []string
	ended   [outcomes][]atomic.Int64 // by class

	Attempts         atomic.Int64 // written whole to backends
	InFlight         atomic.Int64 // requests taken and not yet ended
	BackendsKnown    atomic.Int64 // in the list
	BackendsExcluded atomic.Int64 // of these, the ones that are avoided
	ReloadsOK        atomic.Int64
	ReloadsFailed    atomic.Int64
}

// New makes figures for requests of these classes.
func New(classes []string) *Figures {
	f := &Figures{classes: classes}
	for i := range f.ended {
		f.ended[i] = make([]atomic.Int64, len(classes))
	}
	return f
}

// Ended counts a request of a class.
func (f *Figures) Ended(class int, o Outcome) {
	if class >= 0 && class < len(f.classes) && o >= 0 && o < outcomes {
		f.ended[o][class].Add(1)
	}
}

// MarshalJSON gives the figures as one object, on one line.
func (f *Figures) MarshalJSON() ([]byte, error) {
	byClass := func(o Outcome) map[string]int64 {
		m := make(map[string]int64, len(f.classes))
		for i, name := range f.classes {
			m[name] = f.ended[o][i].Load()
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
	}{byClass(Served), byClass(Refused), byClass(Failed), f.Attempts.Load(), f.InFlight.Load(), f.BackendsKnown.Load(),
		f.BackendsExcluded.Load(), f.ReloadsOK.Load(), f.ReloadsFailed.Load()})
	if err != nil {
		return nil, fmt.Errorf("figures: %w", err)
	}
	return text, nil
}
