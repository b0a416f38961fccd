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
	// MaxRecordBytes is the maximum length of a record of a Journal.
	MaxRecordBytes = 1 << 20
	// writeBufferBytes is the size at which Rewrite writes its buffer to the file.
	writeBufferBytes = 1 << 18
	// maxHeaderBytes is the maximum number of bytes of the first line that are parsed.
	maxHeaderBytes = 128
)

// Layout of the header of each record, in bytes: recordMark, the length of the record, and the checksum of the length
// and the record.
const (
	markLength         = 2
	lengthEnd          = markLength + 4
	recordHeaderLength = lengthEnd + 4
)

// recordMark is the start of each record, by which the next record is found after a damaged one.
var recordMark = []byte{0xd9, 0x1c}

// ErrModified is returned by Journal.Append if the file was changed by another process or removed since this Journal
// last read or wrote it, or if Load found damage. Nothing is appended. After Rewrite, or a Load that finds no damage,
// Append works again.
var ErrModified = errors.New("another process has written it")

// RecordTooLongError is returned for a record of more than MaxRecordBytes.
type RecordTooLongError struct{}

// Error returns a text with the maximum length.
func (RecordTooLongError) Error() string {
	return fmt.Sprintf("a record of over %d bytes", MaxRecordBytes)
}

// Journal is a sequence of records on disk. The cost of a change is proportional to the size of the changed records.
// Each record has a checksum: a damaged record is skipped, and the records around it are still read. A Journal is not
// safe for concurrent use by goroutines or processes, but Append detects changes by another process.
type Journal struct {
	Path    string
	Kind    string // name of the records' type, without spaces
	Version int    // version of the records' format, at least 1; files of a higher version are not read

	size int64 // size of the file after the last successful read or write; 0 if unknown
}

// appendRecord appends a record with its header to a buffer and returns the extended buffer.
func appendRecord(buffer, record []byte) []byte {
	start := len(buffer)
	buffer = append(buffer, recordMark...)
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(record)))
	buffer = binary.BigEndian.AppendUint32(buffer, recordChecksum(buffer[start+markLength:], record))
	return append(buffer, record...)
}

// recordChecksum returns the checksum of a record's encoded length followed by the record.
func recordChecksum(length, record []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, record)
}

// Rewrite atomically replaces all records. It returns a RecordTooLongError if a record is too long; after any error the
// file is unchanged, and Append returns ErrModified until the next successful Load or Rewrite.
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

// writeRecords writes a header and records to a file, and returns the number of bytes written.
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

// Append adds records after those that this Journal last read or wrote. It returns ErrModified if the file has changed
// since then, and a RecordTooLongError if a record is too long; in both cases it adds nothing.
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
		j.size = 0 // a partial record may be on disk, so the caller must call Rewrite
		return fmt.Errorf("durable: %s: %w", j.Path, err)
	}
	j.size += int64(n)
	return nil
}

// Size returns the size of the file in bytes after this Journal's last read or write, or 0 if it is unknown.
func (j *Journal) Size() int64 { return j.size }

// Unmodified reports whether the file still has the size that it had after this Journal's last read or write.
func (j *Journal) Unmodified() bool {
	info, err := os.Stat(j.Path)
	return err == nil && j.size > 0 && info.Size() == j.size
}

// Load returns the undamaged records in the order in which they were written. lost is the number of bytes that belong
// to no undamaged record; if it is not 0, Append returns ErrModified until the next Rewrite. The error wraps
// fs.ErrNotExist if nothing was written, ErrDamaged if the header is damaged or the file is too long, ErrNewerVersion,
// or an error of reading the file.
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

// cutHeader checks the header of a file and returns the rest of the file.
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

// decodeRecords returns the undamaged records of a text, and the number of bytes that belong to none of them.
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

// firstRecord returns the record at the start of a text; ok is false if there is no undamaged record at the start.
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
