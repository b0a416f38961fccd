package processquota

import (
	"fmt"
	"math"
	"slices"
)

// Gate decides whose requests a service takes as its share of the process runs short: those that are worth most for
// the time that they hold a place, of tenants that hold less than their part. While there is room enough it lets
// everyone in.
//
// It promises, whatever comes in whatever order:
//
//   - While more than the reserve is free, everyone gets in.
//   - In the reserve the class of the greatest density gets in to the last place, for each tenant that holds less
//     than its part; the less dense a class, the earlier it is refused.
//   - In the reserve a tenant that holds its part already makes way, if another has requests in hand. A tenant alone
//     has all.
//   - A tenant under its part, with the densest class, is refused only where nothing is free.
type Gate struct {
	ranks   []float64 // by class: the part of the classes that are less dense, 1 for the densest
	weights []float64 // by tenant
	inUse   []int64   // by tenant
}

// GateClass is what of a class a gate goes by.
type GateClass struct {
	PriorityWeight float64 // of an answer in time
	HoldTime       float64 // for how long a request holds its place, in any unit: its aim will do
}

// ReserveRatio is the part of a service's places that is kept for what is worth most.
const ReserveRatio = 0.15

// NewGate makes a gate. weights are the tenants' parts; who has none counts as having the mean of the others. Errors
// name the class or the tenant by its place.
func NewGate(classes []GateClass, weights []float64) (*Gate, error) {
	g := &Gate{weights: slices.Clone(weights), inUse: make([]int64, max(1, len(weights)))}
	density := make([]float64, len(classes))
	for i, c := range classes {
		if !(c.PriorityWeight >= 0) || !(c.HoldTime > 0) || math.IsInf(c.PriorityWeight+c.HoldTime, 0) {
			return nil, fmt.Errorf("class %d: worth %v, holds %v", i, c.PriorityWeight, c.HoldTime)
		}
		density[i] = c.PriorityWeight / c.HoldTime
	}
	sum, n := 0.0, 0
	for i, w := range weights {
		if !(w >= 0) || math.IsInf(w, 0) {
			return nil, fmt.Errorf("tenant %d: weight %v", i, w)
		}
		if w > 0 {
			sum, n = sum+w, n+1
		}
	}
	for i, w := range g.weights {
		if w == 0 {
			g.weights[i] = 1
			if n > 0 {
				g.weights[i] = sum / float64(n)
			}
		}
	}
	if len(g.weights) == 0 {
		g.weights = []float64{1}
	}
	distinct := slices.Compact(slices.Sorted(slices.Values(density)))
	for _, d := range density {
		rank := 1.0
		if len(distinct) > 1 {
			at, _ := slices.BinarySearch(distinct, d)
			rank = float64(at) / float64(len(distinct)-1)
		}
		g.ranks = append(g.ranks, rank)
	}
	return g, nil
}

// Admits tells whether a request of a class and a tenant may have one of the room that the service has left, of
// used+room places that are its own now.
func (g *Gate) Admits(used, room int64, class, tenant int) bool {
	if room <= 0 {
		return false
	}
	places := float64(used + room)
	kept := ReserveRatio * places
	if float64(room) > kept {
		return true
	}
	// The deeper into the reserve, the denser it must be: at its last place only the densest.
	depth := 1 - float64(room-1)/kept
	if class < 0 || class >= len(g.ranks) || g.ranks[class] < min(depth, 1) {
		return false
	}
	mine := g.tenantIndex(tenant)
	active, others := g.weights[mine], false
	for t, held := range g.inUse {
		if t != mine && held > 0 {
			active, others = active+g.weights[t], true
		}
	}
	return !others || float64(g.inUse[mine]) < g.weights[mine]/active*places
}

// Enter counts a request that was let in, and Leave one that has ended.
func (g *Gate) Enter(tenant int) { g.inUse[g.tenantIndex(tenant)]++ }

// Leave ends what Enter began.
func (g *Gate) Leave(tenant int) {
	if t := g.tenantIndex(tenant); g.inUse[t] > 0 {
		g.inUse[t]--
	}
}

// tenantIndex keeps a number within those that there are: strangers count with the first.
func (g *Gate) tenantIndex(t int) int {
	if t < 0 || t >= len(g.inUse) {
		return 0
	}
	return t
}
