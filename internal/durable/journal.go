package durable

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"iter"
	"os"
	"slices"
)

const (
	// MaxRecordBytes is the length of the longest record of a Journal.
	MaxRecordBytes = 1 << 20
	// writeBufferBytes is how much Rewrite writes at a time.
	writeBufferBytes = 1 << 18
	// maxHeaderBytes is how much of the first line is parsed.
	maxHeaderBytes = 128
)

// The head of each record: the mark, by which the next record is found after damage, the length in bytes, and the
// checksum of length and record.
const (
	markLength         = 2
	lengthEnd          = markLength + 4
	recordHeaderLength = lengthEnd + 4
)

var recordMark = []byte{0xd9, 0x1c}

// ErrModified is returned by Journal.Append if another process has written the journal since this one did, or it was
// removed. Nothing is appended; read or rewrite it first.
var ErrModified = errors.New("another process has written it")

// RecordTooLongError is returned for a record of more than MaxRecordBytes.
type RecordTooLongError struct{}

// Error implements error.
func (RecordTooLongError) Error() string {
	return fmt.Sprintf("a record of over %d bytes", MaxRecordBytes)
}

// Journal is a sequence of records on disk. A change costs as much as what changed. Each record has a checksum: a
// damaged one is left out, and those around it are still read. It is not safe for concurrent use, neither by
// goroutines nor by processes; Append detects another process.
type Journal struct {
	Path    string
	Kind    string // names the type of the records, without blanks
	Version int    // of the records' format, from 1 on; higher ones are not read

	size int64 // of the file after the last write or read; 0 is not known
}

// appendRecord appends a record with its head to a buffer.
func appendRecord(to, record []byte) []byte {
	start := len(to)
	to = append(to, recordMark...)
	to = binary.BigEndian.AppendUint32(to, uint32(len(record)))
	to = binary.BigEndian.AppendUint32(to, recordChecksum(to[start+markLength:], record))
	return append(to, record...)
}

// recordChecksum returns the checksum of a record and its encoded length.
func recordChecksum(length, record []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, record)
}

// Rewrite replaces all records in one step.
func (j *Journal) Rewrite(records iter.Seq[[]byte]) error {
	j.size = 0
	next, err := createNext(j.Path)
	if err != nil {
		return err
	}
	size, err := writeRecords(next, fmt.Appendf(nil, "%s %d\n", j.Kind, j.Version), records)
	if err := replace(j.Path, next, err); err != nil {
		return fmt.Errorf("durable: %s: %w", j.Path, err)
	}
	j.size = size
	return nil
}

// writeRecords writes a header and records, and returns how many bytes these are.
func writeRecords(file *os.File, header []byte, records iter.Seq[[]byte]) (size int64, err error) {
	buffer := header
	for r := range records {
		if len(r) > MaxRecordBytes {
			return size, RecordTooLongError{}
		}
		buffer = appendRecord(buffer, r)
		if len(buffer) < writeBufferBytes {
			continue
		}
		n, err := file.Write(buffer)
		size += int64(n)
		if err != nil {
			return size, err
		}
		buffer = buffer[:0]
	}
	n, err := file.Write(buffer)
	return size + int64(n), err
}

// Append adds records after those that this Journal has read or written. It returns ErrModified if the file is not
// what it was then, and a RecordTooLongError for a record that is too long; nothing is added in both cases.
func (j *Journal) Append(records ...[]byte) error {
	if j.size == 0 {
		return fmt.Errorf("durable: %s: %w", j.Path, ErrModified)
	}
	var text []byte
	for _, r := range records {
		if len(r) > MaxRecordBytes {
			return fmt.Errorf("durable: %s: %w", j.Path, RecordTooLongError{})
		}
		text = appendRecord(text, r)
	}
	file, err := os.OpenFile(j.Path, os.O_WRONLY|os.O_APPEND, 0)
	if errors.Is(err, fs.ErrNotExist) {
		err = ErrModified
	}
	if err != nil {
		return fmt.Errorf("durable: %s: %w", j.Path, err)
	}
	if info, statErr := file.Stat(); statErr != nil || info.Size() != j.size {
		err := fmt.Errorf("durable: %s: %w", j.Path, cmp.Or(statErr, ErrModified))
		return errors.Join(err, file.Close())
	}
	n, err := file.Write(text)
	if err = errors.Join(err, file.Close()); err != nil {
		j.size = 0 // a part of a record may be on disk: all must be rewritten
		return fmt.Errorf("durable: %s: %w", j.Path, err)
	}
	j.size += int64(n)
	return nil
}

// Size returns the length of the file in bytes after the last write or read of this Journal; 0 is not known.
func (j *Journal) Size() int64 { return j.size }

// Unmodified reports whether the file still has the length that this Journal has read or written.
func (j *Journal) Unmodified() bool {
	info, err := os.Stat(j.Path)
	return err == nil && j.size > 0 && info.Size() == j.size
}

// Load returns the undamaged records in the order in which they were written. lost is how many bytes between them are
// cut off or damaged; Append then returns ErrModified until the next Rewrite. The error is fs.ErrNotExist if nothing
// was written, ErrDamaged if nothing can be read, or ErrNewerVersion.
func (j *Journal) Load() (records [][]byte, lost int, err error) {
	j.size = 0
	text, err := readFile(j.Path)
	if err != nil {
		return nil, 0, err
	}
	body, err := j.cutHeader(text)
	if err != nil {
		return nil, 0, fmt.Errorf("durable: %s: %w", j.Path, err)
	}
	records, lost = decodeRecords(body)
	if lost == 0 {
		j.size = int64(len(text))
	}
	return records, lost, nil
}

// cutHeader checks the header of a file and returns what follows it.
func (j *Journal) cutHeader(text []byte) ([]byte, error) {
	head, body, found := bytes.Cut(text, []byte("\n"))
	var kind string
	var version int
	_, err := fmt.Sscanf(string(head[:min(len(head), maxHeaderBytes)]), "%s %d", &kind, &version)
	if err != nil || !found || len(text) > maxFileBytes {
		return nil, ErrDamaged
	}
	if err := checkHeader(kind, j.Kind, version, j.Version); err != nil {
		return nil, err
	}
	return body, nil
}

// decodeRecords returns the undamaged records of a text, and how many bytes are of none.
func decodeRecords(text []byte) (records [][]byte, lost int) {
	for len(text) > 0 {
		if r, ok := firstRecord(text); ok {
			records = append(records, slices.Clip(r))
			text = text[recordHeaderLength+len(r):]
			continue
		}
		next := bytes.Index(text[1:], recordMark)
		if next < 0 {
			next = len(text) - 1
		}
		lost += 1 + next
		text = text[1+next:]
	}
	return records, lost
}

// firstRecord returns the record that a text begins with; ok is false if it begins with none that is undamaged.
func firstRecord(text []byte) (record []byte, ok bool) {
	if len(text) < recordHeaderLength || !bytes.HasPrefix(text, recordMark) {
		return nil, false
	}
	length := binary.BigEndian.Uint32(text[markLength:])
	if length > MaxRecordBytes || int(length) > len(text)-recordHeaderLength {
		return nil, false
	}
	record = text[recordHeaderLength : recordHeaderLength+int(length)]
	checksum := binary.BigEndian.Uint32(text[lengthEnd:])
	return record, checksum == recordChecksum(text[markLength:lengthEnd], record)
}
