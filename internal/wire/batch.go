package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"
)

const (
	// batchHeaderBytes is the length of a batch's header, in bytes.
	batchHeaderBytes = 20
	// readStepBytes is the maximum number of bytes that are read at a time. The buffer grows as bytes arrive, so that
	// a wrong length in the header does not allocate memory for bytes that never come.
	readStepBytes = 1 << 20
)

// Errors of a malformed batch. Batch.Each returns them wrapped in a *RecordError.
var (
	ErrShortRecord   = errors.New("record goes past the end of the frame")
	ErrNoInstance    = errors.New("no instance record before it")
	ErrUnknownRecord = errors.New("unknown record code")
	ErrNotFinite     = errors.New("a number is not finite")
)

// RecordError reports the record of a batch that is malformed or whose handler returned an error.
type RecordError struct {
	Batch  uint32
	Record uint32 // index of the record in the batch, from 0
	Offset int    // offset of the record in the body, in bytes
	Code   EventCode
	Err    error
}

// Error implements error. The text is one line.
func (e *RecordError) Error() string {
	return fmt.Sprintf("batch %d, record %d at byte %d (code %d): %v", e.Batch, e.Record, e.Offset, e.Code, e.Err)
}

// Unwrap returns the decoding error or the handler's error.
func (e *RecordError) Unwrap() error { return e.Err }

// Batch is a frame of events that all happened at the same time.
type Batch struct {
	Seq     uint32
	Now     time.Duration // time of the events on the simulator's clock
	records uint32
	body    []byte
}

// ReadBatch reads a batch into buf and returns the batch and the buffer, which it grows if needed. The batch refers to
// the buffer. ReadBatch blocks until the whole batch has been read. The error is io.EOF only if the input ended between
// batches.
func ReadBatch(r io.Reader, buf []byte) (Batch, []byte, error) {
	var header [batchHeaderBytes]byte
	if n, err := io.ReadFull(r, header[:]); errors.Is(err, io.EOF) {
		return Batch{}, buf, io.EOF
	} else if err != nil {
		return Batch{}, buf, fmt.Errorf("truncated frame: header has %d of %d bytes: %w", n, batchHeaderBytes, err)
	}
	b := Batch{
		Seq:     binary.LittleEndian.Uint32(header[0:]),
		records: binary.LittleEndian.Uint32(header[16:]),
	}
	now, err := durationFromMillis(math.Float64frombits(binary.LittleEndian.Uint64(header[4:])))
	if err != nil {
		return Batch{}, buf, fmt.Errorf("batch %d, byte 4: clock: %w", b.Seq, err)
	}
	b.Now = now
	size := int(binary.LittleEndian.Uint32(header[12:]))
	buf, read, err := readBody(r, buf, size)
	if err != nil {
		return Batch{}, buf, fmt.Errorf("batch %d: truncated frame: %d of %d bytes: %w", b.Seq, read, size, err)
	}
	b.body = buf
	return b, buf, nil
}

// readBody reads size bytes into buf. It returns the buffer and the number of bytes that were read.
func readBody(r io.Reader, buf []byte, size int) (body []byte, read int, err error) {
	buf = buf[:0]
	for len(buf) < size {
		filled := len(buf)
		step := min(readStepBytes, size-filled)
		if cap(buf) < filled+step {
			buf = append(make([]byte, 0, min(size, 2*(filled+step))), buf...)
		}
		buf = buf[:filled+step]
		if n, err := io.ReadFull(r, buf[filled:]); err != nil {
			return buf, filled + n, err
		}
	}
	return buf, size, nil
}

// Each decodes the events in order and calls handle for each one. It stops at the first decoding error or error of
// handle and returns it as a *RecordError. Bytes after the last record are an error too, which is not a *RecordError.
func (b Batch) Each(handle func(*Event) error) error {
	d := decoder{data: b.body}
	var event Event
	instance := -1
	for i := range b.records {
		offset := d.pos
		code := EventCode(d.uint8())
		switch {
		case d.err != nil:
		case code == selectInstance:
			instance = int(d.uint16())
		case instance < 0:
			d.fail(ErrNoInstance)
		default:
			event.Code = code
			event.Instance = uint16(instance)
			d.event(&event)
			if d.err == nil {
				d.err = handle(&event)
			}
		}
		if d.err != nil {
			return &RecordError{Batch: b.Seq, Record: i, Offset: offset, Code: code, Err: d.err}
		}
	}
	if d.pos != len(d.data) {
		return fmt.Errorf("batch %d, byte %d: wrong length: %d bytes after the last of %d records",
			b.Seq, d.pos, len(d.data)-d.pos, b.records)
	}
	return nil
}
