package admission

import (
	"net/netip"
	"testing"
)

// While bytes are scarce an address may hold its part and what served requests permit, and one that holds none always
// gets one body. All is released in the end.
func TestAcquireBody(t *testing.T) {
	s := Defaults(100)
	s.MaxBodyBytes = 1 << 20
	s.KnownPrefixes = []netip.Prefix{netip.MustParsePrefix("10.9.0.0/16")}
	l := newConnLimiter(t, s)
	admit := func(a netip.Addr) ID {
		id, reason := connect(l, 0, a, nil, nil)
		if id == 0 {
			t.Fatalf("%v: %v", a, reason)
		}
		return id
	}
	var open []ID
	for range 12 { // three quarters: bytes are not scarce yet
		id := admit(ip(10, 0, 0, 1))
		open = append(open, id)
		if !l.AcquireBody(0, id, 64<<10) {
			t.Fatal("rejected while bytes were not scarce")
		}
	}
	if l.AcquireBody(0, admit(ip(10, 0, 0, 1)), 64<<10) {
		t.Error("one address has more than its part while bytes are scarce")
	}
	other := admit(ip(10, 1, 0, 1))
	if !l.AcquireBody(0, other, 100<<10) {
		t.Error("an address that holds none is denied its first body")
	}
	l.RequestDone(0, other, true) // which permits bytes beside its part
	if !l.AcquireBody(0, other, 64<<10) || !l.AcquireBody(0, admit(ip(10, 1, 0, 1)), 200<<10) {
		t.Error("served requests do not count")
	}
	l.settings.MaxBodyPart = 0.01 // so little that the network alone is above it
	neighbor := admit(ip(10, 0, 0, 77))
	if !l.AcquireBody(0, neighbor, 10<<10) || l.AcquireBody(0, neighbor, 100<<10) {
		t.Error("an address is denied its first body because of its network, or is not limited")
	}
	listed := admit(ip(10, 9, 0, 1))
	for range 2 {
		if !l.AcquireBody(0, listed, 300<<10) {
			t.Error("a listed address is limited")
		}
	}
	if r := l.Report(0); r.BodyRejections != 2 || r.Bytes != int64(12*64+64+200+10+600)<<10 {
		t.Errorf("%+v", r)
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
	if l.bodyBytes != 0 || hosts.groups[hosts.prefix(ip(10, 1, 0, 1))].bodyBytes != 0 {
		t.Errorf("%d bytes are left", l.bodyBytes)
	}
}
