package experiment

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Difference is how a variant stands to another over the same seeds.
type Difference struct {
	Mean float64 `json:"mean"`
	Low  float64 `json:"low"`  // of the interval that holds the true mean 95 times in 100
	High float64 `json:"high"` // likewise
	N    int     `json:"n"`    // seeds
}

// Paired gives the mean difference of b from a, seed by seed, with its 95 % confidence interval by Student's t. A
// single seed has no interval: it is infinite, as it should be.
func Paired(a, b []float64) (Difference, error) {
	if len(a) != len(b) || len(a) == 0 {
		return Difference{}, fmt.Errorf("%d runs against %d: each seed must have both", len(a), len(b))
	}
	d := make([]float64, len(a))
	for i := range a {
		d[i] = b[i] - a[i]
	}
	mean := stat.Mean(d, nil)
	if len(d) == 1 {
		return Difference{mean, math.Inf(-1), math.Inf(1), 1}, nil
	}
	n := float64(len(d))
	half := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975) * stat.StdDev(d, nil) / math.Sqrt(n)
	return Difference{mean, mean - half, mean + half, len(d)}, nil
}

// Text tells the difference and whether it is one.
func (d Difference) Text() string {
	if d.N < 2 {
		return fmt.Sprintf("%+.3f (one seed tells nothing of chance)", d.Mean)
	}
	says := "no difference shown"
	switch {
	case d.Low > 0:
		says = "better"
	case d.High < 0:
		says = "worse"
	}
	return fmt.Sprintf("%+.3f [%+.3f, %+.3f] %s", d.Mean, d.Low, d.High, says)
}
