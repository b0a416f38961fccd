//go:build review2

package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lapisspread/internal/diameter"
	"lapisspread/internal/faultlab/loopbackaddr"
)

func init() { cases["8"] = partnersAfterACrowd }

const (
	descriptors   = 256             // of the process, as the configuration tells
	partners      = 40              // hosts of the partner's realm, each with a connection
	askers        = descriptors / 3 // clients' connections with requests
	idlers        = 100             // clients' connections on which nothing is said
	crowdTime     = 5 * time.Second
	afterTheCrowd = 6 * time.Second
	partnerTries  = 20 * time.Second
	clientRest    = 20 * time.Millisecond // of a client between two requests
)

// partnersAfterACrowd: partners are connected. For some seconds clients fill the descriptors, and one more partner connects amid
// that. Once they have left, a partner begins its connection anew and sends a claim.
func partnersAfterACrowd(w *world) ([]string, error) {
	var full atomic.Bool
	nodes, reg, err := payoutNodes(w, 9, &full, payoutRest, func(string) {})
	if err != nil {
		return nil, err
	}
	credit := nodes[0].handle
	for _, n := range nodes {
		n.handle = func(q *http.Request, id string) (int, string) {
			if q.Header.Get("Idempotency-Key") != "" {
				return credit(q, id)
			}
			if !rest(q, nodeTime) {
				return 0, ""
			}
			return http.StatusOK, "done"
		}
	}
	p, err := w.newProxy(0, 1, reg, nil)
	if err != nil {
		return nil, err
	}
	p.config["limits"] = map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": descriptors}
	if err := p.writeConfig(); err != nil {
		return nil, err
	}
	p.before = fmt.Sprintf("ulimit -n %d; ", descriptors)
	spoken, err := loopbackaddr.Addr()
	if err != nil {
		return nil, err
	}
	if p.files.diameter, err = w.write(p.name, "diameter.toml", diameterFile(spoken, usualLimits)); err != nil {
		return nil, err
	}
	if err := p.run(""); err != nil {
		return nil, err
	}
	var lines []*line
	for i := range partners {
		l, err := dialPartnerAs(w, p.name, spoken, fmt.Sprintf("h%d.%s", i, partnerRealm))
		if err != nil {
			return nil, fmt.Errorf("the connection of partner %d: %w", i, err)
		}
		lines = append(lines, l)
	}
	w.say("%d partners are connected", len(lines))
	if a, err := lines[0].claim(firstClaim, false); err != nil || a.code != diameter.Success {
		return nil, fmt.Errorf("the first claim was not credited: %v, %w", a, err)
	}
	if w.trouble {
		crowd(w, p, spoken)
	}
	time.Sleep(afterTheCrowd)

	w.say("%s begins its connection anew", lines[0].host)
	_ = lines[0].conn.Close()
	for end := time.Now().Add(partnerTries); time.Now().Before(end); time.Sleep(time.Second) {
		l, err := dialPartnerAs(w, p.name, spoken, lines[0].host)
		if err != nil {
			w.say("%s: no connection: %v", lines[0].host, err)
			continue
		}
		if _, err := l.claim(firstClaim+1, false); err == nil {
			return nil, nil
		}
	}
	c := newClients(w)
	w.say("by HTTP the same proxy answers with %d", c.send(p.listen, tripClose).status)
	if !p.running() {
		return nil, errors.New("the proxy has ended")
	}
	return []string{fmt.Sprintf("%v after the crowd has left no partner can connect, and its claims have no answer", afterTheCrowd+partnerTries)}, nil
}

// crowd fills the descriptors of a proxy with clients, some of which send requests and some say nothing. In the middle of it a
// partner connects.
func crowd(w *world, p *proxy, spoken string) {
	c := newClients(w)
	c.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: askers}}
	stop := make(chan struct{})
	var all sync.WaitGroup
	w.say("a crowd of clients comes: %d with requests, %d that say nothing", askers, idlers)
	for range askers {
		all.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(clientRest):
					c.send(p.listen, tripClose)
				}
			}
		})
	}
	for range idlers {
		all.Go(func() {
			conn, err := net.Dial("tcp", p.listen)
			if err == nil {
				<-stop
				_ = conn.Close()
			}
		})
	}
	time.Sleep(crowdTime / 2)
	if l, err := dialPartnerAs(w, p.name, spoken, "h99."+partnerRealm); err == nil {
		w.say("a partner connects amid the crowd")
		_ = l.conn.Close()
	} else {
		w.say("a partner that connects amid the crowd is not taken: %v", err)
	}
	time.Sleep(crowdTime / 2)
	close(stop)
	all.Wait()
	c.http.CloseIdleConnections()
	w.say("the crowd has left, with answers %v", c.tally())
}
