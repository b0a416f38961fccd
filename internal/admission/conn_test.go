package admission

import (
	"net/netip"
	"testing"
)

// While body bytes are scarce, an address may hold its share of them plus an allowance for its served requests. An
// address that holds no bytes may always acquire one body. Removing all connections releases all bytes.
func TestAcquireBody(t *testing.T) {
	s := Defaults(100)
	s.MaxBodyBytes = 1 << 20
	s.KnownPrefixes = []netip.Prefix{netip.MustParsePrefix("10.9.0.0/16")}
	l := newConnLimiter(t, s)
	admit := func(a netip.Addr) ID {
		id, reason := connect(l, 0, a, nil, nil)
		if id == 0 {
			t.Fatalf("Arrive of %v: rejected with reason %v, want admitted", a, reason)
		}
		return id
	}
	var open []ID
	for range 12 { // 12 bodies of 64 kB are 3/4 of the limit: bytes are not scarce yet
		id := admit(ip(10, 0, 0, 1))
		open = append(open, id)
		if !l.AcquireBody(0, id, 64<<10) {
			t.Fatalf("AcquireBody(64 kB) with %d of 12 bodies held = false, want true: bytes are not scarce",
				len(open)-1)
		}
	}
	if l.AcquireBody(0, admit(ip(10, 0, 0, 1)), 64<<10) {
		t.Error("AcquireBody while bytes are scarce = true for an address beyond its share, want false")
	}
	other := admit(ip(10, 1, 0, 1))
	if !l.AcquireBody(0, other, 100<<10) {
		t.Error("AcquireBody of an address that holds no bytes = false, want true")
	}
	l.RequestDone(0, other, true) // a served request permits bytes beyond the share of the address
	sameConn := l.AcquireBody(0, other, 64<<10)
	otherConn := l.AcquireBody(0, admit(ip(10, 1, 0, 1)), 200<<10)
	if !sameConn || !otherConn {
		t.Errorf("AcquireBody after a served request = %t on its connection and %t on another, want true for both",
			sameConn, otherConn)
	}
	l.settings.MaxBodyPart = 0.01 // so small that the network alone holds more than its share
	neighbor := admit(ip(10, 0, 0, 77))
	firstBody, secondBody := l.AcquireBody(0, neighbor, 10<<10), l.AcquireBody(0, neighbor, 100<<10)
	if !firstBody || secondBody {
		t.Errorf("AcquireBody with the network beyond its share = %t for the first body and %t for the second, "+
			"want true and false", firstBody, secondBody)
	}
	knownPrefixConn := admit(ip(10, 9, 0, 1))
	for range 2 {
		if !l.AcquireBody(0, knownPrefixConn, 300<<10) {
			t.Error("AcquireBody of an address in KnownPrefixes = false, want true")
		}
	}
	const heldBytes = (12*64 + 64 + 200 + 10 + 600) << 10
	if r := l.Report(0); r.BodyRejections != 2 || r.Bytes != heldBytes {
		t.Errorf("Report: %d body rejections and %d bytes, want 2 and %d", r.BodyRejections, r.Bytes, heldBytes)
	}
	for i, id := range open {
		if i%2 == 0 {
			l.RequestDone(0, id, false)
		}
		l.Remove(0, id, false)
	}
	for id := range l.conns {
		l.Remove(0, id, false)
	}
	hosts := l.tiers[hostTier]
	addressBytes := hosts.groups[hosts.prefix(ip(10, 1, 0, 1))].bodyBytes
	if l.bodyBytes != 0 || addressBytes != 0 {
		t.Errorf("after all connections were removed: %d body bytes in total and %d of 10.1.0.1, want 0",
			l.bodyBytes, addressBytes)
	}
}
