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

// Restore reads the blocks that an older version persisted, and later changes keep the file's format. testdata/blocks
// was written at commit c8fad44, when this package was internal/door, with
//
//	go test ./internal/door -run TestFrozenBlocks -write-frozen
func TestFrozenBlocks(t *testing.T) {
	until := time.Date(2100, 1, 1, 0, 0, 0, 500, time.UTC)
	first, second := netip.MustParsePrefix("10.1.0.0/16"), netip.MustParsePrefix("2001:db8::1/128")
	if *writeFrozen {
		l := newFrozenBlocksLimiter(t, "testdata/blocks")
		l.blocks[first], l.blocks[second] = until, until
		if err := l.saveBlocks(); err != nil {
			t.Fatalf("writing testdata/blocks: %v", err)
		}
	}
	stored, err := os.ReadFile("testdata/blocks")
	if err != nil {
		t.Fatalf("reading testdata/blocks: %v", err)
	}
	path := filepath.Join(t.TempDir(), "blocks")
	if err := os.WriteFile(path, stored, 0o600); err != nil {
		t.Fatalf("copying testdata/blocks: %v", err)
	}
	l := newFrozenBlocksLimiter(t, path)
	if err := l.Restore(); err != nil {
		t.Fatalf("Restore: %v", err)
	}
	if len(l.blocks) != 2 || !l.blocks[first].Equal(until) || !l.blocks[second].Equal(until) {
		t.Errorf("expiry times after Restore = %v, want %v for %v and %v", l.blocks, until, first, second)
	}
	if blocks := l.Report().Blocks; len(blocks) != 2 || blocks["10.1.0.0/16"] <= 0 {
		t.Errorf("Report().Blocks after Restore = %v, want two, with remaining time for 10.1.0.0/16", blocks)
	}
	if err := l.saveBlocks(); err != nil {
		t.Fatalf("saveBlocks: %v", err)
	}
	if got, err := os.ReadFile(path); err != nil || string(got) != string(stored) {
		t.Errorf("after Restore and saveBlocks the file contains %s, %v; want %s", got, err, stored)
	}
	if err := l.Unblock(first); err != nil {
		t.Fatalf("Unblock(%v): %v", first, err)
	}
	const remaining = `{"2001:db8::1/128":"2100-01-01T00:00:00.0000005Z"}`
	if got, err := os.ReadFile(path); err != nil || string(got) != remaining {
		t.Errorf("after Unblock the file contains %s, %v; want %s", got, err, remaining)
	}
}

// newFrozenBlocksLimiter returns a limiter that persists its blocks in the file path.
func newFrozenBlocksLimiter(t *testing.T, path string) *ConnLimiter {
	t.Helper()
	f, err := Parse("a.toml", []byte("version = 1\n"))
	if err != nil {
		t.Fatalf("Parse of a valid file: %v", err)
	}
	l, err := New(f, Capacity{Conns: 100, BodyBytes: 1 << 20}, 1, func() time.Duration { return time.Hour }, path)
	if err != nil {
		t.Fatalf("New: %v", err)
	}
	return l
}
