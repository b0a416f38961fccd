package diameter

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strconv"
)

// JSON gives AVPs as one object by their names, in the order of the message: what stands there once as a value, what stands
// there more often as a list. Integers of 64 bits are strings, since readers of JSON may take numbers for floats; octet
// strings are base64. An AVP that the dictionary does not have is listed under "unknown" with its code and vendor.
func (d *Dictionary) JSON(c Cursor) ([]byte, error) { return d.appendJSON(nil, c, 0) }

type unknownAVP struct {
	Code   uint32 `json:"code"`
	Vendor uint32 `json:"vendor"`
	Data   []byte `json:"data"`
}

func (d *Dictionary) appendJSON(out []byte, c Cursor, depth int) ([]byte, error) {
	if depth > MostDepth {
		return nil, &Error{Code: InvalidAVPValue, What: fmt.Sprintf("grouped AVPs more than %d deep", MostDepth)}
	}
	type field struct {
		def    *Definition
		values []json.RawMessage
	}
	var fields []*field
	byDef := map[*Definition]*field{}
	var unknown []unknownAVP
	for c.Next() {
		def := d.AVP(c.AVP.Vendor, c.AVP.Code)
		if def == nil {
			unknown = append(unknown, unknownAVP{c.AVP.Code, c.AVP.Vendor, c.AVP.Data})
			continue
		}
		v, err := d.value(c.AVP, def, depth)
		if err != nil {
			return nil, err
		}
		f := byDef[def]
		if f == nil {
			f = &field{def: def}
			byDef[def] = f
			fields = append(fields, f)
		}
		f.values = append(f.values, v)
	}
	if err := c.Err(); err != nil {
		return nil, err
	}
	out = append(out, '{')
	for i, f := range fields {
		if i > 0 {
			out = append(out, ',')
		}
		out = append(strconv.AppendQuote(out, f.def.Name), ':')
		if len(f.values) == 1 {
			out = append(out, f.values[0]...)
			continue
		}
		for k, v := range f.values {
			out = append(append(out, "[,"[min(k, 1)]), v...)
		}
		out = append(out, ']')
	}
	if len(unknown) > 0 {
		text, err := json.Marshal(unknown)
		if err != nil {
			return nil, fmt.Errorf("diameter: %w", err)
		}
		if len(fields) > 0 {
			out = append(out, ',')
		}
		out = append(append(out, `"unknown":`...), text...)
	}
	return append(out, '}'), nil
}

func (d *Dictionary) value(a AVP, def *Definition, depth int) (json.RawMessage, error) {
	if err := a.Check(def.Format); err != nil {
		return nil, err
	}
	var v any
	var err error
	switch def.Format {
	case Grouped:
		return d.appendJSON(nil, Walk(a.Data), depth+1)
	case UTF8String, DiameterIdentity, DiameterURI, IPFilterRule:
		v = string(a.Data)
	case Integer32, Enumerated:
		v, err = a.Int32()
	case Unsigned32:
		v, err = a.Uint32()
	case Integer64:
		var n int64
		n, err = a.Int64()
		v = strconv.FormatInt(n, 10)
	case Unsigned64:
		var n uint64
		n, err = a.Uint64()
		v = strconv.FormatUint(n, 10)
	case Float32, Float64: // as bits may be no number at all
		v = base64.StdEncoding.EncodeToString(a.Data)
	case Time:
		v, err = a.Time()
	case Address:
		v, err = a.Address()
	default:
		v = a.Data
	}
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("diameter: %s: %w", def.Name, err)
	}
	return text, nil
}
