package hotrestart

import (
	"flag"
	"os"
	"path/filepath"
	"slices"
	"testing"
)

var writeFrozen = flag.Bool("write-frozen", false, "write the files under testdata instead of reading them")

// The files under testdata were written by the program of c8fad44 with
// go test ./internal/handover -run TestFrozenFiles -write-frozen
// The next process finds what one of an older version has left, under the same names, and goes on from there.
func TestFrozenFiles(t *testing.T) {
	const name = "edge proxy/1"
	if *writeFrozen {
		s := Open("testdata", name)
		for _, id := range []string{"s-2", "s-1", "s-3"} {
			if err := s.SetDetached(id, true); err != nil {
				t.Fatal(err)
			}
		}
		if err := s.MarkServing(); err != nil {
			t.Fatal(err)
		}
		if err := os.Remove(s.path("lock")); err != nil {
			t.Fatal(err)
		}
	}
	const base = "lapisspread-656467652070726f78792f31"
	dir := t.TempDir()
	for _, file := range []string{base + ".out", base + ".serving"} {
		text, err := os.ReadFile(filepath.Join("testdata", file))
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, file), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	s := Open(dir, name)
	if want := filepath.Join(dir, base+".memory"); s.Path("memory") != want {
		t.Errorf("path %s, want %s", s.Path("memory"), want)
	}
	changed, err := s.Refresh()
	if err != nil || !changed || !slices.Equal(s.Detached(), []string{"s-1", "s-2", "s-3"}) {
		t.Errorf("read %v, %v: %v", changed, err, s.Detached())
	}
	if !s.Superseded() {
		t.Error("the process that serves is not seen")
	}
	if err := s.SetDetached("s-2", false); err != nil {
		t.Fatal(err)
	}
	if got, err := os.ReadFile(filepath.Join(dir, base+".out")); err != nil || string(got) != `["s-1","s-3"]` {
		t.Errorf("written: %s, %v", got, err)
	}
	if err := s.MarkServing(); err != nil || s.Superseded() {
		t.Errorf("now this one serves: %v, succeeded %v", err, s.Superseded())
	}
}
