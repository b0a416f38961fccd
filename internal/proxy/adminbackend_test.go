package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"lapisspread/internal/metrics"
)

// During an operator's drain requests are served, each response closes its connection, idle connections are closed, and
// the drain can be ended.
func TestOperatorDrain(t *testing.T) {
	got := make(chan *http.Request, 64)
	p := startProxy(t, listText(1, true, memberText("a", countingBackend(t, got), "active")), newCatalog(t), nil)
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", p.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(patience))
		return c, bufio.NewReader(c)
	}
	kept, keptIn := dial()
	used, usedIn := dial()
	for _, c := range []struct {
		c  net.Conn
		in *bufio.Reader
	}{{kept, keptIn}, {used, usedIn}} {
		if resp, _ := mustRespond(t, 200)(requestOn(c.c, c.in, "hand-in", 9000, "x")); resp.Close {
			t.Fatal("closed in ordinary service")
		}
	}
	o := adminBackend{p.proxy}
	o.StartDraining()
	if resp, _ := mustRespond(t, 200)(requestOn(used, usedIn, "hand-in", 9000, "x")); !resp.Close {
		t.Error("a response during a drain does not close its connection")
	}
	if _, err := keptIn.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection: %v, want its end", err)
	}
	late, lateIn := dial()
	mustRespond(t, 200)(requestOn(late, lateIn, "hand-in", 9000, "x"))
	o.StopDraining()
	again, againIn := dial()
	if resp, _ := mustRespond(t, 200)(requestOn(again, againIn, "hand-in", 9000, "x")); resp.Close {
		t.Error("back at work, it still closes connections")
	}
}

// The counters count the responses to clients, and the requests written to backends.
func TestCountersFollowResponses(t *testing.T) {
	got := make(chan *http.Request, 64)
	p := startProxy(t, listText(1, true, memberText("a", countingBackend(t, got), "active")), newCatalog(t), nil)
	for range 3 {
		mustRespond(t, 200)(p.request(t, "hand-in", 9000, "x"))
	}
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c,
		"POST /api HTTP/1.1\r\nHost: s\r\nX-Request-ID: f\r\nX-Priority-Class: hand-in\r\nX-Timeout-Ms: 9000\r\n"+
			"Content-Length: 5\r\n\r\nhal")
	_ = c.(*net.TCPConn).CloseWrite()
	mustRespond(t, 400)(readFinalResponse(bufio.NewReader(c)))
	want := `{"served":{"fetch-work":0,"hand-in":3},"refused":{"fetch-work":0,"hand-in":0},"failed":{"fetch-work":0,"hand-in":1},` +
		`"attempts":3,"in_flight":0,"backends_known":1,"backends_excluded":0,"reloads_ok":0,"reloads_failed":1,"lists_bad":0}`
	p.proxy.ReloadFailed(errors.New("no such file"))
	text := ""
	for start := time.Now(); text != want; time.Sleep(time.Millisecond) { // they may lag a little
		b, err := adminBackend{p.proxy}.Counters().MarshalJSON()
		if err != nil {
			t.Fatal(err)
		}
		if text = string(b); time.Since(start) > patience {
			t.Fatalf("got  %s\nwant %s", text, want)
		}
	}
}

func TestOutcomeForStatus(t *testing.T) {
	for status, want := range map[int]metrics.Outcome{200: metrics.Served, 429: metrics.Rejected, 503: metrics.Rejected,
		502: metrics.Failed, 504: metrics.Failed, 400: metrics.Failed, 413: metrics.Failed} {
		if got := outcomeForStatus(status); got != want {
			t.Errorf("%d counts as %v, want %v", status, got, want)
		}
	}
}

// Only what was listed can be taken out, also long after it has left; of very many names the oldest are forgotten.
func TestEndpointNamesAreBounded(t *testing.T) {
	r := newEndpointNames()
	r.add(List{Endpoints: []Member{{ID: "first"}}})
	if !r.contains("first") || r.contains("other") {
		t.Error("it does not know what was listed")
	}
	for i := range maxKnownNames {
		r.add(List{Endpoints: []Member{{ID: fmt.Sprint(i)}}})
	}
	if r.contains("first") || !r.contains("0") || len(r.names) != maxKnownNames || len(r.order) != maxKnownNames {
		t.Errorf("%d names are remembered", len(r.names))
	}
}
