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
		Timeout: 3 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	if res.Shed < 15 || res.Statuses[http.StatusTeapot] != 1 || res.Errors["timed out"] != 3 || res.Sent+res.Shed != res.Planned {
		t.Errorf("%+v", res)
	}
}

func TestSearchFindsWhereAServerBreaks(t *testing.T) {
	for _, breaks := range []float64{10, 21, 333, 1999, 1e9} {
		tries := 0
		rate, err := search(20, 2000, func(rate float64) (bool, error) { tries++; return rate <= breaks, nil })
		want := min(breaks, 2000)
		if breaks < 20 {
			want = 0
		}
		if err != nil || rate > want || rate < want*0.95 || tries > 20 {
			t.Errorf("%v a second after %d tries, %v; it breaks over %v", rate, tries, err, breaks)
		}
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }))
	defer s.Close()
	rate, steps, err := Search(context.Background(), Options{URL: s.URL, Rate: 20, Duration: 200 * time.Millisecond, Even: true},
		Aim{P99: time.Minute, Errors: 0.2}, 2000, nil)
	if err != nil || rate != 0 || len(steps) != 1 || steps[0].Held || steps[0].Why == "" {
		t.Errorf("%v a second after %+v, %v", rate, steps, err)
	}
}
