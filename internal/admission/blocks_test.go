package admission

import (
	"errors"
	"net/netip"
	"testing"
	"time"
)

func TestBlocks(t *testing.T) {
	l := newConnLimiter(t, Defaults(10))
	net := netip.MustParsePrefix("10.1.0.0/16")
	if err := l.Block(0, net, time.Minute); err != nil {
		t.Fatal(err)
	}
	for at, want := range map[time.Duration]Reason{0: Blocked, 59 * time.Second: Blocked, time.Minute: NoReason} {
		if _, reason := connect(l, at, ip(10, 1, 2, 3), ignore, nil); reason != want {
			t.Errorf("at %v: %v", at, reason)
		}
	}
	var invalid InvalidBlockError
	if err := l.Block(0, net, 0); !errors.As(err, &invalid) {
		t.Error("a block without a duration was set")
	}
	if err := l.Block(0, netip.Prefix{}, time.Minute); err == nil {
		t.Error("a block of no prefix was set")
	}
	if !l.Unblock(net) || l.Unblock(net) || l.Blocked(0, ip(10, 1, 2, 3)) {
		t.Error("unblocking")
	}
	for i := range maxBlocks + 1 {
		err := l.Block(0, netip.PrefixFrom(ip(20, 0, i/256, i%256), 32), time.Minute)
		if (err != nil) != (i == maxBlocks) {
			t.Fatalf("block %d: %v", i, err)
		}
	}
	if err := l.Block(time.Hour, net, time.Minute); err != nil { // expired blocks do not count
		t.Error(err)
	}
}
