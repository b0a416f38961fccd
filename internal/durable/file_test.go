package durable

import (
	"bytes"
	"errors"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"testing"
)

type value struct{ Names []string }

func newFile(t *testing.T) *File {
	return &File{Path: filepath.Join(t.TempDir(), "state"), Kind: "names", Version: 2}
}

func TestLoadReturnsWhatWasSaved(t *testing.T) {
	f := newFile(t)
	var got value
	if err := f.Load(&got); !errors.Is(err, fs.ErrNotExist) {
		t.Fatalf("before the first: %v", err)
	}
	for _, name := range []string{"a", "b"} {
		if err := f.Save(value{[]string{name}}); err != nil {
			t.Fatal(err)
		}
		if err := f.Load(&got); err != nil || len(got.Names) != 1 || got.Names[0] != name {
			t.Fatalf("%v, %v; want %s", got, err, name)
		}
	}
	if err := f.Save(math.NaN()); err == nil {
		t.Fatal("a value that JSON cannot represent was saved")
	}
	if left, err := os.ReadDir(filepath.Dir(f.Path)); err != nil || len(left) != 1 {
		t.Fatalf("%v files, %v", len(left), err)
	}
}

// Whichever bit of a file is flipped, and wherever it is cut off, Load returns no value.
func TestLoadRejectsDamagedFiles(t *testing.T) {
	f := newFile(t)
	if err := f.Save(value{[]string{"node-1", "node-2"}}); err != nil {
		t.Fatal(err)
	}
	intact, err := os.ReadFile(f.Path)
	if err != nil {
		t.Fatal(err)
	}
	checkRejected := func(text []byte) {
		t.Helper()
		if err := os.WriteFile(f.Path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		got := value{}
		if err := f.Load(&got); !errors.Is(err, ErrDamaged) && !errors.Is(err, ErrNewerVersion) || got.Names != nil {
			t.Fatalf("%q gives %v, %v", text, got, err)
		}
	}
	header := intact[:bytes.IndexByte(intact, '\n')]
	for n := range intact {
		checkRejected(intact[:n])
		for bit := range 8 {
			damaged := bytes.Clone(intact)
			damaged[n] ^= 1 << bit
			if bytes.EqualFold(damaged[:bytes.IndexByte(append(damaged, '\n'), '\n')], header) {
				continue // the same checksum in other letters
			}
			version := bytes.Fields(damaged)
			if n == bytes.IndexByte(intact, ' ')+1 && string(version[1]) == "1" {
				continue // an older version, which is read
			}
			checkRejected(damaged)
		}
	}
	checkRejected(append(bytes.Clone(intact), ' '))
}

func TestLoadRejectsNewerVersions(t *testing.T) {
	f := newFile(t)
	if err := f.Save(value{}); err != nil {
		t.Fatal(err)
	}
	older := &File{Path: f.Path, Kind: f.Kind, Version: 1}
	if err := older.Load(&value{}); !errors.Is(err, ErrNewerVersion) {
		t.Fatal(err)
	}
	if err := older.Save(value{}); err != nil {
		t.Fatal(err)
	}
	if err := f.Load(&value{}); err != nil {
		t.Fatalf("an older version: %v", err)
	}
}
