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

func open(t *testing.T) *File {
	return &File{Path: filepath.Join(t.TempDir(), "state"), Kind: "names", Version: 2}
}

func TestWhatWasSavedIsLoaded(t *testing.T) {
	f := open(t)
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
		t.Fatal("a value that has no form in JSON was saved")
	}
	if left, err := os.ReadDir(filepath.Dir(f.Path)); err != nil || len(left) != 1 {
		t.Fatalf("%v files, %v", len(left), err)
	}
}

// Each bit of a file may flip, and it may end anywhere: what is loaded is then nothing.
func TestNoDamageIsTakenForAValue(t *testing.T) {
	f := open(t)
	if err := f.Save(value{[]string{"node-1", "node-2"}}); err != nil {
		t.Fatal(err)
	}
	whole, err := os.ReadFile(f.Path)
	if err != nil {
		t.Fatal(err)
	}
	try := func(text []byte) {
		t.Helper()
		if err := os.WriteFile(f.Path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		got := value{}
		if err := f.Load(&got); !errors.Is(err, ErrDamaged) && !errors.Is(err, ErrNewerVersion) || got.Names != nil {
			t.Fatalf("%q gives %v, %v", text, got, err)
		}
	}
	for n := range whole {
		try(whole[:n])
		for bit := range 8 {
			bad := bytes.Clone(whole)
			bad[n] ^= 1 << bit
			if bytes.EqualFold(bad[:bytes.IndexByte(append(bad, '\n'), '\n')], whole[:bytes.IndexByte(whole, '\n')]) {
				continue // the same checksum in other letters
			}
			if form := bytes.Fields(bad); n == bytes.IndexByte(whole, ' ')+1 && string(form[1]) == "1" {
				continue // an older form, which this program would read
			}
			try(bad)
		}
	}
	try(append(bytes.Clone(whole), ' '))
}

func TestANewerFormIsNotRead(t *testing.T) {
	f := open(t)
	if err := f.Save(value{}); err != nil {
		t.Fatal(err)
	}
	older := &File{Path: f.Path, Kind: f.Kind, Version: 1}
	if err := older.Load(&value{}); !errors.Is(err, ErrNewerVersion) {
		t.Fatal(err)
	}
	if err := older.Save(value{}); err != nil { // what is remembered is no more than a hint
		t.Fatal(err)
	}
	if err := f.Load(&value{}); err != nil {
		t.Fatalf("an older form: %v", err)
	}
}
