package processquota

import (
	"fmt"
	"math"
	"slices"
)

// ReserveRatio is the fraction of a service's capacity that is its reserve. When no more than the reserve is free, a
// Gate admits requests by density.
const ReserveRatio = 0.15

// Gate decides which requests a service admits when its share of the process's capacity is nearly used up. It prefers
// the classes of the highest density, which is a class's priority weight divided by its hold time, and the tenants that
// use less than their share.
//
// For any sequence of requests:
//
//   - While more than the reserve (ReserveRatio) is free, every request is admitted.
//   - Within the reserve, the class of the highest density is admitted up to the last unit, for each tenant below its
//     share. The lower the density of a class, the earlier it is rejected.
//   - Within the reserve, a tenant that uses its full share is rejected if another tenant has requests in flight. A
//     tenant that is the only active one may use the whole capacity.
//   - A request of the class of the highest density, from a tenant below its share, is rejected only if no unit is
//     free.
//
// It is not safe for concurrent use.
type Gate struct {
	ranks   []float64 // by class: the rank of its density, from 0 for the lowest to 1 for the highest
	weights []float64 // by tenant
	inUse   []int64   // by tenant: requests in flight
}

// GateClass describes a class of requests to a Gate. Only the ratio of its two fields is used, so each may be in any
// unit that is the same for all classes.
type GateClass struct {
	PriorityWeight float64 // value of a response in time
	HoldTime       float64 // how long a request holds its unit; the class's latency objective is a usable estimate
}

// NewGate returns a gate. weights are the relative shares of the tenants; a weight of 0 counts as the mean of the
// nonzero weights. Its error names the invalid class or tenant by its index.
func NewGate(classes []GateClass, weights []float64) (*Gate, error) {
	densities := make([]float64, len(classes))
	for i, c := range classes {
		if !(c.PriorityWeight >= 0) || !(c.HoldTime > 0) || math.IsInf(c.PriorityWeight+c.HoldTime, 0) {
			return nil, fmt.Errorf("class %d: priority weight %v must be finite and not negative, "+
				"hold time %v must be finite and above 0", i, c.PriorityWeight, c.HoldTime)
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

// fillWeights returns the weights with each 0 replaced by the mean of the nonzero ones. If there is no tenant, it
// returns the weight of a single default tenant.
func fillWeights(weights []float64) ([]float64, error) {
	sum := 0.0
	nonzero := 0
	for i, w := range weights {
		if !(w >= 0) || math.IsInf(w, 0) {
			return nil, fmt.Errorf("tenant %d: weight %v must be finite and not negative", i, w)
		}
		if w > 0 {
			sum += w
			nonzero++
		}
	}
	if len(weights) == 0 {
		return []float64{defaultWeight}, nil
	}
	mean := float64(defaultWeight)
	if nonzero > 0 {
		mean = sum / float64(nonzero)
	}
	filled := slices.Clone(weights)
	for i, w := range filled {
		if w == 0 {
			filled[i] = mean
		}
	}
	return filled, nil
}

// ranks returns the rank of each density among all distinct densities, from 0 for the lowest to 1 for the highest.
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

// Admits reports whether a request of a class and tenant, each given by its index, may take one of the service's
// available units; used+available is the service's current capacity. An unknown tenant counts as the first; an unknown
// class is rejected within the reserve. Admits changes nothing: call Enter for a request that is admitted.
func (g *Gate) Admits(used, available int64, class, tenant int) bool {
	if available <= 0 {
		return false
	}
	capacity := float64(used + available)
	reserve := ReserveRatio * capacity
	if float64(available) > reserve {
		return true
	}
	// The required rank rises as the reserve is used up. For the last unit it is 1, the rank of the highest density.
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

// Enter counts an admitted request of a tenant as in flight. The caller must call Leave when the request ends.
func (g *Gate) Enter(tenant int) { g.inUse[g.tenantIndex(tenant)]++ }

// Leave removes a request that has ended from the tenant's count of requests in flight.
func (g *Gate) Leave(tenant int) {
	if t := g.tenantIndex(tenant); g.inUse[t] > 0 {
		g.inUse[t]--
	}
}

// tenantIndex returns the index of a tenant, or 0, the first tenant, for an unknown one.
func (g *Gate) tenantIndex(tenant int) int {
	if tenant < 0 || tenant >= len(g.inUse) {
		return 0
	}
	return tenant
}
