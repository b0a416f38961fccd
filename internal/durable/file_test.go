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

// newFile returns a File in a new directory.
func newFile(t *testing.T) *File {
	return &File{Path: filepath.Join(t.TempDir(), "state"), Kind: "names", Version: 2}
}

// Load returns the value of the last Save, and a failed Save leaves no temporary file.
func TestLoadReturnsWhatWasSaved(t *testing.T) {
	f := newFile(t)
	var got value
	if err := f.Load(&got); !errors.Is(err, fs.ErrNotExist) {
		t.Fatalf("Load before the first Save = %v, want fs.ErrNotExist", err)
	}
	for _, name := range []string{"a", "b"} {
		if err := f.Save(value{[]string{name}}); err != nil {
			t.Fatalf("Save of name %s: %v", name, err)
		}
		if err := f.Load(&got); err != nil || len(got.Names) != 1 || got.Names[0] != name {
			t.Fatalf("Load = %+v, %v; want the saved name %s", got, err, name)
		}
	}
	if err := f.Save(math.NaN()); err == nil {
		t.Fatal("Save(NaN), which JSON cannot represent, returned no error")
	}
	if entries, err := os.ReadDir(filepath.Dir(f.Path)); err != nil || len(entries) != 1 {
		t.Fatalf("after all Saves the directory contains %d files, %v; want 1", len(entries), err)
	}
}

// Load returns an error and no value for a file in which any bit is flipped or which is truncated anywhere.
func TestLoadRejectsDamagedFiles(t *testing.T) {
	f := newFile(t)
	if err := f.Save(value{[]string{"node-1", "node-2"}}); err != nil {
		t.Fatalf("Save: %v", err)
	}
	intact, err := os.ReadFile(f.Path)
	if err != nil {
		t.Fatalf("reading the saved file: %v", err)
	}
	checkRejected := func(text []byte) {
		t.Helper()
		if err := os.WriteFile(f.Path, text, 0o600); err != nil {
			t.Fatalf("writing the damaged file: %v", err)
		}
		got := value{}
		if err := f.Load(&got); !errors.Is(err, ErrDamaged) && !errors.Is(err, ErrNewerVersion) || got.Names != nil {
			t.Fatalf("Load of the damaged file %q = %+v, %v; want no value and ErrDamaged or ErrNewerVersion",
				text, got, err)
		}
	}
	header := intact[:bytes.IndexByte(intact, '\n')]
	for n := range intact {
		checkRejected(intact[:n])
		for bit := range 8 {
			damaged := bytes.Clone(intact)
			damaged[n] ^= 1 << bit
			if bytes.EqualFold(damaged[:bytes.IndexByte(append(damaged, '\n'), '\n')], header) {
				continue // the flip only changed the case of a letter of the checksum
			}
			fields := bytes.Fields(damaged)
			if n == bytes.IndexByte(intact, ' ')+1 && string(fields[1]) == "1" {
				continue // the flip changed the version to 1, and files of an older version are read
			}
			checkRejected(damaged)
		}
	}
	checkRejected(append(bytes.Clone(intact), ' '))
}

// Load reads files of its own version and of older versions, and rejects those of newer versions.
func TestLoadRejectsNewerVersions(t *testing.T) {
	f := newFile(t)
	if err := f.Save(value{}); err != nil {
		t.Fatalf("Save of version 2: %v", err)
	}
	older := &File{Path: f.Path, Kind: f.Kind, Version: 1}
	if err := older.Load(&value{}); !errors.Is(err, ErrNewerVersion) {
		t.Fatalf("Load of a file of version 2 by a reader of version 1 = %v, want ErrNewerVersion", err)
	}
	if err := older.Save(value{}); err != nil {
		t.Fatalf("Save of version 1: %v", err)
	}
	if err := f.Load(&value{}); err != nil {
		t.Fatalf("Load of a file of version 1 by a reader of version 2 = %v, want no error", err)
	}
}
