// Package report writes down what a run has come to: a summary for programs, a page for people, and the difference
// of two runs.
package report

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"lapisspread/internal/faultlab/checker"
	"lapisspread/internal/faultlab/model"
)

// Schema is the version of the summary's form. It rises when a field changes its meaning or goes; new fields may
// come without that.
const Schema = 1

// Summary is the form of summary.json. Times are in seconds unless the name says otherwise.
type Summary struct {
	SchemaVersion int     `json:"schema"`
	Name          string  `json:"name"`
	Driver        string  `json:"driver"` // "run" or "simulate"
	Policy        string  `json:"policy"`
	Seed          uint64  `json:"seed"`
	Duration      float64 `json:"duration_s"`
	Proxies       int     `json:"proxies"`
	Nodes         int     `json:"nodes"`
	Rate          float64 `json:"rate"`
	Partial       bool    `json:"partial"` // it was broken off
	Scored        bool    `json:"scored"`  // false: the machine was too slow for it to count
	Late          string  `json:"late,omitempty"`
	Faults        []Fault `json:"faults"`
	// From the first fault on until full service is back, to whole seconds: see judge.RecoverAlone. Left out where there is no
	// fault, or it is not back by the end.
	ComebackMs *float64 `json:"comeback_ms,omitempty"`
	Stale      int      `json:"stale_decisions"` // attempts at nodes that the proxy had been told to leave
	checker.Verdict
	// Of budgets over the whole fleet, from the nodes' counts; left out where there are none.
	OverWhole *int                     `json:"over_whole,omitempty"`
	Used      *float64                 `json:"used,omitempty"`
	Spending  *checker.SpendingVerdict `json:"spending,omitempty"`
	Usage     []Usage                  `json:"usage,omitempty"`    // on sockets: what each proxy took of the machine
	Problems  []string                 `json:"problems,omitempty"` // what went wrong beside the rules
}

// Fault is a span in which something was wrong.
type Fault struct {
	Kind string  `json:"kind"`
	From float64 `json:"from_s"`
	To   float64 `json:"to_s"`
}

// Usage is what a proxy took of the machine.
type Usage struct {
	CPU   float64 `json:"cpu_s"`
	RSSMB float64 `json:"max_rss_mb"`
	// Before the load, and some time after it. Goroutines are told by proxies with several services only.
	FilesBefore      int `json:"descriptors_before"`
	FilesAfter       int `json:"descriptors_after"`
	GoroutinesBefore int `json:"goroutines_before,omitempty"`
	GoroutinesAfter  int `json:"goroutines_after,omitempty"`
}

// PerRequest is the CPU time of all proxies for one request taken, in microseconds; 0 where it is not known.
func (s *Summary) PerRequest() float64 {
	var cpu float64
	for _, u := range s.Usage {
		cpu += u.CPU
	}
	return cpu * 1e6 / float64(max(1, s.Taken))
}

// Summarise makes the summary of a run.
func Summarise(name, driver, policy string, s *model.Spec, v checker.Verdict, steps []model.Step) *Summary {
	sum := &Summary{SchemaVersion: Schema, Name: name, Driver: driver, Policy: policy, Seed: s.Seed, Duration: s.Duration.Seconds(),
		Proxies: s.Proxies, Nodes: s.Nodes, Rate: s.Load.Rate, Scored: true, Stale: v.ByRule[checker.Drain], Verdict: v, Faults: []Fault{}}
	strike := s.Duration
	for _, f := range s.Faults {
		strike = min(strike, f.At)
	}
	if after, back := checker.RecoverAlone(&v, strike); back && len(s.Faults) > 0 {
		ms := model.Millis(after)
		sum.ComebackMs = &ms
	}
	for _, f := range s.Faults {
		to := f.At + f.For
		if f.For == 0 { // one that ends by itself: as long as it strikes
			to = f.At + time.Second
			for _, st := range steps {
				if st.Op == model.OpStart || st.Op == model.OpKillProxy || st.Op == model.OpUpgradeProxy {
					to = max(to, st.At)
				}
			}
		}
		sum.Faults = append(sum.Faults, Fault{f.Kind, f.At.Seconds(), to.Seconds()})
	}
	return sum
}

// Spent adds how the budgets of the fleet were spent, if it has any, and the faults that were drawn meanwhile.
func (s *Summary) Spent(v *checker.SpendingVerdict, drawn []model.Fault) {
	if v == nil {
		return
	}
	s.OverWhole, s.Used, s.Spending = &v.OverWhole, &v.Used, v
	for _, f := range drawn {
		s.Faults = append(s.Faults, Fault{f.Kind, f.At.Seconds(), (f.At + f.For).Seconds()})
	}
}

// Read reads a summary's file.
func Read(path string) (*Summary, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the summary: %w", err)
	}
	s := &Summary{}
	if err := json.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if s.SchemaVersion != Schema {
		return nil, fmt.Errorf("%s: schema: %d, this program reads %d", path, s.SchemaVersion, Schema)
	}
	return s, nil
}

// Write writes a summary's file.
func (s *Summary) Write(path string) error {
	text, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return fmt.Errorf("the summary: %w", err)
	}
	if err := os.WriteFile(path, append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("the summary: %w", err)
	}
	return nil
}
