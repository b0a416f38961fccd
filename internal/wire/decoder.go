package wire

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"lapisspread/decision"
)

// maxMillis is the maximum absolute value of a time, in milliseconds. Sums of a few times then fit a time.Duration.
const maxMillis = 1e12

// decoder reads the fields of a batch's records. After the first error, which it keeps in err, all fields read as zero.
type decoder struct {
	data     []byte
	pos      int
	err      error
	backends []decision.Backend // buffer of the last decoded list, reused for the next one
}

// zeros holds the bytes that are returned after an error; the longest number field has 8 bytes.
var zeros [8]byte

// bytes returns the next n bytes. After an error it returns zeros, or nil if n is larger than a number field.
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

// millis reads a time that is encoded as milliseconds in a float64.
func (d *decoder) millis() time.Duration {
	v, err := durationFromMillis(math.Float64frombits(d.uint64()))
	d.fail(err)
	return v
}

// fail records err if it is the first error. A nil err changes nothing.
func (d *decoder) fail(err error) {
	if d.err == nil {
		d.err = err
	}
}

// durationFromMillis converts milliseconds and rounds them to microseconds, the resolution of the simulator's clock.
// It returns an error for NaN and for values beyond maxMillis.
func durationFromMillis(millis float64) (time.Duration, error) {
	if math.IsNaN(millis) || math.Abs(millis) > maxMillis {
		return 0, fmt.Errorf("time %v ms is out of range", millis)
	}
	return time.Duration(math.Round(millis*1000)) * time.Microsecond, nil
}
