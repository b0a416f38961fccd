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
	// batchHeaderBytes is the length of a batch's header.
	batchHeaderBytes = 20
	// readStepBytes is how much is read at a time: a stated length is not believed before the bytes are there.
	readStepBytes = 1 << 20
)

// Errors that a batch may be wrong by, wrapped in a *RecordError.
var (
	ErrShortRecord   = errors.New("record goes past the end of the frame")
	ErrNoInstance    = errors.New("no instance named before it")
	ErrUnknownRecord = errors.New("unknown record code")
	ErrNotFinite     = errors.New("a number is not finite")
)

// RecordError says which record of a batch is wrong, or was not handled.
type RecordError struct {
	Batch  uint32
	Record uint32 // counts from 0
	Offset int    // of the record in the body, in bytes
	Code   EventCode
	Err    error
}

// Error implements error, on one line.
func (e *RecordError) Error() string {
	return fmt.Sprintf("batch %d, record %d at byte %d (code %d): %v", e.Batch, e.Record, e.Offset, e.Code, e.Err)
}

// Unwrap returns what is wrong.
func (e *RecordError) Unwrap() error { return e.Err }

// Batch is a frame of events, all at one time.
type Batch struct {
	Seq     uint32
	Now     time.Duration // the simulator's clock
	records uint32
	body    []byte
}

// ReadBatch reads a batch into buf, which it returns, grown if it had to be. It blocks until the whole batch is there.
// The error is io.EOF only if the input ended between batches.
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

// readBody reads size bytes into buf and returns it, with how many bytes came.
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

// Each decodes the events in order and calls handle with each. It stops at the first error and returns it as a
// *RecordError; a batch whose body is longer than its records is an error too.
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
