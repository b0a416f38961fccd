// Package durable keeps a value of one process on disk for the next: written whole, replaced in one step, with a form's
// number and a checksum, so that what is read is what was written, or an error says why it is not.
//
// Weighed: a database of pages (bbolt, as the ledger of effects has it). For one value of some kilobytes that is replaced
// again and again its pages and its flush bring nothing, and its data pages have no checksum: a flipped bit is read as true.
// A log that is appended to has to be cut, and read to its end at each start: see Journal, for a value of megabytes of which little
// changes at a time. Where single records must be on disk
// before an answer goes out, bbolt is the better place.
//
// Nothing is flushed: the death of a process loses nothing that was written. The death of the machine may leave an older
// value, or one that Load turns away.
package durable

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"strings"
)

// Why there is no value.
var (
	ErrDamaged      = errors.New("it is damaged")
	ErrNewerVersion = errors.New("a newer program has written it")
)

// maxFileBytes is the longest file that is read, in bytes.
const maxFileBytes = 64 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// File is where the value is kept. Its methods are for one goroutine of one process at a time.
type File struct {
	Path    string
	Kind    string // what the value is of, without blanks
	Version int    // of the value, from 1 on; a higher one is not read
}

// header is the file's first line: kind, form, length of the value in bytes and its checksum.
const header = "%s %d %d %08x\n"

// Save puts a value in the place of the one before, so that nobody reads half of it.
func (f *File) Save(v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("durable: %s: %w", f.Path, err)
	}
	next, err := os.CreateTemp(filepath.Dir(f.Path), filepath.Base(f.Path)+".*")
	if err != nil {
		return fmt.Errorf("durable: %w", err)
	}
	_, err = fmt.Fprintf(next, header+"%s", f.Kind, f.Version, len(text), crc32.Checksum(text, castagnoli), text)
	if closed := next.Close(); err == nil {
		err = closed
	}
	if err == nil {
		err = os.Rename(next.Name(), f.Path)
	}
	if err != nil {
		os.Remove(next.Name())
		return fmt.Errorf("durable: %w", err)
	}
	return nil
}

// Load reads the value into v. Where none was written the error is fs.ErrNotExist, else ErrDamaged or ErrNewer; v then holds
// nothing of use.
func (f *File) Load(v any) error {
	file, err := os.Open(f.Path)
	if err != nil {
		return fmt.Errorf("durable: %w", err)
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return fmt.Errorf("durable: %w", err)
	}
	fail := func(why error) error { return fmt.Errorf("durable: %s: %w", f.Path, why) }
	head, body, found := strings.Cut(string(text), "\n")
	var kind string
	var form, length int
	var sum uint32
	if _, err := fmt.Sscanf(head, strings.TrimSuffix(header, "\n"), &kind, &form, &length, &sum); err != nil || !found || kind != f.Kind || form < 1 {
		return fail(ErrDamaged)
	}
	if form > f.Version {
		return fail(fmt.Errorf("%w: form %d, this one reads up to %d", ErrNewerVersion, form, f.Version))
	}
	if length != len(body) || sum != crc32.Checksum([]byte(body), castagnoli) {
		return fail(ErrDamaged)
	}
	if err := json.Unmarshal([]byte(body), v); err != nil {
		return fail(fmt.Errorf("%w: %v", ErrDamaged, err))
	}
	return nil
}
