package admission

import (
	"errors"
	"net/netip"
	"testing"
	"time"
)

func TestBlocks(t *testing.T) {
	l := newConnLimiter(t, Defaults(10))
	network := netip.MustParsePrefix("10.1.0.0/16")
	if err := l.Block(0, network, time.Minute); err != nil {
		t.Fatalf("Block(%v, 1m): %v", network, err)
	}
	for at, want := range map[time.Duration]Reason{0: Blocked, 59 * time.Second: Blocked, time.Minute: NoReason} {
		if _, reason := connect(l, at, ip(10, 1, 2, 3), ignoreEviction, nil); reason != want {
			t.Errorf("Arrive of 10.1.2.3 %v after its network was blocked for 1m: reason %v, want %v", at, reason, want)
		}
	}
	var invalid InvalidBlockError
	if err := l.Block(0, network, 0); !errors.As(err, &invalid) {
		t.Errorf("Block with duration 0 = %v, want an InvalidBlockError", err)
	}
	if err := l.Block(0, netip.Prefix{}, time.Minute); err == nil {
		t.Error("Block of an invalid prefix = nil, want an error")
	}
	first, second, blocked := l.Unblock(network), l.Unblock(network), l.Blocked(0, ip(10, 1, 2, 3))
	if !first || second || blocked {
		t.Errorf("first and second Unblock = %t and %t, want true and false; Blocked afterwards = %t, want false",
			first, second, blocked)
	}
	for i := range maxBlocks + 1 {
		err := l.Block(0, netip.PrefixFrom(ip(20, 0, i/256, i%256), 32), time.Minute)
		if (err != nil) != (i == maxBlocks) {
			t.Fatalf("Block with %d blocks set = %v, want an error only at the maximum of %d", i, err, maxBlocks)
		}
	}
	if err := l.Block(time.Hour, network, time.Minute); err != nil { // expired blocks do not count
		t.Errorf("Block after all %d earlier blocks expired: %v", maxBlocks, err)
	}
}
