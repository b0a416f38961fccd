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

// newJournal returns a Journal in a new directory.
func newJournal(t *testing.T) *Journal {
	return &Journal{Path: filepath.Join(t.TempDir(), "records"), Kind: "names", Version: 2}
}

// records returns a record for each name.
func records(names ...string) (all [][]byte) {
	for _, name := range names {
		all = append(all, []byte(name))
	}
	return all
}

// reopen returns a second Journal for the same file, as another process opens it.
func reopen(j *Journal) *Journal { return &Journal{Path: j.Path, Kind: j.Kind, Version: j.Version} }

// load returns the records that another process reads, and the number of lost bytes.
func load(t *testing.T, j *Journal) (names []string, lost int) {
	t.Helper()
	all, lost, err := reopen(j).Load()
	if err != nil {
		t.Fatalf("Load by another process: %v", err)
	}
	for _, r := range all {
		names = append(names, string(r))
	}
	return names, lost
}

// Load returns all records that were written, and a rejected write changes nothing.
func TestJournalReturnsWhatWasWritten(t *testing.T) {
	j := newJournal(t)
	if _, _, err := j.Load(); !errors.Is(err, fs.ErrNotExist) {
		t.Fatalf("Load before the first Rewrite = %v, want fs.ErrNotExist", err)
	}
	if err := j.Append(records("x")...); !errors.Is(err, ErrModified) {
		t.Fatalf("Append before the first Rewrite = %v, want ErrModified", err)
	}
	if err := j.Rewrite(slices.Values(records("a", "", "b"))); err != nil {
		t.Fatalf("Rewrite: %v", err)
	}
	if err := j.Append(records("c", "d")...); err != nil {
		t.Fatalf("Append after Rewrite: %v", err)
	}
	if got, lost := load(t, j); fmt.Sprint(got) != "[a  b c d]" || lost != 0 {
		t.Fatalf("Load by another process = %q with %d bytes lost, want [a, empty, b, c, d] with 0", got, lost)
	}
	next := reopen(j)
	if _, _, err := next.Load(); err != nil {
		t.Fatalf("Load by the second process: %v", err)
	}
	if err := next.Append(records("e")...); err != nil {
		t.Fatalf("Append by the second process: %v", err)
	}
	if err := j.Append(records("f")...); !errors.Is(err, ErrModified) {
		t.Errorf("Append after an Append by another process = %v, want ErrModified", err)
	}
	var tooLong RecordTooLongError
	if err := next.Append(make([]byte, MaxRecordBytes+1)); !errors.As(err, &tooLong) {
		t.Errorf("Append of a record that is too long = %v, want RecordTooLongError", err)
	}
	if err := j.Rewrite(slices.Values([][]byte{make([]byte, MaxRecordBytes+1)})); !errors.As(err, &tooLong) {
		t.Errorf("Rewrite with a record that is too long = %v, want RecordTooLongError", err)
	}
	if got, _ := load(t, j); fmt.Sprint(got) != "[a  b c d e]" {
		t.Errorf("after rejected writes the file contains the records %q, want [a, empty, b, c, d, e]", got)
	}
	if entries, err := os.ReadDir(filepath.Dir(j.Path)); err != nil || len(entries) != 1 {
		t.Fatalf("after all writes the directory contains %d files, %v; want 1", len(entries), err)
	}
	older := Journal{Path: j.Path, Kind: j.Kind, Version: 1}
	if _, _, err := older.Load(); !errors.Is(err, ErrNewerVersion) {
		t.Errorf("Load of a journal of version 2 by a reader of version 1 = %v, want ErrNewerVersion", err)
	}
}

// For a file in which any bit is flipped or which is truncated anywhere after the header, Load returns only records
// that were written, in order. A flipped bit loses at most the record that contains it.
func TestLoadLeavesOutDamagedRecords(t *testing.T) {
	j := newJournal(t)
	var names []string
	for i := range 12 { // the names contain copies of recordMark, which must not be taken for the start of a record
		names = append(names, fmt.Sprintf("record %02d %.*s", i, i, "\xd9\x1c\xd9\x1c\xd9\x1c\xd9\x1c"))
	}
	if err := j.Rewrite(slices.Values(records(names...))); err != nil {
		t.Fatalf("Rewrite: %v", err)
	}
	intact, err := os.ReadFile(j.Path)
	if err != nil {
		t.Fatalf("reading the journal's file: %v", err)
	}
	bodyStart := slices.Index(intact, '\n') + 1
	check := func(text []byte, minRecords int) {
		t.Helper()
		if err := os.WriteFile(j.Path, text, 0o600); err != nil {
			t.Fatalf("writing the damaged file: %v", err)
		}
		got, lost := load(t, j)
		start := 0 // index in names of the first record that may come next
		for _, name := range got {
			i := slices.Index(names[start:], name)
			if i < 0 {
				t.Fatalf("Load returned record %q, which was not written or is out of order; all records: %q",
					name, got)
			}
			start += i + 1
		}
		if len(got) < minRecords || len(got) < len(names) && lost == 0 && len(text) == len(intact) {
			t.Fatalf("Load of the damaged file = %d of %d records with %d bytes lost; want at least %d records, "+
				"and lost bytes if a record is missing", len(got), len(names), lost, minRecords)
		}
		next := reopen(j)
		if _, _, err := next.Load(); err != nil {
			t.Fatalf("Load before Append: %v", err)
		}
		if err := next.Append(records("z")...); (err == nil) != (lost == 0) {
			t.Fatalf("Append after a Load with %d bytes lost = %v, want an error only if bytes were lost", lost, err)
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
