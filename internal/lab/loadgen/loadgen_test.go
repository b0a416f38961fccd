package loadgen

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// A server that stalls once for 400 ms at 200 requests a second delays some 80 of 200. A closed loop would see one.
func TestAStallIsChargedToAllThatWouldHaveCome(t *testing.T) {
	start := time.Now()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if at := time.Since(start); at > 300*time.Millisecond && at < 700*time.Millisecond {
			time.Sleep(700*time.Millisecond - at)
		}
	}))
	defer s.Close()
	res, err := Run(context.Background(), Options{URL: s.URL, Rate: 200, Duration: time.Second, Even: true})
	if err != nil {
		t.Fatal(err)
	}
	if res.OK != res.Planned || res.Planned < 195 {
		t.Errorf("%d of %d ok: %v", res.OK, res.Planned, res.Errors)
	}
	if p75 := res.Quantile(75); p75 < 30*time.Millisecond {
		t.Errorf("p75 is %v: the stall was left out", p75)
	}
}

func TestWhatIsRefused(t *testing.T) {
	for want, o := range map[string]Options{
		"not an address of this machine": {URL: "http://192.0.2.1/", Rate: 1, Duration: time.Second},
		"wanted http":                    {URL: "ftp://127.0.0.1/", Rate: 1, Duration: time.Second},
		"rate":                           {URL: "http://127.0.0.1/", Duration: time.Second},
		"duration":                       {URL: "http://[::1]/", Rate: 1},
	} {
		if _, err := Run(context.Background(), o); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%+v: %v", o, err)
		}
	}
}

func TestWhatFindsNoPlaceIsShedAndFailuresAreCounted(t *testing.T) {
	release := make(chan struct{})
	var n atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if n.Add(1) == 1 {
			w.WriteHeader(http.StatusTeapot)
			return
		}
		<-release
	}))
	defer s.Close()
	defer close(release)
	res, err := Run(context.Background(), Options{URL: s.URL, Rate: 100, Duration: 300 * time.Millisecond, Even: true, InFlight: 3,
		Timeout: 600 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	if res.Shed < 15 || res.Statuses[http.StatusTeapot] != 1 || res.Errors["timed out"] != 3 || res.Sent+res.Shed != res.Planned {
		t.Errorf("%+v", res)
	}
}

func TestSearchFindsWhereAServerBreaks(t *testing.T) {
	var last atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		// More than one in 3 ms is refused: it holds some 300 a second.
		now := time.Now().UnixNano()
		if prev := last.Swap(now); now-prev < int64(3*time.Millisecond) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer s.Close()
	rate, steps, err := Search(context.Background(), Options{URL: s.URL, Rate: 20, Duration: 200 * time.Millisecond, Even: true},
		Aim{P99: time.Second, Errors: 0.2}, 2000, nil)
	if err != nil || rate < 40 || rate > 400 || len(steps) < 4 {
		t.Errorf("%v a second after %+v, %v", rate, steps, err)
	}
}
