package durable

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"iter"
	"os"
	"path/filepath"
	"slices"
)

// MaxRecordBytes is the longest record of a Journal, in bytes.
const MaxRecordBytes = 1 << 20

// Journal keeps records of one process on disk for the next: they are appended, and now and then written anew in one step, so
// that a change costs what changed. Each has a checksum; what is damaged is left out by itself, and the records around it are still
// read. Its methods are for one goroutine of one process at a time; where another process writes beside this one, Append says so.
//
// Weighed: a File for each record (thousands of them), and a database of pages (see File). Like a File it is not flushed.
type Journal struct {
	Path    string
	Kind    string // what the records are of, without blanks
	Version int    // of the records, from 1 on; a higher one is not read

	size int64 // after this one's last write or read; 0 is none
}

// ErrModified is what Append says if another process has written the journal since, or it is gone: it is to be read or written anew.
var ErrModified = errors.New("another process has written it")

// Each record has a head: a mark to find the next one by after damage, the length in bytes, and the checksum of length and record.
const recordHeaderLength = 2 + 4 + 4

var recordMark = []byte{0xd9, 0x1c}

func appendRecord(to, record []byte) []byte {
	at := len(to)
	to = append(to, recordMark...)
	to = binary.BigEndian.AppendUint32(to, uint32(len(record)))
	sum := crc32.Update(crc32.Checksum(to[at+2:], castagnoli), castagnoli, record)
	to = binary.BigEndian.AppendUint32(to, sum)
	return append(to, record...)
}

// Rewrite puts records in the place of all before, in one step.
func (j *Journal) Rewrite(records iter.Seq[[]byte]) error {
	j.size = 0
	next, err := os.CreateTemp(filepath.Dir(j.Path), filepath.Base(j.Path)+".*")
	if err != nil {
		return fmt.Errorf("durable: %w", err)
	}
	text := fmt.Appendf(nil, "%s %d\n", j.Kind, j.Version)
	size := int64(0)
	flush := func(least int) {
		if err == nil && len(text) >= least {
			var n int
			n, err = next.Write(text)
			size += int64(n)
			text = text[:0]
		}
	}
	for r := range records {
		if len(r) > MaxRecordBytes {
			err = errors.Join(err, errTooLong)
			break
		}
		text = appendRecord(text, r)
		flush(1 << 18)
	}
	flush(0)
	if closed := next.Close(); err == nil {
		err = closed
	}
	if err == nil {
		err = os.Rename(next.Name(), j.Path)
	}
	if err != nil {
		os.Remove(next.Name())
		return fmt.Errorf("durable: %s: %w", j.Path, err)
	}
	j.size = size
	return nil
}

var errTooLong = fmt.Errorf("a record of over %d bytes", MaxRecordBytes)

// Append adds records after those that this one has read or written. ErrOther is that the file isn't what it was: nothing is added.
func (j *Journal) Append(records ...[]byte) error {
	if j.size == 0 {
		return fmt.Errorf("durable: %s: %w", j.Path, ErrModified)
	}
	var text []byte
	for _, r := range records {
		if len(r) > MaxRecordBytes {
			return fmt.Errorf("durable: %s: %w", j.Path, errTooLong)
		}
		text = appendRecord(text, r)
	}
	file, err := os.OpenFile(j.Path, os.O_WRONLY|os.O_APPEND, 0)
	if errors.Is(err, os.ErrNotExist) {
		err = ErrModified
	}
	if err != nil {
		return fmt.Errorf("durable: %s: %w", j.Path, err)
	}
	if info, stat := file.Stat(); stat != nil || info.Size() != j.size {
		return errors.Join(fmt.Errorf("durable: %s: %w", j.Path, cmp.Or(stat, ErrModified)), file.Close())
	}
	n, err := file.Write(text)
	if err = errors.Join(err, file.Close()); err != nil {
		j.size = 0 // half a record may be there: the next write is of all
		return fmt.Errorf("durable: %s: %w", j.Path, err)
	}
	j.size += int64(n)
	return nil
}

// Size is how long the file is, in bytes, after this one's last write or read; 0 is not known.
func (j *Journal) Size() int64 { return j.size }

// Unmodified tells whether the file is still as long as this one has left or found it.
func (j *Journal) Unmodified() bool {
	info, err := os.Stat(j.Path)
	return err == nil && j.size > 0 && info.Size() == j.size
}

// Load reads the records that are whole, in the order in which they were written. Lost is how many bytes between them could not be read: a
// cut end, or damage. Where nothing was written the error is fs.ErrNotExist, else ErrDamaged (nothing can be read) or ErrNewer.
func (j *Journal) Load() (records [][]byte, lost int, err error) {
	j.size = 0
	file, err := os.Open(j.Path)
	if err != nil {
		return nil, 0, fmt.Errorf("durable: %w", err)
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, 0, fmt.Errorf("durable: %w", err)
	}
	fail := func(why error) error { return fmt.Errorf("durable: %s: %w", j.Path, why) }
	head, rest, found := bytes.Cut(text, []byte("\n"))
	var kind string
	var form int
	if _, err := fmt.Sscanf(string(head[:min(len(head), 128)]), "%s %d", &kind, &form); err != nil || !found || kind != j.Kind || form < 1 || len(text) > maxFileBytes {
		return nil, 0, fail(ErrDamaged)
	}
	if form > j.Version {
		return nil, 0, fail(fmt.Errorf("%w: form %d, this one reads up to %d", ErrNewerVersion, form, j.Version))
	}
	for len(rest) > 0 {
		if r, ok := firstRecord(rest); ok {
			records = append(records, slices.Clip(r))
			rest = rest[recordHeaderLength+len(r):]
			continue
		}
		next := bytes.Index(rest[1:], recordMark)
		if next < 0 {
			next = len(rest) - 1
		}
		lost += 1 + next
		rest = rest[1+next:]
	}
	if lost == 0 {
		j.size = int64(len(text)) // after damage all is to be written anew
	}
	return records, lost, nil
}

// firstRecord is the record that a text begins with.
func firstRecord(text []byte) ([]byte, bool) {
	if len(text) < recordHeaderLength || !bytes.HasPrefix(text, recordMark) {
		return nil, false
	}
	n := binary.BigEndian.Uint32(text[2:])
	if n > MaxRecordBytes || int(n) > len(text)-recordHeaderLength {
		return nil, false
	}
	r := text[recordHeaderLength : recordHeaderLength+int(n)]
	sum := crc32.Update(crc32.Checksum(text[2:6], castagnoli), castagnoli, r)
	return r, sum == binary.BigEndian.Uint32(text[6:])
}
