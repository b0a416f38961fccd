//go:build review2

package main

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"lapisspread/internal/diameter"
)

// Commands that a partner speaks.
const (
	cmdCER   = 257
	cmdClaim = 272
)

// Names of the partner and the proxy, as in the file of Diameter.
const (
	partnerHost  = "claims.partner.example"
	partnerRealm = "partner.example"
	proxyRealm   = "kigali.example"
)

var dict = diameter.Base()

// line is a partner's connection to one proxy.
type line struct {
	world *world
	to    string // the proxy's name
	host  string // the partner's
	conn  net.Conn
	wmu   sync.Mutex

	mu      sync.Mutex
	hop     uint32
	waiting map[uint32]chan reply // by hop-by-hop identifier
	ended   chan struct{}
}

// reply is the answer to one copy of a claim.
type reply struct {
	code     diameter.ResultCode
	why      string
	validity time.Duration // when to come back, as the answer says
}

var errBroke = errors.New("the connection broke")

// dialPartner opens a partner's connection to a proxy and exchanges capabilities.
func dialPartner(w *world, to, addr string) (*line, error) {
	return dialPartnerAs(w, to, addr, partnerHost)
}

// dialPartnerAs is dialPartner for a host of the partner's realm.
func dialPartnerAs(w *world, to, addr, host string) (*line, error) {
	var conn net.Conn
	var err error
	for range 100 { // the proxy opens this address shortly after it is ready
		if conn, err = net.DialTimeout("tcp", addr, time.Second); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return nil, err
	}
	m, err := diameter.NewBuilder(nil, diameter.Header{Flags: diameter.Request, Command: cmdCER, HopByHop: 1, EndToEnd: 1}).
		Text(dict.Named("Origin-Host"), host).Text(dict.Named("Origin-Realm"), partnerRealm).
		Address(dict.Named("Host-IP-Address"), netip.MustParseAddr("127.0.0.1")).Uint32(dict.Named("Vendor-Id"), 0).
		Text(dict.Named("Product-Name"), "partner").Uint32(dict.Named("Auth-Application-Id"), 4).Message()
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := conn.Write(m); err != nil {
		return nil, err
	}
	r := diameter.NewReader(conn, dict)
	a, _, err := r.Next()
	if err != nil {
		return nil, fmt.Errorf("no CEA: %w", err)
	}
	if code := number(a, "Result-Code"); code != uint32(diameter.Success) {
		return nil, fmt.Errorf("CEA with %d", code)
	}
	_ = conn.SetDeadline(time.Time{})
	l := &line{world: w, to: to, host: host, conn: conn, hop: 1, waiting: map[uint32]chan reply{}, ended: make(chan struct{})}
	go l.read(r)
	return l, nil
}

func number(m diameter.Message, name string) uint32 {
	a, found := m.Find(0, dict.Named(name).Code)
	if !found {
		return 0
	}
	v, _ := a.Uint32()
	return v
}

// read hands on what comes, and answers watchdogs and goodbyes.
func (l *line) read(r *diameter.Reader) {
	defer close(l.ended)
	defer func() { _ = l.conn.Close() }()
	for {
		m, h, err := r.Next()
		if err != nil {
			return
		}
		if h.IsRequest() {
			answer, err := diameter.Answer(nil, h, diameter.Success).Uint32(dict.Named("Result-Code"), uint32(diameter.Success)).
				Text(dict.Named("Origin-Host"), l.host).Text(dict.Named("Origin-Realm"), partnerRealm).Message()
			if err != nil {
				return
			}
			l.write(answer)
			continue
		}
		out := reply{code: diameter.ResultCode(number(m, "Result-Code")), validity: time.Duration(number(m, "Validity-Time")) * time.Second}
		if a, found := m.Find(0, dict.Named("Error-Message").Code); found {
			out.why = string(a.Data)
		}
		l.mu.Lock()
		waits := l.waiting[h.HopByHop]
		delete(l.waiting, h.HopByHop)
		l.mu.Unlock()
		if waits != nil {
			waits <- out
		}
	}
}

func (l *line) write(b []byte) {
	l.wmu.Lock()
	defer l.wmu.Unlock()
	_, _ = l.conn.Write(b)
}

// claim sends one copy of a claim and waits for its answer. repeat sets the T flag: no answer has come for an earlier copy.
func (l *line) claim(id uint32, repeat bool) (reply, error) {
	l.mu.Lock()
	l.hop++
	hop := l.hop
	answer := make(chan reply, 1)
	l.waiting[hop] = answer
	l.mu.Unlock()
	h := diameter.Header{Flags: diameter.Request | diameter.Proxiable, Command: cmdClaim, App: 4, HopByHop: hop, EndToEnd: id}
	flag := "no T flag"
	if repeat {
		h.Flags |= diameter.Retransmitted
		flag = "T flag"
	}
	named := dict.Named
	m, err := diameter.NewBuilder(nil, h).Text(named("Session-Id"), fmt.Sprintf("%s;%d;claim", l.host, id)).
		Text(named("Origin-Host"), l.host).Text(named("Origin-Realm"), partnerRealm).
		Text(named("Destination-Realm"), proxyRealm).Uint32(named("Auth-Application-Id"), 4).
		Text(named("Service-Context-Id"), "claim@"+proxyRealm).Uint32(named("CC-Request-Type"), 4).
		Uint32(named("CC-Request-Number"), 0).Uint32(named("Requested-Action"), 1).Message()
	if err != nil {
		return reply{}, err
	}
	l.world.say("partner: claim %08x to %s, %s", id, l.to, flag)
	l.write(m)
	select {
	case a := <-answer:
		l.world.say("partner: claim %08x, %s answers %d (%s)", id, l.to, a.code, a.why)
		return a, nil
	case <-l.ended:
		l.world.say("partner: claim %08x, the connection to %s broke, no answer", id, l.to)
		return reply{}, errBroke
	case <-time.After(5 * time.Second):
		l.world.say("partner: claim %08x, no answer of %s within 5 s", id, l.to)
		return reply{}, errors.New("no answer")
	}
}

// requestID is how the proxy names a claim to HTTP servers.
func requestID(id uint32) string { return fmt.Sprintf("%s/%08x", partnerHost, id) }

// diameterFile is a proxy's file of Diameter, as deploy/diameter.toml. limits are further lines of [limits].
func diameterFile(listen, limits string) string {
	return fmt.Sprintf(`version = 1
host = "proxy.kigali.example"
realm = "kigali.example"
listen = %q
applications = [4]
watchdog = "30s"

[limits]
%s

[[peer]]
realm = %q

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
`, listen, limits, partnerRealm)
}
