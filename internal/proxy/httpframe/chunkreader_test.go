package httpframe

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"
	"strings"
	"testing"
	"testing/iotest"
)

// A ChunkReader returns the same body as the reader of net/http, or an error where that returns one, however the bytes
// arrive.
func TestChunkReaderDecodesAsNetHTTP(t *testing.T) {
	long := strings.Repeat("x", 20_000)
	for name, text := range map[string]string{
		"empty":                   "0\r\n\r\n",
		"one chunk":               "6\r\nabcdef\r\n0\r\n\r\n",
		"several chunks":          "3\r\nabc\r\n1\r\nd\r\n0\r\n\r\n",
		"long chunk":              "4e20\r\n" + long + "\r\n0\r\n\r\n",
		"upper case and padding":  "00A \t\r\n0123456789\r\n0\r\n\r\n",
		"extension":               "3;name=value\r\nabc\r\n0;last\r\n\r\n",
		"truncated data":          "6\r\nabc",
		"truncated size":          "6",
		"no end":                  "3\r\nabc\r\n",
		"no end of the chunk":     "3\r\nabc",
		"bare line feed":          "3\nabc\r\n0\r\n\r\n",
		"carriage return in line": "3\r \r\nabc\r\n0\r\n\r\n",
		"chunk longer than size":  "3\r\nabcdef\r\n0\r\n\r\n",
		"no size":                 "\r\nabc\r\n0\r\n\r\n",
		"negative size":           "-3\r\nabc\r\n0\r\n\r\n",
		"size with a sign":        "+3\r\nabc\r\n0\r\n\r\n",
		"prefixed size":           "0x3\r\nabc\r\n0\r\n\r\n",
		"underscore in size":      "1_0\r\nabc\r\n0\r\n\r\n",
		"size too large":          "fffffffffffffffff\r\nabc\r\n0\r\n\r\n",
		"line too long":           "3;" + long + "\r\nabc\r\n0\r\n\r\n",
		"much beside the data":    strings.Repeat("1;"+long[:200]+"\r\nx\r\n", 200) + "0\r\n\r\n",
		"many single bytes":       strings.Repeat("1\r\nx\r\n", 20_000) + "0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			want, wantErr := io.ReadAll(httputil.NewChunkedReader(strings.NewReader(text)))
			for pieces, source := range map[string]io.Reader{
				"at once":         strings.NewReader(text),
				"byte by byte":    iotest.OneByteReader(strings.NewReader(text)),
				"data with error": iotest.DataErrReader(strings.NewReader(text)),
			} {
				got, err := io.ReadAll(NewChunkReader(bufio.NewReaderSize(source, 8<<10)))
				if string(got) != string(want) && wantErr == nil || (err != nil) != (wantErr != nil) {
					t.Errorf("%s: read %d bytes, error %v; net/http reads %d bytes, error %v", pieces, len(got), err, len(want), wantErr)
				}
			}
		})
	}
}

// The body ends after its trailers, so that the next message can be read from the same connection.
func TestChunkReaderEndsAfterTrailers(t *testing.T) {
	for text, want := range map[string]error{
		"0\r\nName: value\r\nOther: 1\r\n\r\n":                           nil,
		"0\r\nno colon\r\n\r\n":                                          ErrInvalidChunk,
		"0\r\nName: " + strings.Repeat("x", 10_000) + "\r\n\r\n":         ErrInvalidChunk,
		"0\r\n" + strings.Repeat("Name: value of it\r\n", 1000) + "\r\n": ErrInvalidChunk,
		"0\r\nName: value\r\n":                                           io.ErrUnexpectedEOF,
	} {
		next := ""
		if want == nil {
			next = "HTTP/1.1 200 OK\r\n"
		}
		source := bufio.NewReaderSize(strings.NewReader(text+next), 8<<10)
		_, err := io.ReadAll(NewChunkReader(source))
		if !errors.Is(err, want) {
			t.Errorf("reading %.20q: error %v, want %v", text, err, want)
		}
		if rest, _ := io.ReadAll(source); want == nil && string(rest) != next {
			t.Errorf("%q is left after the body, want %q", rest, next)
		}
	}
}

// stepReader returns one of its steps for each Read, and notes a Read after the last one.
type stepReader struct {
	steps []string
	ended bool
}

func (r *stepReader) Read(p []byte) (int, error) {
	if len(r.steps) == 0 {
		r.ended = true
		return 0, io.EOF
	}
	n := copy(p, r.steps[0])
	r.steps = r.steps[1:]
	return n, nil
}

// Guards against data being held back while the rest of its chunk, or the next chunk, is on its way: a Read that has data
// does not wait for more.
func TestChunkReaderHoldsNothingBack(t *testing.T) {
	for _, steps := range [][]string{
		{"6\r\nabc"},
		{"6\r\n", "abc"},
		{"3\r\nabc"},
		{"3\r\nabc\r"},
		{"3\r\nabc\r\n"},
		{"3\r\nabc\r\n1"},
		{"3\r\nabc\r\n1\r\n"},
	} {
		source := &stepReader{steps: steps}
		p := make([]byte, 100)
		n, err := NewChunkReader(bufio.NewReaderSize(source, 8<<10)).Read(p)
		if string(p[:n]) != "abc" || err != nil || source.ended {
			t.Errorf("Read() after %q = %q, %v, waiting for more %v; want %q, nil, false", steps, p[:n], err, source.ended, "abc")
		}
	}
}
