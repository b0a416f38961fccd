package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func init() { cases["failover"] = failover }

const (
	claimWindow  = 16                    // claims that the partner has out at once
	payoutWork   = 15 * time.Millisecond // until a payout is booked
	payoutWait   = 45 * time.Millisecond // for what else the answer waits on
	claimTimeout = 2 * time.Second       // give_up of the claims
	claimsBefore = 4 * time.Second       // of sending before the connection is reset
	claimsAfter  = 3 * time.Second       // and after
	ledgerWindow = 4 * time.Minute       // as in the file
)

// books counts how often each claim was paid.
type books struct {
	lab  *lab
	mu   sync.Mutex
	paid map[string]int
}

// payoutNode starts a dispatch node that books payouts and returns its address.
func (b *books) payoutNode(name string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/ping", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "pong") })
	mux.HandleFunc("/claims", func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("X-Request-Id")
		select { // work stops when its request is cancelled
		case <-time.After(payoutWork):
		case <-r.Context().Done():
			b.lab.note("%s: claim %s was cancelled before it was paid", name, id)
			return
		}
		b.mu.Lock()
		b.paid[id]++
		n := b.paid[id]
		b.mu.Unlock()
		b.lab.note("%s: claim %s is paid, time %d", name, id, n)
		time.Sleep(payoutWait)
		fmt.Fprintf(w, "paid %s", id)
	})
	go func() { _ = http.Serve(l, mux) }()
	return l.Addr().String(), nil
}

// claims is the partner's list of claims.
type claims struct {
	lab    *lab
	mu     sync.Mutex
	next   uint32
	open   map[uint32]time.Time
	ended  map[uint32]uint32
	repeat map[uint32]bool // sent again
}

func (c *claims) answered(id, result uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, open := c.open[id]; open {
		c.ended[id] = result
		delete(c.open, id)
	}
	c.lab.note("partner: claim %08x answered %d", id, result)
}

// sendFor sends new claims on a connection for a time, or until it ends.
func (c *claims) sendFor(conn *partner, span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); {
		select {
		case <-conn.broken:
			return
		default:
		}
		c.mu.Lock()
		room := len(c.open) < claimWindow
		id := c.next
		if room {
			c.next++
			c.open[id] = time.Now()
		}
		c.mu.Unlock()
		if !room {
			time.Sleep(time.Millisecond)
			continue
		}
		c.lab.note("partner: claim %08x sent", id)
		if conn.claim(id, false) != nil {
			return
		}
		time.Sleep(4 * time.Millisecond)
	}
}

const diameterFile = `version = 1
host = "%s"
realm = "kigali.example"
listen = "%s"
applications = [4]

[[peer]]
host = "claims.partner.example"
realm = "partner.example"

[[command]]
command = "Credit-Control"
request_type = 4
requested_action = 1
class = "driver-payout"
give_up = "2s"
path = "/claims"

[ledger]
window = "4m"
uncertain = "1h"
entries = 20000
bytes = 4194304
file = "effects.db"
`

// startDiameterProxy starts a proxy that takes claims, and waits until it does. state is copied into its state folder.
func (l *lab) startDiameterProxy(name, discovery, state string, nodes []instance) (*proxy, string, error) {
	addr, err := freeAddr()
	if err != nil {
		return nil, "", err
	}
	file := filepath.Join(l.dir, name+".toml")
	text := fmt.Sprintf(diameterFile, name+".kigali.example", addr)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, "", err
	}
	dir := filepath.Join(l.dir, "state-"+name)
	if err := os.Mkdir(dir, 0o700); err != nil {
		return nil, "", err
	}
	if state != "" {
		for _, f := range []string{"effects.db", "effects.db.seq"} {
			text, err := os.ReadFile(filepath.Join(state, f))
			if err != nil {
				return nil, "", err
			}
			if err := os.WriteFile(filepath.Join(dir, f), text, 0o600); err != nil {
				return nil, "", err
			}
		}
	}
	p, err := l.startProxy(proxyOptions{name: name, discovery: discovery, flags: "--diameter " + file, state: dir, known: nodes})
	if err != nil {
		return nil, "", err
	}
	return p, addr, p.waitReady()
}

// checkAge returns an error unless a ledger was made longer ago than its window, by which nothing can be missing in it.
func checkAge(state string) error {
	text, err := os.ReadFile(filepath.Join(state, "made"))
	if err != nil {
		return err
	}
	made, err := time.Parse(time.RFC3339, strings.TrimSpace(string(text)))
	if err != nil {
		return err
	}
	if age := time.Since(made); age < ledgerWindow+10*time.Second {
		return fmt.Errorf("the ledger in %s is %v old by this clock, at least %v is needed: make a new one by make-state.sh and wait that long", state, age, ledgerWindow)
	}
	return nil
}

func failover(l *lab) (bool, error) {
	b := &books{lab: l, paid: map[string]int{}}
	var nodes []instance
	for i := range 3 {
		name := fmt.Sprintf("d-%d", i)
		addr, err := b.payoutNode(name)
		if err != nil {
			return false, err
		}
		nodes = append(nodes, instance{ID: name, Addr: addr, Zone: "nyarugenge", Kind: "std-1", State: "active", Weight: 1})
	}
	r, err := newRegister(nodes...)
	if err != nil {
		return false, err
	}
	_, addrA, err := l.startDiameterProxy("n1", r.addr, "", nodes)
	if err != nil {
		return false, err
	}
	state := filepath.Join(l.root, "review/2/state")
	if err := checkAge(state); err != nil {
		return false, err
	}
	_, addrB, err := l.startDiameterProxy("n2", r.addr, state, nodes)
	if err != nil {
		return false, err
	}
	c := &claims{lab: l, next: uint32(time.Now().UnixNano()) &^ 0xffff, open: map[uint32]time.Time{}, ended: map[uint32]uint32{}, repeat: map[uint32]bool{}}
	way, err := newWay(addrA)
	if err != nil {
		return false, err
	}
	first, err := dialPartner(way.addr, c.answered)
	if err != nil {
		return false, err
	}
	// The partner has its other connection, to its second peer, from the start.
	second, err := dialPartner(addrB, c.answered)
	if err != nil {
		return false, err
	}
	if l.trouble {
		time.AfterFunc(claimsBefore, func() {
			l.note("the partner's connection to n1 is reset on its way")
			way.reset()
		})
	}
	c.sendFor(first, claimsBefore+500*time.Millisecond)
	var again []uint32
	if l.trouble {
		select {
		case <-first.broken:
		case <-time.After(2 * time.Second):
			return false, errors.New("the partner's connection stays")
		}
		// What had no answer is sent again to the other peer with the T flag (RFC 6733, section 5.5.4).
		c.mu.Lock()
		for id := range c.open {
			again = append(again, id)
			c.repeat[id] = true
		}
		c.mu.Unlock()
	}
	for _, id := range again {
		l.note("partner: claim %08x sent again to n2, with the T flag", id)
		if err := second.claim(id, true); err != nil {
			return false, err
		}
	}
	c.sendFor(second, claimsAfter)
	time.Sleep(claimTimeout + 500*time.Millisecond)
	twice, results := 0, map[uint32]int{}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, result := range c.ended {
		results[result]++
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, n := range b.paid {
		if n > 1 {
			twice++
			l.say("claim %s was paid %d times", id, n)
		}
	}
	l.say("claims: %d ended (by result code: %v), %d without an answer, %d sent again; %d paid, %d of them more than once",
		len(c.ended), results, len(c.open), len(c.repeat), len(b.paid), twice)
	if len(c.ended) < 50 || results[2001] < len(c.ended)*3/4 {
		return false, errors.New("the claims were not served as usual: nothing to judge")
	}
	return twice > 0, nil
}
