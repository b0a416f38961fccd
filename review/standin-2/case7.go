//go:build review2

package main

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lapisspread/internal/diameter"
)

func init() { cases["7"] = repeatRefusedBeforeTheLedger }

const (
	inHand     = 8 // claims of one peer that a proxy takes at once
	otherClaim = uint32(0x6a200001)
	backOff    = time.Second // before a claim that was refused is sent again, where no Validity-Time says when
)

// repeatRefusedBeforeTheLedger: the partner has claims in hand at both proxies. One proxy is killed. The partner sends its
// claims to the other one as repeats, which refuses them since too many are in hand; then it sends them as new ones.
func repeatRefusedBeforeTheLedger(w *world) ([]string, error) {
	var full atomic.Bool
	var mu sync.Mutex
	credited := map[string]bool{}
	nodes, reg, err := payoutNodes(w, 4, &full, payoutRest, func(id string) {
		mu.Lock()
		defer mu.Unlock()
		credited[id] = true
	})
	if err != nil {
		return nil, err
	}
	limits := fmt.Sprintf("peers = 64\nhandshakes = 16\nin_hand = %d\nbytes = 2097152\nqueue = 262144", inHand)
	proxies, spoken, err := diameterProxies(w, 2, reg, limits)
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

	var others sync.WaitGroup
	others.Go(func() {
		each(otherClaim, inHand, func(_ int, id uint32) { _, _ = lines[1].claim(id, false) })
	})
	allCredited := func() bool {
		mu.Lock()
		defer mu.Unlock()
		for i := range uint32(inHand) {
			if !credited[requestID(firstClaim+i)] {
				return false
			}
		}
		return true
	}
	if w.trouble {
		go func() {
			if until(time.Second, allCredited) {
				w.say("%s is killed", proxies[0].name)
				proxies[0].signal(syscall.SIGKILL)
			}
		}()
	}
	var repeats atomic.Int64
	each(firstClaim, inHand, func(_ int, id uint32) {
		a, err := lines[0].claim(id, false)
		if err == nil {
			return
		}
		// No answer has come: a repeat. After an error answer, that is no more so: docs/diameter.md.
		repeats.Add(1)
		for a, err = lines[1].claim(id, true); err == nil && (a.code == diameter.TooBusy || a.code == diameter.UnableToDeliver); {
			time.Sleep(max(a.validity, backOff))
			a, err = lines[1].claim(id, false)
		}
	})
	others.Wait()
	if w.trouble && repeats.Load() == 0 {
		return nil, errors.New("the proxy was not killed while claims were in hand")
	}
	time.Sleep(time.Second)
	return append(judgePayouts(w, nodes, firstClaim, inHand), judgePayouts(w, nodes, otherClaim, inHand)...), nil
}
