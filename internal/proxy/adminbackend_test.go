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

// During a drain started by an operator, the proxy still serves requests, closes each connection after its response and
// closes idle connections. StopDraining restores normal service.
func TestOperatorDrain(t *testing.T) {
	got := make(chan *http.Request, 64)
	p := startProxy(t, listText(1, true, memberText("a", countingBackend(t, got), "active")), newCatalog(t), nil)
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", p.addr)
		if err != nil {
			t.Fatalf("Dial(%s) of the proxy: %v", p.addr, err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(patience))
		return c, bufio.NewReader(c)
	}
	idle, idleIn := dial()
	reused, reusedIn := dial()
	for _, c := range []struct {
		c  net.Conn
		in *bufio.Reader
	}{{idle, idleIn}, {reused, reusedIn}} {
		if resp, _ := mustRespond(t, 200)(requestOn(c.c, c.in, "hand-in", 9000, "x")); resp.Close {
			t.Fatal("response before the drain announces the connection's close, want the connection kept open")
		}
	}
	admin := adminBackend{p.proxy}
	admin.StartDraining()
	if resp, _ := mustRespond(t, 200)(requestOn(reused, reusedIn, "hand-in", 9000, "x")); !resp.Close {
		t.Error("response during the drain keeps its connection open, want \"Connection: close\"")
	}
	if _, err := idleIn.ReadByte(); err != io.EOF {
		t.Errorf("read on the idle connection during the drain: error %v, want io.EOF", err)
	}
	drainConn, drainIn := dial()
	mustRespond(t, 200)(requestOn(drainConn, drainIn, "hand-in", 9000, "x"))
	admin.StopDraining()
	resumed, resumedIn := dial()
	if resp, _ := mustRespond(t, 200)(requestOn(resumed, resumedIn, "hand-in", 9000, "x")); resp.Close {
		t.Error("response after StopDraining announces the connection's close, want the connection kept open")
	}
}

// The admin counters count the responses sent to clients and the requests written to backends.
func TestCountersFollowResponses(t *testing.T) {
	got := make(chan *http.Request, 64)
	p := startProxy(t, listText(1, true, memberText("a", countingBackend(t, got), "active")), newCatalog(t), nil)
	for range 3 {
		mustRespond(t, 200)(p.request(t, "hand-in", 9000, "x"))
	}
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatalf("Dial(%s) of the proxy: %v", p.addr, err)
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c,
		"POST /api HTTP/1.1\r\nHost: s\r\nX-Request-ID: f\r\nX-Priority-Class: hand-in\r\nX-Timeout-Ms: 9000\r\n"+
			"Content-Length: 5\r\n\r\nhal")
	_ = c.(*net.TCPConn).CloseWrite()
	mustRespond(t, 400)(readFinalResponse(bufio.NewReader(c)))
	want := `{"served":{"fetch-work":0,"hand-in":3},"refused":{"fetch-work":0,"hand-in":0},"failed":` +
		`{"fetch-work":0,"hand-in":1},` +
		`"attempts":3,"in_flight":0,"backends_known":1,"backends_excluded":0,"reloads_ok":0,"reloads_failed":1,"lists_bad":0}`
	p.proxy.ReloadFailed(errors.New("no such file"))
	text := ""
	for start := time.Now(); text != want; time.Sleep(time.Millisecond) { // the counters may be updated after the response
		b, err := adminBackend{p.proxy}.Counters().MarshalJSON()
		if err != nil {
			t.Fatalf("Counters().MarshalJSON(): %v", err)
		}
		if text = string(b); time.Since(start) > patience {
			t.Fatalf("Counters().MarshalJSON()\n got %s\nwant %s", text, want)
		}
	}
}

func TestOutcomeForStatus(t *testing.T) {
	names := map[metrics.Outcome]string{metrics.Served: "Served", metrics.Rejected: "Rejected", metrics.Failed: "Failed"}
	for status, want := range map[int]metrics.Outcome{200: metrics.Served, 429: metrics.Rejected, 503: metrics.Rejected,
		502: metrics.Failed, 504: metrics.Failed, 400: metrics.Failed, 413: metrics.Failed} {
		if got := outcomeForStatus(status); got != want {
			t.Errorf("outcomeForStatus(%d) = %q, want %q", status, names[got], names[want])
		}
	}
}

// Endpoint names stay known after their endpoints leave the list; beyond maxKnownNames the oldest names are dropped.
func TestEndpointNamesAreBounded(t *testing.T) {
	names := newEndpointNames()
	names.add(List{Endpoints: []Member{{ID: "first"}}})
	if !names.contains("first") || names.contains("other") {
		t.Errorf("contains(listed name) = %v, contains(unlisted name) = %v, want true and false",
			names.contains("first"), names.contains("other"))
	}
	for i := range maxKnownNames {
		names.add(List{Endpoints: []Member{{ID: fmt.Sprint(i)}}})
	}
	if names.contains("first") || !names.contains("0") || len(names.names) != maxKnownNames ||
		len(names.order) != maxKnownNames {
		t.Errorf("after maxKnownNames+1 names: contains(oldest) = %v, contains(second oldest) = %v, %d names, "+
			"%d in order; want false, true, %d and %d", names.contains("first"), names.contains("0"), len(names.names),
			len(names.order), maxKnownNames, maxKnownNames)
	}
}
