package wire

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"lapisspread/decision"
)

// maxMillis bounds times, so that sums of a few stay within a time.Duration.
const maxMillis = 1e12

// decoder reads the fields of a batch's records. After the first error it reads zeros.
type decoder struct {
	data     []byte
	pos      int
	err      error
	backends []decision.Backend // of the last list; reused
}

// zeros is what is read after an error, as long as any number is.
var zeros [8]byte

// bytes takes the next n bytes.
func (d *decoder) bytes(n int) []byte {
	if d.err == nil && n > len(d.data)-d.pos {
		d.err = ErrShortRecord
	}
	if d.err != nil {
		if n <= len(zeros) {
			return zeros[:n]
		}
		return nil
	}
	taken := d.data[d.pos : d.pos+n]
	d.pos += n
	return taken
}

func (d *decoder) uint8() uint8   { return d.bytes(1)[0] }
func (d *decoder) uint16() uint16 { return binary.LittleEndian.Uint16(d.bytes(2)) }
func (d *decoder) uint32() uint32 { return binary.LittleEndian.Uint32(d.bytes(4)) }
func (d *decoder) uint64() uint64 { return binary.LittleEndian.Uint64(d.bytes(8)) }

func (d *decoder) float32() float32 {
	v := float64(math.Float32frombits(d.uint32()))
	if math.IsNaN(v) || math.IsInf(v, 0) {
		d.fail(ErrNotFinite)
		return 0
	}
	return float32(v)
}

// millis reads a time.
func (d *decoder) millis() time.Duration {
	v, err := durationFromMillis(math.Float64frombits(d.uint64()))
	d.fail(err)
	return v
}

// fail notes an error, unless there was one before; nil is none.
func (d *decoder) fail(err error) {
	if d.err == nil {
		d.err = err
	}
}

// durationFromMillis converts milliseconds, rounded to the simulator's microseconds.
func durationFromMillis(millis float64) (time.Duration, error) {
	if math.IsNaN(millis) || math.Abs(millis) > maxMillis {
		return 0, fmt.Errorf("time %v ms is out of range", millis)
	}
	return time.Duration(math.Round(millis*1000)) * time.Microsecond, nil
}
