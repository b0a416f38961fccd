package checker

import (
	"cmp"
	"slices"
	"time"
)

// Prices are taken off the result, in points of 1.
type Prices struct{ LateFail, CrossZone, Waste, Probe, HeldBack float64 }

// UsualPrices are those that the operators publish.
var UsualPrices = Prices{LateFail: 0.05, CrossZone: 0.03, Waste: 0.02, Probe: 0.0091, HeldBack: 0.3}

// Weights of the parts of the result.
const (
	weightWhole  = 0.55
	weightWindow = 0.15
	weightClass  = 0.20
	weightTenant = 0.10
	worstOver    = 10 // seconds
)

// Worth is how well a run served, 0 to 1 but for what prices take off.
type Worth struct {
	G           float64 `json:"g"`
	Whole       float64 `json:"whole"`
	WorstWindow float64 `json:"worst_10s"`
	WorstClass  float64 `json:"worst_class"`
	WorstTenant float64 `json:"worst_tenant"`
	Prices      float64 `json:"prices"`
	LateFail    float64 `json:"late_fail"`
	CrossZone   float64 `json:"cross_zone"`
	Waste       float64 `json:"waste"`
	Probes      float64 `json:"probes"`
	HeldBack    float64 `json:"held_back"`
}

// ClassVerdict is a class or a tenant in a verdict. Times are in milliseconds, of answers that served.
type ClassVerdict struct {
	Name     string  `json:"name"`
	Requests int     `json:"requests"`
	Share    float64 `json:"share"` // of the worth asked for
	OK       int     `json:"ok"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	Taken    int     `json:"taken,omitempty"`    // by proxies: first tries and what clients sent again
	Attempts int     `json:"attempts,omitempty"` // of proxies at nodes,
	Repeats  int     `json:"repeats,omitempty"`  // and of these the further ones of a request
	P50      float64 `json:"p50_ms,omitempty"`
	P90      float64 `json:"p90_ms,omitempty"`
	P99      float64 `json:"p99_ms,omitempty"`
	P999     float64 `json:"p999_ms,omitempty"`
	Max      float64 `json:"max_ms,omitempty"`
}

// Second is one second of a run.
type Second struct {
	Asked    float64 `json:"asked"`  // worth
	Served   float64 `json:"served"` // worth
	OK       int     `json:"ok"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	Attempts int     `json:"attempts"`
	Probes   int     `json:"probes"`
	Opened   int     `json:"opened"` // connections, at nodes
	Called   int     `json:"called"` // the register, on sockets
}

// Slice is the span of one of Verdict's Tenths.
const Slice = 100 * time.Millisecond

// NodeVerdict is a node in a verdict.
type NodeVerdict struct {
	Attempts  int   `json:"attempts"`
	Runs      int   `json:"runs"`
	Answers   int   `json:"answers"`
	PerSecond []int `json:"per_second,omitempty"`
}

// Verdict is the judgement of a run.
type Verdict struct {
	RulesBroken int            `json:"rules_broken"`
	ByRule      map[Rule]int   `json:"by_rule"`
	Breaches    []Breach       `json:"breaches"`
	Worth       Worth          `json:"worth"`
	Classes     []ClassVerdict `json:"classes"`
	Tenants     []ClassVerdict `json:"tenants"`
	Seconds     []Second       `json:"seconds"`
	Tenths      []float64      `json:"served_by_tenth"` // worth served of what came in each tenth of a second
	Nodes       []NodeVerdict  `json:"nodes"`

	FirstTries int `json:"first_tries"`
	Taken      int `json:"taken"`
	OK         int `json:"ok"`
	Refused    int `json:"refused"`
	Failed     int `json:"failed"`
	TimedOut   int `json:"timed_out"`
	Departed   int `json:"departed"`
	Excused    int `json:"excused"` // lost with a proxy that was killed
	Attempts   int `json:"attempts"`
	Probes     int `json:"probes"`
	Unjudged   int `json:"unjudged"` // came so late that the request was forgotten
	PeakOpen   int `json:"peak_open"`
}

// Verdict judges what the ledger has seen so far. Call Finish before it at the end of a run.
func (l *Ledger) Verdict(p Prices) Verdict {
	v := Verdict{ByRule: map[Rule]int{}, Breaches: slices.Clone(l.breaches), FirstTries: l.firstTries, Taken: l.taken, OK: l.ok,
		Refused: l.refused, Failed: l.failed, TimedOut: l.timedOut, Departed: l.departed, Excused: l.excused, Attempts: l.attempts,
		Probes: l.probes, Unjudged: l.unjudged, PeakOpen: l.peak}
	for _, r := range AllRules {
		v.ByRule[r] = l.counts[r]
		v.RulesBroken += l.counts[r]
	}
	slices.SortStableFunc(v.Breaches, func(a, b Breach) int { return cmp.Compare(a.AtMs, b.AtMs) })
	if v.Breaches == nil {
		v.Breaches = []Breach{}
	}
	w := Worth{Whole: 1, WorstClass: 1, WorstTenant: 1, WorstWindow: 1}
	if l.asked > 0 {
		w.Whole = l.served / l.asked
		w.LateFail = p.LateFail * l.lateFail / l.asked
		w.HeldBack = p.HeldBack * l.heldBack / l.asked
	}
	for i := range l.classes {
		w.WorstClass = min(w.WorstClass, l.classes[i].Share())
	}
	for i := range l.tenants {
		w.WorstTenant = min(w.WorstTenant, l.tenants[i].Share())
	}
	w.WorstWindow = l.worstWindow()
	if n := float64(l.firstTries); n > 0 {
		w.CrossZone = p.CrossZone * float64(l.crossing) / n
		w.Probes = p.Probe * float64(l.probes) / n
	}
	if l.workAsked > 0 {
		w.Waste = p.Waste * l.workWasted / l.workAsked
	}
	w.Prices = w.LateFail + w.CrossZone + w.Waste + w.Probes + w.HeldBack
	w.G = weightWhole*w.Whole + weightWindow*w.WorstWindow + weightClass*w.WorstClass + weightTenant*w.WorstTenant - w.Prices
	v.Worth = w
	for i := range l.classes {
		t, h := &l.classes[i], l.latency[i]
		ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		c := ClassVerdict{Name: l.set.Classes[i].Name, Requests: t.Requests, Share: t.Share(), OK: t.OK, Refused: t.Refused, Failed: t.Failed,
			Taken: l.sent[i].taken, Attempts: l.sent[i].attempts, Repeats: l.sent[i].repeats}
		if h.TotalCount() > 0 {
			c.P50, c.P90, c.P99, c.P999, c.Max = ms(50), ms(90), ms(99), ms(99.9), float64(h.Max())/1000
		}
		v.Classes = append(v.Classes, c)
	}
	for i := range l.tenants {
		t := &l.tenants[i]
		v.Tenants = append(v.Tenants, ClassVerdict{Name: l.set.Tenants[i].Name, Requests: t.Requests, Share: t.Share(), OK: t.OK})
	}
	for _, s := range l.windows {
		v.Seconds = append(v.Seconds, Second{s.asked, s.served, s.ok, s.ref, s.fail, s.attempts, s.probes, s.opened, s.called})
	}
	v.Tenths = slices.Clone(l.tenths)
	for i := range l.nodes {
		n := &l.nodes[i]
		v.Nodes = append(v.Nodes, NodeVerdict{n.Attempts, n.Runs, n.Made, slices.Clone(n.PerSecond)})
	}
	return v
}

// worstWindow is the least share served of any ten seconds, or of the whole of a shorter run.
func (l *Ledger) worstWindow() float64 {
	worst := 1.0
	n := len(l.windows)
	for n > 0 && l.windows[n-1].asked == 0 {
		n--
	}
	for from := 0; from == 0 || from+worstOver <= n; from++ {
		var asked, served float64
		for i := from; i < min(n, from+worstOver); i++ {
			asked += l.windows[i].asked
			served += l.windows[i].served
		}
		if asked > 0 {
			worst = min(worst, served/asked)
		}
	}
	return worst
}

// Broken are the rules that were broken, in their usual order.
func (v *Verdict) Broken() []Rule {
	var out []Rule
	for _, r := range AllRules {
		if v.ByRule[r] > 0 {
			out = append(out, r)
		}
	}
	return out
}

// Ran tells how long the run has been watched, in whole seconds.
func (v *Verdict) Ran() time.Duration { return time.Duration(len(v.Seconds)) * time.Second }
