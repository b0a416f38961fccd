package durable

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"testing"
)

func journal(t *testing.T) *Journal {
	return &Journal{Path: filepath.Join(t.TempDir(), "records"), Kind: "names", Version: 2}
}

func records(names ...string) (all [][]byte) {
	for _, n := range names {
		all = append(all, []byte(n))
	}
	return all
}

// loaded are the records that another process finds.
func (j *Journal) loaded(t *testing.T) (names []string, lost int) {
	t.Helper()
	next := Journal{Path: j.Path, Kind: j.Kind, Version: j.Version}
	all, lost, err := next.Load()
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range all {
		names = append(names, string(r))
	}
	return names, lost
}

func TestAJournalGivesBackWhatWasWritten(t *testing.T) {
	j := journal(t)
	if _, _, err := j.Load(); !errors.Is(err, fs.ErrNotExist) {
		t.Fatalf("before the first: %v", err)
	}
	if err := j.Append(records("x")...); !errors.Is(err, ErrModified) {
		t.Fatalf("appended to nothing: %v", err)
	}
	if err := j.Rewrite(slices.Values(records("a", "", "b"))); err != nil {
		t.Fatal(err)
	}
	if err := j.Append(records("c", "d")...); err != nil {
		t.Fatal(err)
	}
	if got, lost := j.loaded(t); fmt.Sprint(got) != "[a  b c d]" || lost != 0 {
		t.Fatalf("%q, %d bytes lost", got, lost)
	}
	next := Journal{Path: j.Path, Kind: j.Kind, Version: j.Version}
	if _, _, err := next.Load(); err != nil {
		t.Fatal(err)
	}
	if err := next.Append(records("e")...); err != nil {
		t.Fatal(err)
	}
	if err := j.Append(records("f")...); !errors.Is(err, ErrModified) {
		t.Errorf("it did not see the other process: %v", err)
	}
	if err := j.Append(make([]byte, MaxRecordBytes+1)); err == nil {
		t.Error("a record of any length was taken")
	}
	if err := j.Rewrite(slices.Values([][]byte{make([]byte, MaxRecordBytes+1)})); err == nil {
		t.Error("a record of any length was taken")
	}
	if got, _ := j.loaded(t); fmt.Sprint(got) != "[a  b c d e]" {
		t.Errorf("what was refused has changed it: %q", got)
	}
	if left, err := os.ReadDir(filepath.Dir(j.Path)); err != nil || len(left) != 1 {
		t.Fatalf("%v files, %v", len(left), err)
	}
	newer := Journal{Path: j.Path, Kind: j.Kind, Version: 1}
	if _, _, err := newer.Load(); !errors.Is(err, ErrNewerVersion) {
		t.Errorf("a newer form: %v", err)
	}
}

// Each bit may flip, and the file may end anywhere: what is loaded is then some of what was written, in order, and never anything else.
// One flipped bit costs at most the record that it is in.
func TestNoDamageIsTakenForARecord(t *testing.T) {
	j := journal(t)
	var names []string
	for i := range 12 {
		names = append(names, fmt.Sprintf("record %02d %.*s", i, i, "\xd9\x1c\xd9\x1c\xd9\x1c\xd9\x1c"))
	}
	if err := j.Rewrite(slices.Values(records(names...))); err != nil {
		t.Fatal(err)
	}
	whole, err := os.ReadFile(j.Path)
	if err != nil {
		t.Fatal(err)
	}
	head := slices.Index(whole, '\n') + 1
	try := func(text []byte, least int) {
		t.Helper()
		if err := os.WriteFile(j.Path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		got, lost := j.loaded(t)
		at := 0
		for _, g := range got {
			i := slices.Index(names[at:], g)
			if i < 0 {
				t.Fatalf("%q was never written, or not there", g)
			}
			at += i + 1
		}
		if len(got) < least || len(got) < len(names) && lost == 0 && len(text) == len(whole) {
			t.Fatalf("%d records, %d bytes lost", len(got), lost)
		}
		next := Journal{Path: j.Path, Kind: j.Kind, Version: j.Version}
		if _, _, err := next.Load(); err != nil {
			t.Fatal(err)
		}
		if err := next.Append(records("z")...); (err == nil) != (lost == 0) {
			t.Fatalf("%d bytes lost, and appended to: %v", lost, err)
		}
	}
	for i := head; i < len(whole); i++ {
		for bit := range 8 {
			text := slices.Clone(whole)
			text[i] ^= 1 << bit
			try(text, len(names)-1)
		}
	}
	for n := head; n < len(whole); n++ {
		try(whole[:n], 0)
	}
}
