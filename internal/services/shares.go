package services

import (
	"math"
	"time"

	"lapisspread/internal/processquota"
)

// minSum returns the sum of Share.Min over all services, as a part of the total.
func (f *File) minSum() float64 {
	sum := 0.0
	for i := range f.Services {
		sum += max(0, f.Services[i].Share.Min)
	}
	return sum
}

// Shares returns each service's share of a total, by name. Minimums are rounded down; caps are rounded up and are at
// least 1.
func (f *File) Shares(total int64) map[string]processquota.Share {
	shares := map[string]processquota.Share{}
	for i := range f.Services {
		s := &f.Services[i]
		shares[s.Name] = processquota.Share{
			Min:    int64(s.Share.Min * float64(total)),
			Cap:    max(1, int64(math.Ceil(s.Share.Cap*float64(total)))),
			Weight: s.Share.Weight,
		}
	}
	return shares
}

// RateShares returns each service's share of a total rate per second, by name.
func (f *File) RateShares(total float64) map[string]processquota.RateShare {
	shares := map[string]processquota.RateShare{}
	for i := range f.Services {
		s := &f.Services[i]
		shares[s.Name] = processquota.RateShare{
			Min:    s.Share.Min * total,
			Cap:    s.Share.Cap * total,
			Weight: s.Share.Weight,
		}
	}
	return shares
}

// PoolSettings returns the settings of a pool of total units that the services share.
func (f *File) PoolSettings(total int64) processquota.PoolSettings {
	return processquota.PoolSettings{
		Total:  total,
		Recall: time.Duration(f.Limits.RecallDelay),
		Lend:   f.Limits.LendRatio,
	}
}
