package httpframe

import (
	"slices"
	"testing"
)

func TestScannerFindsRequestBoundaries(t *testing.T) {
	const plainHead = "GET / HTTP/1.1\r\nHost: s\r\n\r\n"
	for name, c := range map[string]struct {
		text string
		ends []int // lengths of the complete requests in bytes
		want []Framing
	}{
		"no body": {plainHead + plainHead, []int{27, 27}, []Framing{{Length: -1}, {Length: -1}}},
		"Content-Length": {"POST / HTTP/1.1\r\ncontent-Length: 3\r\n\r\nabc" + plainHead,
			[]int{41, 27}, []Framing{{Length: 3}, {Length: -1}}},
		"bare line feeds": {"POST / HTTP/1.1\nContent-Length: 3\n\nabc",
			[]int{38}, []Framing{{Length: 3}}},
		"chunked": {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nab\n\r\n0\r\nT: 1\r\n\r\n" + plainHead,
			[]int{70, 27}, []Framing{{Length: -1, Chunked: true}, {Length: -1}}},
		"Content-Length and chunked": {"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"0\r\n\r\n" + plainHead,
			nil, []Framing{{Length: 3, Chunked: true, Ambiguous: true}}},
		"chunked and Content-Length": {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n",
			nil, []Framing{{Length: 3, Chunked: true, Ambiguous: true}}},
		"duplicate Content-Length": {"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
			nil, []Framing{{Length: 3, Ambiguous: true}}},
		"negative Content-Length": {"POST / HTTP/1.1\r\nContent-Length: -3\r\n\r\nabc",
			nil, []Framing{{Length: 0, Ambiguous: true}}},
		"folded header": {"POST / HTTP/1.1\r\nTransfer-Encoding:\r\n chunked\r\n\r\n",
			nil, []Framing{{Length: -1, Chunked: true, Ambiguous: true}}},
		"other encoding": {"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
			nil, []Framing{{Length: -1, Chunked: true, Ambiguous: true}}},
		"malformed chunk size": {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n" + plainHead,
			nil, []Framing{{Length: -1, Chunked: true}}},
		"header name in a value": {"GET / HTTP/1.1\r\nX: Content-Length: 3\r\n\r\n",
			[]int{40}, []Framing{{Length: -1}}},
	} {
		t.Run(name, func(t *testing.T) {
			for _, step := range []int{len(c.text), 1, 7} { // all at once and in small pieces
				scanner := &Scanner{}
				var ends []int
				length := 0
				for rest := []byte(c.text); len(rest) > 0; {
					piece := rest[:min(step, len(rest))]
					n := scanner.Scan(piece)
					rest, length = rest[n:], length+n
					if scanner.BetweenRequests() {
						ends, length = append(ends, length), 0
					}
				}
				if !slices.Equal(ends, c.ends) {
					t.Errorf("Scan() in pieces of %d bytes found requests of %v bytes, want %v", step, ends, c.ends)
				}
				var got []Framing
				for h, ok := scanner.NextFraming(); ok; h, ok = scanner.NextFraming() {
					got = append(got, h)
				}
				if !slices.Equal(got, c.want) {
					t.Errorf("NextFraming() after pieces of %d bytes returned %+v, want %+v", step, got, c.want)
				}
			}
		})
	}
}

// HeadSize tells the size of the head that is being scanned, however it arrives, and of the last one after that.
func TestHeadSize(t *testing.T) {
	const first = "POST / HTTP/1.1\r\nA:\r\nContent-Length: 7\r\n\r\n"
	const second = "GET / HTTP/1.1\r\nB: 1\r\n\r\n"
	for _, pieceBytes := range []int{1, 3, len(first), 1000} {
		s := &Scanner{}
		feed := func(text string) {
			for rest := []byte(text); len(rest) > 0; {
				rest = rest[s.Scan(rest[:min(len(rest), pieceBytes)]):]
			}
		}
		for _, step := range []struct {
			text string
			want HeadSize
		}{
			{first[:20], HeadSize{20, 0}},
			{first[20:], HeadSize{len(first), 2}},
			{"a\nb\nc\nd", HeadSize{len(first), 2}}, // the body
			{second[:1], HeadSize{1, 0}},
			{second[1:], HeadSize{len(second), 1}},
		} {
			feed(step.text)
			if got := s.HeadSize(); got != step.want {
				t.Errorf("pieces of %d bytes, after %q: HeadSize() = %+v, want %+v", pieceBytes, step.text, got, step.want)
			}
		}
	}
}
