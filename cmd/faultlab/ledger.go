package main

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"lapisspread/internal/faultlab/checker"
	"lapisspread/internal/faultlab/model"
)

// ledgerTrial enters so many requests into a ledger, 10,000 a second, each with an attempt that serves, and tells
// what that took. It fails if memory grows with their number or if one of them is not accounted for.
func ledgerTrial(out io.Writer, n int) error {
	spec := model.Default()
	l := checker.New(checker.Settings{Classes: spec.Classes, Tenants: spec.Tenants, Proxies: 4, Nodes: 100})
	heap := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc) / (1 << 20)
	}
	start := time.Now()
	early := 0.0
	for i := range n {
		at := time.Duration(i) * 100 * time.Microsecond
		class := i % len(spec.Classes)
		c := &spec.Classes[class]
		a := model.Arrival{At: at, First: at, Class: class, Tenant: i % len(spec.Tenants), Deadline: at + c.GiveUp/2, GiveUp: at + c.GiveUp,
			Worth: c.Worth, Work: 20}
		l.Asked(&a)
		id := l.Take(checker.Try{Proxy: i % 4, Arrival: a})
		l.Sent(at, id, i%4, i%100, 0)
		l.Began(at+time.Millisecond, id, i%100, 0)
		l.Made(id, i%100, 0)
		l.Answered(at+40*time.Millisecond, id, model.Served, true)
		if i%20 == 0 {
			l.Advance(at)
		}
		if i == n/10 {
			early = heap()
		}
	}
	late := heap()
	l.Finish()
	v := l.Verdict(checker.UsualPrices)
	fmt.Fprintf(out, "ledger: %d requests in %.1f s; %d at once; heap %.1f MB after a tenth, %.1f MB at the end\n", n, time.Since(start).Seconds(),
		l.Peak(), early, late)
	switch {
	case v.OK != n || v.Unjudged != 0 || v.RulesBroken != 0:
		return fmt.Errorf("the ledger has lost count: %d of %d served, %d unjudged, %d breaches", v.OK, n, v.Unjudged, v.RulesBroken)
	case late > early+8:
		return fmt.Errorf("the ledger grows: %.1f MB, then %.1f MB", early, late)
	}
	return nil
}
