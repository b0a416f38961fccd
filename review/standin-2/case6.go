//go:build review2

package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lapisspread/internal/diameter"
	"lapisspread/internal/faultlab/loopbackaddr"
)

func init() { cases["6"] = refusedThenFailedOver }

const (
	payoutWork  = 30 * time.Millisecond // until a node has credited a payout
	payoutRest  = 60 * time.Millisecond // that it waits on others then, before it answers
	firstClaim  = uint32(0x6a100001)
	claimsTotal = 4
)

// payoutNodes makes nodes that credit payouts: once they have worked on a claim it is credited, and after a wait on others it
// is answered. While full is set they turn all claims away unseen.
func payoutNodes(w *world, count int, full *atomic.Bool, rested time.Duration, credited func(id string)) ([]*node, *register, error) {
	nodes, reg, err := newNodes(w, count, "std-1")
	if err != nil {
		return nil, nil, err
	}
	for _, n := range nodes {
		n.handle = func(q *http.Request, id string) (int, string) {
			if full.Load() {
				w.say("%s: turns %s away, its queue is full", n.id, id)
				return http.StatusServiceUnavailable, ""
			}
			if !rest(q, payoutWork) {
				return 0, ""
			}
			times := n.run(id)
			w.say("%s: CREDITS %s (time %d here)", n.id, id, times)
			credited(id)
			if !rest(q, rested) {
				w.say("%s: the connection of %s broke, nobody hears of it", n.id, id)
				return 0, ""
			}
			return http.StatusOK, "credited"
		}
	}
	return nodes, reg, nil
}

// diameterProxies starts proxies that take claims, and returns them with their addresses for partners.
func diameterProxies(w *world, count int, reg *register, limits string) ([]*proxy, []string, error) {
	var proxies []*proxy
	var spoken []string
	for i := range count {
		p, err := w.newProxy(i, count, reg, nil)
		if err != nil {
			return nil, nil, err
		}
		addr, err := loopbackaddr.Addr()
		if err != nil {
			return nil, nil, err
		}
		if p.files.diameter, err = w.write(p.name, "diameter.toml", diameterFile(addr, limits)); err != nil {
			return nil, nil, err
		}
		if err := p.run(""); err != nil {
			return nil, nil, err
		}
		proxies, spoken = append(proxies, p), append(spoken, addr)
	}
	return proxies, spoken, nil
}

// usualLimits are those of deploy/diameter.toml.
const usualLimits = "peers = 64\nhandshakes = 16\nin_hand = 256\nbytes = 2097152\nqueue = 262144"

// judgePayouts returns a line for each claim that was credited more than once.
func judgePayouts(w *world, nodes []*node, first uint32, count int) (breaches []string) {
	for i := range count {
		id := requestID(first + uint32(i))
		times := total(nodes, id)
		w.say("payout %s was credited %d times", id, times)
		if times > 1 {
			breaches = append(breaches, fmt.Sprintf("payout %s ran %d times", id, times))
		}
	}
	return breaches
}

// each calls a function for each of the claims, all at the same time, and waits for all.
func each(first uint32, count int, do func(i int, id uint32)) {
	var all sync.WaitGroup
	for i := range count {
		all.Go(func() { do(i, first+uint32(i)) })
	}
	all.Wait()
}

// refusedThenFailedOver: the first proxy refuses claims, the partner sends them to the second one, as new ones. That one is
// killed once the claims are credited. The partner sends them to the first one, as repeats.
func refusedThenFailedOver(w *world) ([]string, error) {
	var full atomic.Bool
	var credits atomic.Int64
	nodes, reg, err := payoutNodes(w, 3, &full, payoutRest, func(string) { credits.Add(1) })
	if err != nil {
		return nil, err
	}
	proxies, spoken, err := diameterProxies(w, 2, reg, usualLimits)
	if err != nil {
		return nil, err
	}
	var lines []*line
	for i, p := range proxies {
		l, err := dialPartner(w, p.name, spoken[i])
		if err != nil {
			return nil, fmt.Errorf("the partner's connection to %s: %w", p.name, err)
		}
		lines = append(lines, l)
	}
	time.Sleep(time.Second)

	full.Store(true)
	w.say("the nodes' queues are full")
	var refused atomic.Int64
	each(firstClaim, claimsTotal, func(_ int, id uint32) {
		if a, err := lines[0].claim(id, false); err == nil && (a.code == diameter.TooBusy || a.code == diameter.UnableToDeliver) {
			refused.Add(1)
		}
	})
	full.Store(false)
	w.say("the nodes' queues have room again")
	if refused.Load() != claimsTotal || credits.Load() != 0 {
		return nil, fmt.Errorf("%d of %d claims were refused by %s, %d were credited", refused.Load(), claimsTotal, proxies[0].name, credits.Load())
	}
	time.Sleep(time.Second) // as Validity-Time asks

	if w.trouble {
		go func() {
			until(5*time.Second, func() bool { return credits.Load() >= claimsTotal })
			w.say("%s is killed", proxies[1].name)
			proxies[1].signal(syscall.SIGKILL)
		}()
	}
	unanswered := make([]bool, claimsTotal)
	each(firstClaim, claimsTotal, func(i int, id uint32) {
		_, err := lines[1].claim(id, false) // an error answer came to the earlier copy: no T flag
		unanswered[i] = err != nil
	})
	each(firstClaim, claimsTotal, func(i int, id uint32) {
		if unanswered[i] {
			_, _ = lines[0].claim(id, true)
		}
	})
	time.Sleep(time.Second)
	return judgePayouts(w, nodes, firstClaim, claimsTotal), nil
}
