package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

func init() { cases["foreign"] = foreign }

const (
	siteDelay   = 1200 * time.Microsecond // one way between the sites
	copyShare   = 0.08                    // of the answers, followed by a second copy
	foreignLoad = 110                     // requests a second
	foreignSpan = 80 * time.Second
)

func foreign(l *lab) (bool, error) {
	var nodes []*node
	var list []instance
	for i := range 8 {
		n := &node{lab: l, id: fmt.Sprintf("d-%d", i), work: time.Duration(25+5*(i%4)) * time.Millisecond}
		if l.trouble {
			n.copyOf = func() time.Duration {
				if rand.Float64() >= copyShare {
					return -1
				}
				return time.Millisecond + time.Duration(rand.Float64()*float64(2*time.Millisecond))
			}
		}
		if err := n.listen(); err != nil {
			return false, err
		}
		delay, zone := 250*time.Microsecond, "nyarugenge"
		if i >= 4 {
			delay, zone = siteDelay, "kacyiru"
		}
		addr, err := link(n.addr, delay)
		if err != nil {
			return false, err
		}
		nodes = append(nodes, n)
		list = append(list, instance{ID: n.id, Addr: addr, Zone: zone, Kind: "std-1", Cell: i / 4, State: "active", Weight: 1})
	}
	r, err := newRegister(list...)
	if err != nil {
		return false, err
	}
	p, err := l.startProxy(proxyOptions{name: "n1", discovery: r.addr, known: list})
	if err != nil {
		return false, err
	}
	if err := p.waitReady(); err != nil {
		return false, err
	}
	c := newClients(l, func() string { return p.listen })
	c.load(foreignLoad, foreignSpan)
	answers := c.wait()
	served, wrong := 0, 0
	for _, a := range answers {
		if a.status != 200 {
			continue
		}
		served++
		if a.body != "answer to "+a.id {
			wrong++
			l.say("%s %s was answered 200 with %q", a.class, a.id, a.body)
		}
	}
	copies := int64(0)
	for _, n := range nodes {
		copies += n.copies.Load()
	}
	l.say("%d requests, %d answered 200, %d of them with another request's answer; %d second copies", len(answers), served, wrong, copies)
	if served < len(answers)*8/10 {
		return false, errors.New("too few were served: nothing to judge")
	}
	return wrong > 0, nil
}
