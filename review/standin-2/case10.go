//go:build review2

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["10"] = moveLostWithABadFile }

// toldAfter is how long after SIGHUP that what discovery has to tell counts as told.
const toldAfter = 4 * time.Second

// moveLostWithABadFile: the register moves, and the proxy is told by a new configuration and SIGHUP. Its file of services has a
// slip of the hand at that time. Later a node drains.
func moveLostWithABadFile(w *world) ([]string, error) {
	nodes, reg, err := newNodes(w, 4, "std-1")
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	got := map[string][]sentTo{}
	for _, n := range nodes {
		n.handle = func(q *http.Request, id string) (int, string) {
			mu.Lock()
			got[n.id] = append(got[n.id], sentTo{id, time.Now()})
			mu.Unlock()
			if !rest(q, nodeTime) {
				return 0, ""
			}
			n.run(id)
			return http.StatusOK, "done by " + n.id
		}
	}
	p, err := w.newProxy(0, 1, reg, nil)
	if err != nil {
		return nil, err
	}
	if p.files.services, err = w.write(p.name, "services.toml", servicesBefore); err != nil {
		return nil, err
	}
	if err := p.run(""); err != nil {
		return nil, err
	}
	c := newClients(w)
	stop := make(chan struct{})
	c.open.Go(func() { c.stream(p.listen, 80, stop, nil, driverPosition, tripClose) })
	time.Sleep(3 * time.Second)

	moved, err := newRegister(reg.entries...)
	if err != nil {
		return nil, err
	}
	moved.generation = 7
	if w.trouble {
		w.say("the file of services has a key that is unknown: wieght")
		if _, err := w.write(p.name, "services.toml", strings.Replace(servicesBefore, "weight", "wieght", 1)); err != nil {
			return nil, err
		}
	}
	p.config["discovery"] = moved.addr
	if err := p.writeConfig(); err != nil {
		return nil, err
	}
	w.say("the register moves, the configuration is replaced, SIGHUP")
	p.signal(syscall.SIGHUP)
	reg.leave()
	time.Sleep(toldAfter + time.Second)

	drains := nodes[0]
	w.say("the register tells that %s drains", drains.id)
	moved.set(drains.id, "leaving")
	told := time.Now()
	time.Sleep(4 * time.Second)
	w.say("%s ends; answers so far: %v", drains.id, c.tally())
	moved.set(drains.id, "left")
	drains.stop()
	time.Sleep(2 * time.Second)
	close(stop)
	c.open.Wait()
	w.say("answers: %v", c.tally())
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, s := range got[drains.id] {
		if after := s.came.Sub(told); after > drainGrace+ruleSlack {
			if late++; late <= 3 {
				w.say("%s got %s %v after its drain was told", drains.id, s.id, after.Round(time.Millisecond))
			}
		}
	}
	if p.running() {
		counters, _ := p.call("INFO")
		w.say("INFO says reloads_failed: %v", strings.Contains(counters, `"reloads_failed":1`))
	}
	if late > 0 {
		return []string{fmt.Sprintf("%s, which drains, got %d new requests after the grace", drains.id, late)}, nil
	}
	return nil, nil
}
