package limiter

import (
	"time"

	"lapisspread/internal/processquota"
)

// Report is the use of all limits, as the admin protocol shows it. The fields are sorted by their JSON keys.
type Report struct {
	AttemptsPerSecond float64               `json:"attempts_a_second,omitempty"` // total limit; 0 means no limit
	Bytes             PoolReport            `json:"bytes"`
	Conns             PoolReport            `json:"connections"`
	Rejected          map[string]rejections `json:"refused"` // by service
	Requests          PoolReport            `json:"requests"`
}

// PoolReport is the use of one pool, in units: requests, bytes or connections.
type PoolReport struct {
	ByService map[string]int64 `json:"by_service"` // units in use, by service
	Total     int64            `json:"total"`
	Used      int64            `json:"used"`
}

// Report returns the totals, the units in use by each service, and the rejections of each service. It returns nil
// before the first Reconfigure.
func (l *Limits) Report() *Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pools == nil {
		return nil
	}
	now := l.now()
	r := &Report{
		Bytes:    reportPool(l.pools.bytes, now),
		Conns:    reportPool(l.pools.conns, now),
		Rejected: map[string]rejections{},
		Requests: reportPool(l.pools.requests, now),
	}
	for service, counts := range l.rejected {
		r.Rejected[service] = *counts
	}
	if l.attempts != nil {
		r.AttemptsPerSecond = l.totals.Attempts
	}
	return r
}

// reportPool returns the use of one pool.
func reportPool(p *processquota.Pool, now time.Duration) PoolReport {
	total, used := p.Total()
	r := PoolReport{ByService: map[string]int64{}, Total: total, Used: used}
	for service, usage := range p.Usage(now) {
		r.ByService[service] = usage.Used
	}
	return r
}
