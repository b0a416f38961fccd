package proxy

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/engine"
	"lapisspread/internal/engine/enginetest"
	"lapisspread/internal/metrics"
)

func TestHTTPFrontEndConforms(t *testing.T) {
	enginetest.Frontend{
		Start: func(t *testing.T, e *engine.Engine) enginetest.Client {
			cfg := Config{MemoryMB: 64, Sockets: 1024, Decision: enginetest.Config()}
			services := newServices(New(cfg, slog.New(slog.DiscardHandler)))
			only := &service{engine: e, clock: e.Clock(), module: cfg.Decision, classes: map[string]int{"safe": 0,
				"unsafe": 1},
				counters: metrics.New([]string{"safe", "unsafe"})}
			services.current.Store(&routingState{only: only, byName: map[string]*service{"": only}})
			f := newFrontend(services, &cfg, slog.New(slog.DiscardHandler), newClientConns(512))
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatalf("listening for clients: %v", err)
			}
			go func() { _ = f.serve(l) }()
			t.Cleanup(func() { _ = f.server.Close() })
			return func(ctx context.Context, id, class string, timeout time.Duration) (engine.Outcome, []byte, error) {
				req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Addr().String()+"/api",
					strings.NewReader("body"))
				if err != nil {
					return 0, nil, err
				}
				req.Header = http.Header{"X-Request-Id": {id}, "X-Priority-Class": {class},
					"X-Timeout-Ms": {fmt.Sprint(timeout.Milliseconds())}}
				client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
				resp, err := client.Do(req)
				if err != nil {
					return 0, nil, err
				}
				defer func() { _ = resp.Body.Close() }()
				body, err := io.ReadAll(resp.Body)
				switch {
				case err != nil:
					return 0, nil, err
				case resp.StatusCode == http.StatusOK:
					return engine.Served, body, nil
				case resp.StatusCode == http.StatusServiceUnavailable:
					return engine.Rejected, nil, nil
				}
				return engine.Failed, nil, nil
			}
		},
		Response: func(body []byte) any { return body },
		Stream: func(body []byte, broken bool) engine.Stream {
			return newDownload(int64(len(body)), enginetest.BodyReader(body, broken))
		},
	}.Test(t)
}

func TestHTTPUpstreamConforms(t *testing.T) {
	responses := map[enginetest.Behaviour]string{
		enginetest.Serves:       "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nthe answer",
		enginetest.ServesSlowly: "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nthe answer",
		enginetest.SendsTrailingBytes: "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nthe answerHTTP/1.1 200 " +
			"OK\r\nContent-Length: 1\r\n\r\nx",
		enginetest.ReturnsErrors:        "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n",
		enginetest.RejectsRequests:      "HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n",
		enginetest.ClosesDuringResponse: "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nthe",
		enginetest.SendsGarbage:         "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nContent-Length: 3\r\n\r\nthe answer",
	}
	enginetest.Upstream{
		Start: func(t *testing.T, b enginetest.Behaviour) (engine.Upstream, engine.EndpointList) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatalf("listening for the backend: %v", err)
			}
			t.Cleanup(func() { _ = l.Close() })
			if b == enginetest.RefusesConnections {
				_ = l.Close()
			}
			go serveRaw(l, func(_ int, c net.Conn, in *bufio.Reader) { behave(c, in, b, responses[b]) })
			p := newPool(64, 2*time.Second, time.Minute)
			t.Cleanup(func() { p.Update(List{Full: true}) })
			return p, List{Version: 1, Full: true, Endpoints: []Member{{ID: "a", Addr: l.Addr().String(),
				State: decision.Ready}}}
		},
		Message: func() engine.Message { return testMessage("POST", []byte("body")) },
		Body: func(response any) []byte {
			b, _ := response.([]byte)
			return bytes.Clone(b)
		},
	}.Test(t)
}

// behave serves a connection as a backend with the given behaviour. It answers requests with the text in response.
func behave(c net.Conn, in *bufio.Reader, b enginetest.Behaviour, response string) {
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		switch b {
		case enginetest.ClosesBeforeResponse:
			return
		case enginetest.Stalls:
			_, _ = in.Peek(1) // blocks until the proxy closes the connection
			return
		case enginetest.ServesSlowly:
			time.Sleep(20 * time.Millisecond)
		}
		_, _ = io.WriteString(c, response)
		if b == enginetest.ClosesDuringResponse {
			return
		}
	}
}
