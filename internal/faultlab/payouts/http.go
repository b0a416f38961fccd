package payouts

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"lapisspread/internal/diameter"
	"lapisspread/internal/faultlab/diameterpeer"
)

// webServer executes claims that come by HTTP.
type webServer struct {
	mu  sync.Mutex
	ran map[diameterpeer.Name]int
}

func newWebServer(l net.Listener) *webServer {
	w := &webServer{ran: map[diameterpeer.Name]int{}}
	go http.Serve(l, w)
	return w
}

func (s *webServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	if r.Method == http.MethodPost {
		if id, err := strconv.ParseUint(r.Header.Get("X-Request-Id"), 10, 32); err == nil {
			s.mu.Lock()
			s.ran[diameterpeer.Name{Origin: "http", ID: uint32(id)}]++
			s.mu.Unlock()
		}
	}
	io.WriteString(w, "the answer")
}

func (s *webServer) executed() map[diameterpeer.Name]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[diameterpeer.Name]int{}
	for k, v := range s.ran {
		out[k] = v
	}
	return out
}

// claimText stands for a claim's content: about as long as the AVPs of one.
var claimText = strings.Repeat("x", 300)

// sendHTTP sends the claims by HTTP, once each.
func (s *stage) sendHTTP(ctx context.Context) []diameterpeer.Outcome {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}, Timeout: giveUp + 200*time.Millisecond}
	defer client.CloseIdleConnections()
	out := make([]diameterpeer.Outcome, s.plan.Claims)
	var all sync.WaitGroup
	for i := range s.paced(ctx) {
		all.Go(func() {
			o := diameterpeer.Outcome{Name: diameterpeer.Name{Origin: "http", ID: uint32(i)}, Tries: 1}
			defer func() { out[i] = o }()
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.addr+"/claims?key="+strconv.Itoa(i), strings.NewReader(claimText))
			if err != nil {
				return
			}
			req.Header = http.Header{"X-Request-Id": {strconv.Itoa(i)}, "X-Priority-Class": {"driver-payout"}, "X-Timeout-Ms": {strconv.FormatInt(giveUp.Milliseconds(), 10)}}
			resp, err := client.Do(req)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			o.Body = string(body)
			switch resp.StatusCode {
			case http.StatusOK:
				o.Code = diameter.Success
			case http.StatusServiceUnavailable:
				o.Code = diameter.TooBusy
			default:
				o.Code = diameter.UnableToComply
			}
		})
	}
	all.Wait()
	return out
}
