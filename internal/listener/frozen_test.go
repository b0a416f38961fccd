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

// testdata/blocks was written by the program of c8fad44 with go test ./internal/door -run TestFrozenBlocks -write-frozen
// The next process takes in what one of an older version has blocked, and goes on from there.
func TestFrozenBlocks(t *testing.T) {
	until := time.Date(2100, 1, 1, 0, 0, 0, 500, time.UTC)
	first, second := netip.MustParsePrefix("10.1.0.0/16"), netip.MustParsePrefix("2001:db8::1/128")
	if *writeFrozen {
		d := openFrozen(t, "testdata/blocks")
		d.blocks[first], d.blocks[second] = until, until
		if err := d.save(); err != nil {
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
	d := openFrozen(t, path)
	if err := d.Restore(); err != nil {
		t.Fatal(err)
	}
	if len(d.blocks) != 2 || !d.blocks[first].Equal(until) || !d.blocks[second].Equal(until) {
		t.Errorf("the blocks: %v", d.blocks)
	}
	if blocks := d.Report().Blocks; len(blocks) != 2 || blocks["10.1.0.0/16"] <= 0 {
		t.Errorf("the blocks that hold: %v", blocks)
	}
	if err := d.save(); err != nil {
		t.Fatal(err)
	}
	if got, err := os.ReadFile(path); err != nil || string(got) != string(kept) {
		t.Errorf("written again: %s, %v; want %s", got, err, kept)
	}
	if err := d.Unblock(first); err != nil {
		t.Fatal(err)
	}
	const left = `{"2001:db8::1/128":"2100-01-01T00:00:00.0000005Z"}`
	if got, err := os.ReadFile(path); err != nil || string(got) != left {
		t.Errorf("with one block less: %s, %v; want %s", got, err, left)
	}
}

func openFrozen(t *testing.T, path string) *ConnLimiter {
	t.Helper()
	f, err := Parse("a.toml", []byte("version = 1\n"))
	if err != nil {
		t.Fatal(err)
	}
	d, err := New(f, Capacity{Conns: 100, BodyBytes: 1 << 20}, 1, func() time.Duration { return time.Hour }, path)
	if err != nil {
		t.Fatal(err)
	}
	return d
}
