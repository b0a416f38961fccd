package calibrate

import (
	"fmt"
	"strings"
)

// String returns a table of both estimators with one row per decile: the number of attempts, the mean estimate
// ("marked"), the observed fraction of unchanged servers ("right") and the bias ("off"). A "tenth" is a decile, "plain"
// is the baseline and "view" is package staleness.
func (r *Result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-9s %9s %7s %7s %7s   %9s %7s %7s %7s\n",
		"tenth", "attempts", "marked", "right", "off", "plain: n", "marked", "right", "off")
	for i, estimate := range r.Estimate.Deciles {
		low := float64(i) / deciles
		high := float64(i+1) / deciles
		fmt.Fprintf(&b, "%.1f-%.1f   %s   %s\n", low, high, estimate.columns(), r.Baseline.Deciles[i].columns())
	}
	top := r.SilentWatch.Deciles[deciles-1]
	fmt.Fprintf(&b, "silent watch: %d attempts estimated at .9 and above, off %+.4f; worst tenth %.3f\n",
		top.Attempts, top.Bias(), r.SilentWatch.WorstBias())
	r.writeScore(&b, "view", &r.Estimate)
	r.writeScore(&b, "plain", &r.Baseline)
	fmt.Fprintf(&b, "%d attempts, %d checks of a known age, %d of an unknown age\n",
		r.Attempts, r.Estimate.Ages, r.UnknownAges)
	return b.String()
}

func (d Decile) columns() string {
	n := float64(max(1, d.Attempts))
	return fmt.Sprintf("%9d %7.3f %7.3f %+7.3f", d.Attempts, d.EstimateSum/n, float64(d.Unchanged)/n, d.Bias())
}

func (r *Result) writeScore(b *strings.Builder, name string, s *Score) {
	fmt.Fprintf(b, "%-6s worst tenth %.3f, Brier %.5f, bound holds %.5f ",
		name, s.WorstBias(), s.BrierSum/float64(max(1, r.Attempts)), s.Coverage())
	fmt.Fprintf(b, "(without stale answers %.5f, missed changes %.5f), ",
		s.CoverageWithoutStaleAnswers(), s.CoverageOfMissed())
	fmt.Fprintf(b, "median bound/age %.2f\n", s.MedianRatio())
}
