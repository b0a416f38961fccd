package hotrestart

import (
	"flag"
	"os"
	"path/filepath"
	"slices"
	"testing"
)

var writeFrozen = flag.Bool("write-frozen", false, "write the files under testdata instead of reading them")

// A process reads the files that a process of an older version wrote, under the same names, and continues from that
// state. The files under testdata were written at commit c8fad44, when this package was internal/handover, with
//
//	go test ./internal/handover -run TestFrozenFiles -write-frozen
func TestFrozenFiles(t *testing.T) {
	const name = "edge proxy/1"
	if *writeFrozen {
		s := Open("testdata", name)
		for _, id := range []string{"s-2", "s-1", "s-3"} {
			if err := s.SetDetached(id, true); err != nil {
				t.Fatalf("SetDetached(%s, true): %v", id, err)
			}
		}
		if err := s.MarkServing(); err != nil {
			t.Fatalf("MarkServing: %v", err)
		}
		if err := os.Remove(s.path("lock")); err != nil {
			t.Fatalf("removing the lock file: %v", err)
		}
	}
	const base = "lapisspread-656467652070726f78792f31"
	dir := t.TempDir()
	for _, file := range []string{base + ".out", base + ".serving"} {
		text, err := os.ReadFile(filepath.Join("testdata", file))
		if err != nil {
			t.Fatalf("reading the stored file: %v", err)
		}
		if err := os.WriteFile(filepath.Join(dir, file), text, 0o600); err != nil {
			t.Fatalf("copying the stored file: %v", err)
		}
	}
	s := Open(dir, name)
	if want := filepath.Join(dir, base+".memory"); s.Path("memory") != want {
		t.Errorf("Path(memory) = %s, want %s", s.Path("memory"), want)
	}
	changed, err := s.Refresh()
	if err != nil || !changed || !slices.Equal(s.Detached(), []string{"s-1", "s-2", "s-3"}) {
		t.Errorf("Refresh() = %v, %v with detached backends %q; want true, nil and [s-1 s-2 s-3]",
			changed, err, s.Detached())
	}
	if !s.Superseded() {
		t.Error("Superseded() = false although the stored file names another serving process, want true")
	}
	if err := s.SetDetached("s-2", false); err != nil {
		t.Fatalf("SetDetached(s-2, false): %v", err)
	}
	if got, err := os.ReadFile(filepath.Join(dir, base+".out")); err != nil || string(got) != `["s-1","s-3"]` {
		t.Errorf("after SetDetached(s-2, false) the file contains %q, %v; want [\"s-1\",\"s-3\"]", got, err)
	}
	if err := s.MarkServing(); err != nil || s.Superseded() {
		t.Errorf("MarkServing() = %v, and then Superseded() = %v; want nil and false", err, s.Superseded())
	}
}
