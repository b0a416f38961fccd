package checker

import (
	"time"

	"lapisspread/internal/faultlab/model"
)

// Full service is this share of what a twin run without the disturbance serves in a second, held for that long.
const (
	FullShare = 0.95
	FullFor   = 5 * time.Second
)

// Recovery is how a run came back from a disturbance, beside its twin: the same seed without it. Times are in
// milliseconds.
type Recovery struct {
	Back        bool    `json:"back"`            // to full service, and it held
	FromStrike  float64 `json:"from_strike_ms"`  // until then; meaningless if it is not back
	FromStart   float64 `json:"from_start_ms"`   // likewise, from the last process's start on; 0 if it was back by then
	FirstSecond float64 `json:"first_second"`    // worth served in the first whole second after that start, over the twin's
	Worst       float64 `json:"worst"`           // the least of the five seconds from there on, over the twin's
	LostSeconds float64 `json:"lost_seconds"`    // worth that the twin has served beyond it from the strike on, in seconds of the twin's mean
	Refused     int     `json:"refused"`         // after that start
	Calls       float64 `json:"calls_peak"`      // the most in a second from the strike on, over the twin's mean second;
	Opened      float64 `json:"opened_peak"`     // 0 where the twin has none
	Probes      float64 `json:"probes_peak"`     //
	Attempts    float64 `json:"attempts_peak"`   // likewise at the node where it is the most
	CallsMost   int     `json:"calls_most"`      // the most in a second, as a number
	Broken      int     `json:"rules_broken"`    //
	Stale       int     `json:"stale_decisions"` // attempts at nodes that the proxy had been told to leave
}

// Recover compares a run with its twin. The strike is when the disturbance began, start when the last process came back.
func Recover(run, twin *Verdict, strike, start time.Duration) Recovery {
	r := Recovery{Broken: run.RulesBroken, Stale: run.ByRule[Drain], Worst: 1}
	perSecond := int(time.Second / Slice)
	most := min(len(run.Tenths), len(twin.Tenths)) - perSecond
	sliding := func(v *Verdict, at int) float64 {
		sum := 0.0
		for _, w := range v.Tenths[at : at+perSecond] {
			sum += w
		}
		return sum
	}
	held := 0
	for at := int((strike + Slice - 1) / Slice); at <= most; at++ {
		if sliding(run, at) < FullShare*sliding(twin, at) {
			held, r.Back = 0, false
			continue
		}
		if held++; held == int(FullFor/Slice) {
			r.Back = true
			back := time.Duration(at+1-held) * Slice
			r.FromStrike, r.FromStart = model.Millis(back-strike), max(0, model.Millis(back-start))
			break
		}
	}
	first := int((start + time.Second - 1) / time.Second)
	ratio := func(second int) float64 {
		if second >= min(len(run.Seconds), len(twin.Seconds)) || twin.Seconds[second].Served == 0 {
			return 1
		}
		return run.Seconds[second].Served / twin.Seconds[second].Served
	}
	r.FirstSecond = ratio(first)
	for s := first; s < first+int(FullFor/time.Second); s++ {
		r.Worst = min(r.Worst, ratio(s))
	}
	lost, mean := 0.0, 0.0
	for s := range min(len(run.Seconds), len(twin.Seconds)) {
		mean += twin.Seconds[s].Served / float64(len(twin.Seconds))
		if s >= int(strike/time.Second) {
			lost += twin.Seconds[s].Served - run.Seconds[s].Served
		}
		if s >= first {
			r.Refused += run.Seconds[s].Refused
		}
	}
	if mean > 0 {
		r.LostSeconds = lost / mean
	}
	from := int(strike / time.Second)
	of := func(v *Verdict, what func(Second) int) []int {
		var out []int
		for _, s := range v.Seconds {
			out = append(out, what(s))
		}
		return out
	}
	called := func(s Second) int { return s.Called }
	r.Calls, r.CallsMost = peak(of(run, called), of(twin, called), from)
	opened := func(s Second) int { return s.Opened }
	r.Opened, _ = peak(of(run, opened), of(twin, opened), from)
	probes := func(s Second) int { return s.Probes }
	r.Probes, _ = peak(of(run, probes), of(twin, probes), from)
	for i := range min(len(run.Nodes), len(twin.Nodes)) {
		p, _ := peak(run.Nodes[i].PerSecond, twin.Nodes[i].PerSecond, from)
		r.Attempts = max(r.Attempts, p)
	}
	return r
}

// RecoverAlone tells, of a run without a twin, how long after a strike full service returned and held: to whole seconds, by the part
// of what was asked for in a second that was served, over that part before the strike. A second in which nothing was asked holds.
func RecoverAlone(v *Verdict, strike time.Duration) (after time.Duration, back bool) {
	from := int(strike / time.Second)
	asked, served := 0.0, 0.0
	for _, s := range v.Seconds[:min(from, len(v.Seconds))] {
		asked, served = asked+s.Asked, served+s.Served
	}
	if asked == 0 {
		return 0, false
	}
	held := 0
	for i := from; i < len(v.Seconds); i++ {
		if s := v.Seconds[i]; s.Served < FullShare*served/asked*s.Asked {
			held = 0
			continue
		}
		if held++; held == int(FullFor/time.Second) {
			return max(0, time.Duration(i+1-held)*time.Second-strike), true
		}
	}
	return 0, false
}

// peak is the most in a second from one on, over the twin's mean of the same seconds, and as a number.
func peak(run, twin []int, from int) (over float64, most int) {
	sum, n := 0, 0
	for s := from; s < min(len(run), len(twin)); s++ {
		most = max(most, run[s])
		sum, n = sum+twin[s], n+1
	}
	if sum == 0 {
		return 0, most
	}
	return float64(most) * float64(n) / float64(sum), most
}
