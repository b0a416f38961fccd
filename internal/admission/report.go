package admission

import (
	"cmp"
	"slices"
	"time"
)

// AddressReport is the state of one address, as encoded in the admin protocol.
type AddressReport struct {
	Prefix   string  `json:"address"`      // an IPv4 /32 or IPv6 /64
	Open     int     `json:"open"`         // open connections
	Unproven int     `json:"unproven"`     // open connections on which no request was served yet
	Credit   float64 `json:"earned"`       // in unproven connections
	Bytes    int64   `json:"bytes"`        // body bytes of requests in flight
	Rate     float64 `json:"new_a_second"` // new connections per second
	Rejected int64   `json:"refused"`      // connections rejected or evicted since it became one of the busiest
}

// Report is the state of a ConnLimiter, as encoded in the admin protocol.
type Report struct {
	MaxConns       int              `json:"places"`
	Open           int              `json:"open"`          // open connections
	Known          int              `json:"known"`         // open connections counted as those of known clients
	Idle           int              `json:"waiting"`       // proven connections without a request in flight
	Bytes          int64            `json:"bytes"`         // body bytes of requests in flight
	BodyRejections int64            `json:"bytes_refused"` // AcquireBody calls rejected
	Counts         Counts           `json:"-"`
	Rejected       map[string]int64 `json:"refused"` // by Reason.String
	Blocks         map[string]int   `json:"blocks"`  // remaining seconds, by prefix
	Top            []AddressReport  `json:"top"`     // the busiest addresses, the highest rate first
}

// Report returns the limiter's state.
func (l *ConnLimiter) Report(now time.Duration) Report {
	l.rates.decay(now)
	r := Report{
		MaxConns:       l.settings.MaxConns,
		Open:           len(l.conns),
		Known:          l.known,
		Idle:           l.idle[idleUnknown].Len() + l.idle[idleKnown].Len(),
		Bytes:          l.bodyBytes,
		BodyRejections: l.counts.BodyRejections,
		Counts:         l.counts,
		Rejected:       map[string]int64{},
		Blocks:         map[string]int{},
	}
	for reason := Blocked; reason < reasonCount; reason++ {
		r.Rejected[reason.String()] = l.counts.Rejected[reason]
	}
	for p, remaining := range l.Blocks(now) {
		r.Blocks[p.String()] = int(remaining / time.Second)
	}
	for _, a := range l.busiest.addresses {
		r.Top = append(r.Top, l.reportAddress(now, a))
	}
	slices.SortFunc(r.Top, func(a, b AddressReport) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Prefix, b.Prefix))
	})
	return r
}

// reportAddress returns the state of one of the busiest addresses.
func (l *ConnLimiter) reportAddress(now time.Duration, a busyAddress) AddressReport {
	r := AddressReport{
		Prefix:   a.prefix.String(),
		Rate:     l.rates.rate(l.rates.estimate(l.rates.key(a.prefix))),
		Rejected: a.rejected,
	}
	hosts := l.tiers[hostTier]
	if g := hosts.groups[a.prefix]; g != nil {
		r.Open = g.open
		r.Unproven = g.unproven.Len()
		r.Credit = hosts.credit(now, g)
		r.Bytes = g.bodyBytes
	}
	return r
}
