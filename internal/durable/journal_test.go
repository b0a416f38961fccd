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

func newJournal(t *testing.T) *Journal {
	return &Journal{Path: filepath.Join(t.TempDir(), "records"), Kind: "names", Version: 2}
}

func records(names ...string) (all [][]byte) {
	for _, n := range names {
		all = append(all, []byte(n))
	}
	return all
}

// reopen returns the journal as another process opens it.
func reopen(j *Journal) *Journal { return &Journal{Path: j.Path, Kind: j.Kind, Version: j.Version} }

// load returns the records that another process reads.
func load(t *testing.T, j *Journal) (names []string, lost int) {
	t.Helper()
	all, lost, err := reopen(j).Load()
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range all {
		names = append(names, string(r))
	}
	return names, lost
}

func TestJournalReturnsWhatWasWritten(t *testing.T) {
	j := newJournal(t)
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
	if got, lost := load(t, j); fmt.Sprint(got) != "[a  b c d]" || lost != 0 {
		t.Fatalf("%q, %d bytes lost", got, lost)
	}
	next := reopen(j)
	if _, _, err := next.Load(); err != nil {
		t.Fatal(err)
	}
	if err := next.Append(records("e")...); err != nil {
		t.Fatal(err)
	}
	if err := j.Append(records("f")...); !errors.Is(err, ErrModified) {
		t.Errorf("another process was not detected: %v", err)
	}
	var tooLong RecordTooLongError
	if err := next.Append(make([]byte, MaxRecordBytes+1)); !errors.As(err, &tooLong) {
		t.Errorf("appending a record that is too long: %v", err)
	}
	if err := j.Rewrite(slices.Values([][]byte{make([]byte, MaxRecordBytes+1)})); !errors.As(err, &tooLong) {
		t.Errorf("rewriting a record that is too long: %v", err)
	}
	if got, _ := load(t, j); fmt.Sprint(got) != "[a  b c d e]" {
		t.Errorf("a rejected write has changed the file: %q", got)
	}
	if left, err := os.ReadDir(filepath.Dir(j.Path)); err != nil || len(left) != 1 {
		t.Fatalf("%v files, %v", len(left), err)
	}
	newer := Journal{Path: j.Path, Kind: j.Kind, Version: 1}
	if _, _, err := newer.Load(); !errors.Is(err, ErrNewerVersion) {
		t.Errorf("a newer version: %v", err)
	}
}

// Whichever bit is flipped, and wherever the file is cut off, Load returns some of the records that were written, in
// order, and nothing else. One flipped bit loses no record but the one that it is in.
func TestLoadLeavesOutDamagedRecords(t *testing.T) {
	j := newJournal(t)
	var names []string
	for i := range 12 {
		names = append(names, fmt.Sprintf("record %02d %.*s", i, i, "\xd9\x1c\xd9\x1c\xd9\x1c\xd9\x1c"))
	}
	if err := j.Rewrite(slices.Values(records(names...))); err != nil {
		t.Fatal(err)
	}
	intact, err := os.ReadFile(j.Path)
	if err != nil {
		t.Fatal(err)
	}
	bodyStart := slices.Index(intact, '\n') + 1
	check := func(text []byte, minRecords int) {
		t.Helper()
		if err := os.WriteFile(j.Path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		got, lost := load(t, j)
		at := 0
		for _, g := range got {
			i := slices.Index(names[at:], g)
			if i < 0 {
				t.Fatalf("%q was never written, or is out of order", g)
			}
			at += i + 1
		}
		if len(got) < minRecords || len(got) < len(names) && lost == 0 && len(text) == len(intact) {
			t.Fatalf("%d records, %d bytes lost", len(got), lost)
		}
		next := reopen(j)
		if _, _, err := next.Load(); err != nil {
			t.Fatal(err)
		}
		if err := next.Append(records("z")...); (err == nil) != (lost == 0) {
			t.Fatalf("%d bytes lost, and Append returned %v", lost, err)
		}
	}
	for i := bodyStart; i < len(intact); i++ {
		for bit := range 8 {
			text := slices.Clone(intact)
			text[i] ^= 1 << bit
			check(text, len(names)-1)
		}
	}
	for n := bodyStart; n < len(intact); n++ {
		check(intact[:n], 0)
	}
}
