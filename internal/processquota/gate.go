package processquota

import (
	"fmt"
	"math"
	"slices"
)

// ReserveRatio is the part of a service's capacity in which a Gate admits by density.
const ReserveRatio = 0.15

// Gate decides which requests a service admits as its part of the process's capacity runs short: those of the classes
// with the most value for the time that they hold a unit (their density), of tenants that use less than their part.
//
// Whatever arrives in whatever order:
//
//   - While more than the reserve is free, every request is admitted.
//   - Within the reserve, the class of the greatest density is admitted to the last unit, for each tenant below its
//     part; the lower a class's density, the earlier it is rejected.
//   - Within the reserve, a tenant that uses its part is rejected if another tenant has requests in flight. A tenant
//     that is alone may use all.
//   - A tenant below its part, with the class of the greatest density, is rejected only if nothing is free.
//
// It is not safe for concurrent use.
type Gate struct {
	ranks   []float64 // by class: the part of the other densities that are lower, 1 for the greatest
	weights []float64 // by tenant
	inUse   []int64   // by tenant: requests in flight
}

// GateClass is what a Gate knows of a class of requests.
type GateClass struct {
	PriorityWeight float64 // of an answer in time, in any unit
	HoldTime       float64 // how long a request holds its unit, in any unit; its latency objective will do
}

// NewGate returns a gate. weights are the parts of the tenants; a weight of 0 counts as the mean of the others. Its
// error names the invalid class or tenant by its index.
func NewGate(classes []GateClass, weights []float64) (*Gate, error) {
	densities := make([]float64, len(classes))
	for i, c := range classes {
		if !(c.PriorityWeight >= 0) || !(c.HoldTime > 0) || math.IsInf(c.PriorityWeight+c.HoldTime, 0) {
			return nil, fmt.Errorf("class %d: worth %v, holds %v", i, c.PriorityWeight, c.HoldTime)
		}
		densities[i] = c.PriorityWeight / c.HoldTime
	}
	tenantWeights, err := fillWeights(weights)
	if err != nil {
		return nil, err
	}
	return &Gate{
		ranks:   ranks(densities),
		weights: tenantWeights,
		inUse:   make([]int64, len(tenantWeights)),
	}, nil
}

// fillWeights replaces weights of 0 by the mean of the others. Without any tenant there is one.
func fillWeights(weights []float64) ([]float64, error) {
	sum := 0.0
	given := 0
	for i, w := range weights {
		if !(w >= 0) || math.IsInf(w, 0) {
			return nil, fmt.Errorf("tenant %d: weight %v", i, w)
		}
		if w > 0 {
			sum += w
			given++
		}
	}
	if len(weights) == 0 {
		return []float64{defaultWeight}, nil
	}
	mean := float64(defaultWeight)
	if given > 0 {
		mean = sum / float64(given)
	}
	filled := slices.Clone(weights)
	for i, w := range filled {
		if w == 0 {
			filled[i] = mean
		}
	}
	return filled, nil
}

// ranks returns each density's place among all different ones, from 0 for the lowest to 1 for the greatest.
func ranks(densities []float64) []float64 {
	distinct := slices.Compact(slices.Sorted(slices.Values(densities)))
	out := make([]float64, 0, len(densities))
	for _, density := range densities {
		rank := 1.0
		if len(distinct) > 1 {
			index, _ := slices.BinarySearch(distinct, density)
			rank = float64(index) / float64(len(distinct)-1)
		}
		out = append(out, rank)
	}
	return out
}

// Admits reports whether a request may have one of the units that the service has available, of used+available units
// that it may hold now. It changes nothing: call Enter for a request that is admitted.
func (g *Gate) Admits(used, available int64, class, tenant int) bool {
	if available <= 0 {
		return false
	}
	capacity := float64(used + available)
	reserve := ReserveRatio * capacity
	if float64(available) > reserve {
		return true
	}
	// At the last unit of the reserve only the greatest density is admitted.
	requiredRank := min(1-float64(available-1)/reserve, 1)
	if class < 0 || class >= len(g.ranks) || g.ranks[class] < requiredRank {
		return false
	}
	own := g.tenantIndex(tenant)
	activeWeight := g.weights[own]
	othersActive := false
	for t, inUse := range g.inUse {
		if t != own && inUse > 0 {
			activeWeight += g.weights[t]
			othersActive = true
		}
	}
	return !othersActive || float64(g.inUse[own]) < g.weights[own]/activeWeight*capacity
}

// Enter counts a request that was admitted; Leave must follow when it ends.
func (g *Gate) Enter(tenant int) { g.inUse[g.tenantIndex(tenant)]++ }

// Leave counts a request that has ended.
func (g *Gate) Leave(tenant int) {
	if t := g.tenantIndex(tenant); g.inUse[t] > 0 {
		g.inUse[t]--
	}
}

// tenantIndex maps an unknown tenant to the first.
func (g *Gate) tenantIndex(tenant int) int {
	if tenant < 0 || tenant >= len(g.inUse) {
		return 0
	}
	return tenant
}
