package listener

import (
	"flag"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"
)

var writeFrozen = flag.Bool("write-frozen", false, "write testdata/blocks instead of reading it")

// testdata/blocks was written by the program of c8fad44 with
// go test ./internal/door -run TestFrozenBlocks -write-frozen
// Blocks that an older version persisted are restored, and further changes continue the file.
func TestFrozenBlocks(t *testing.T) {
	until := time.Date(2100, 1, 1, 0, 0, 0, 500, time.UTC)
	first, second := netip.MustParsePrefix("10.1.0.0/16"), netip.MustParsePrefix("2001:db8::1/128")
	if *writeFrozen {
		l := openFrozen(t, "testdata/blocks")
		l.blocks[first], l.blocks[second] = until, until
		if err := l.saveBlocks(); err != nil {
			t.Fatal(err)
		}
	}
	kept, err := os.ReadFile("testdata/blocks")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "blocks")
	if err := os.WriteFile(path, kept, 0o600); err != nil {
		t.Fatal(err)
	}
	l := openFrozen(t, path)
	if err := l.Restore(); err != nil {
		t.Fatal(err)
	}
	if len(l.blocks) != 2 || !l.blocks[first].Equal(until) || !l.blocks[second].Equal(until) {
		t.Errorf("the blocks: %v", l.blocks)
	}
	if blocks := l.Report().Blocks; len(blocks) != 2 || blocks["10.1.0.0/16"] <= 0 {
		t.Errorf("the blocks that hold: %v", blocks)
	}
	if err := l.saveBlocks(); err != nil {
		t.Fatal(err)
	}
	if got, err := os.ReadFile(path); err != nil || string(got) != string(kept) {
		t.Errorf("written again: %s, %v; want %s", got, err, kept)
	}
	if err := l.Unblock(first); err != nil {
		t.Fatal(err)
	}
	const left = `{"2001:db8::1/128":"2100-01-01T00:00:00.0000005Z"}`
	if got, err := os.ReadFile(path); err != nil || string(got) != left {
		t.Errorf("after Unblock: %s, %v; want %s", got, err, left)
	}
}

func openFrozen(t *testing.T, path string) *ConnLimiter {
	t.Helper()
	f, err := Parse("a.toml", []byte("version = 1\n"))
	if err != nil {
		t.Fatal(err)
	}
	l, err := New(f, Capacity{Conns: 100, BodyBytes: 1 << 20}, 1, func() time.Duration { return time.Hour }, path)
	if err != nil {
		t.Fatal(err)
	}
	return l
}
