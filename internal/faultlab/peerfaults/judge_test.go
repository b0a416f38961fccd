package peerfaults

import (
	"io"
	"strings"
	"testing"
	"time"
)

// judge breaks exactly the rule that a record shows to be broken.
func TestJudge(t *testing.T) {
	start := time.Now()
	after := func(d time.Duration) time.Time { return start.Add(d) }
	body := bodyText(LongLength)
	answered := clientRecord{whole: start, firstByte: after(time.Second), closed: after(time.Second), status: 200, body: body}
	for name, c := range map[string]struct {
		testCase Case
		record   clientRecord
		begun    []*attempt
		want     string // part of the only broken rule; empty if none is broken
	}{
		"answered": {Case{Peer: Server, Framing: LongLength, Point: BeforeEnd, Fault: Dribbles}, answered, nil, ""},
		"answered late": {Case{Peer: Server, Framing: LongLength, Point: AfterHead, Fault: Silent},
			clientRecord{whole: start, firstByte: after(1501 * time.Millisecond), status: 504}, nil, "no byte"},
		"never answered": {Case{Peer: Server, Framing: LongLength, Point: AfterHead, Fault: Silent},
			clientRecord{whole: start, closed: after(10 * time.Second)}, nil, "no byte"},
		"half an answer as a whole one": {Case{Peer: Server, Framing: ManyChunks, Point: Middle, Fault: Closes},
			clientRecord{whole: start, firstByte: start, status: 200, body: body[:70_000]}, nil, "looks like the whole"},
		"cut off": {Case{Peer: Server, Framing: OneChunk, Point: Middle, Fault: Dribbles},
			clientRecord{whole: start, firstByte: start, status: 200, body: body[:70_000], bodyErr: io.ErrUnexpectedEOF}, nil, "cut off"},
		"begun after the leave": {Case{Peer: Client, Framing: LongLength, Point: Whole, Fault: Closes},
			clientRecord{whole: start, left: start}, []*attempt{{at: after(101 * time.Millisecond)}}, "begun 101ms after"},
		"begun before the leave": {Case{Peer: Client, Framing: LongLength, Point: Whole, Fault: Closes},
			clientRecord{whole: start, left: after(time.Second)}, []*attempt{{at: start}}, ""},
		"told too much": {Case{Peer: Server, Framing: LongLength, Point: BeforeEnd, Fault: Dribbles}, answered,
			[]*attempt{{at: after(time.Second), timeout: 151 * time.Millisecond}}, "told 151ms more"},
		"kept waiting": {Case{Peer: Client, Framing: LongLength, Point: Middle, Fault: Silent},
			clientRecord{stopped: start, firstByte: after(4 * time.Second)}, nil, "that stopped"},
	} {
		t.Run(name, func(t *testing.T) {
			s := &server{testCase: c.testCase, begun: c.begun, answer: newMessage("HTTP/1.1 200 OK\r\n", LongLength)}
			got := strings.Join(s.judge(c.record).Broken, "; ")
			if c.want == "" && got != "" || !strings.Contains(got, c.want) || strings.Contains(got, ";") {
				t.Errorf("judge() broke %q, want one rule with %q in it", got, c.want)
			}
		})
	}
}

// The points of a message are the places that their names say.
func TestMessagePoints(t *testing.T) {
	m := newMessage("HTTP/1.1 200 OK\r\n", ManyChunks)
	for point, want := range map[Point]string{
		AfterHead:      "Transfer-Encoding: chunked\r\n\r\n",
		AfterChunkSize: "\r\n\r\n3e8\r\n",
		AfterFirstByte: "\r\n\r\n3e8\r\n0",
		BeforeEnd:      "\r\n0\r\n\r",
		Whole:          "\r\n0\r\n\r\n",
	} {
		if got := m.text[:m.points[point]]; !strings.HasSuffix(got, want) {
			t.Errorf("up to %q the message ends with %q, want %q", point, got[max(0, len(got)-len(want)):], want)
		}
	}
}
