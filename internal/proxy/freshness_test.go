package proxy

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lapisspread/internal/controlplane/freshness"
)

// freshnessFile writes a fleet's file that configures freshness monitoring and no quotas, and returns its path.
func freshnessFile(t *testing.T, act bool) string {
	path := filepath.Join(t.TempDir(), "fleet.toml")
	text := fmt.Sprintf("version = 1\nfleet = \"north\"\nlongest = \"1s\"\n[[stewards]]\nname = \"s1\"\nnumber = "+
		"1\naddress = \"127.0.0.1:1\"\n[view]\nact = %v\n", act)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatalf("writing the fleet's file: %v", err)
	}
	return path
}

// waitForFreshness waits for a report whose only list satisfies the condition; what names the condition in the failure
// text.
func waitForFreshness(t *testing.T, p *running, what string,
	condition func(r freshness.ListReport) bool,
) freshness.Report {
	t.Helper()
	var last any
	for deadline := time.Now().Add(60 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		var err error
		if last, err = (adminBackend{p.proxy}).Freshness(); err != nil {
			continue // the monitor has not started yet
		}
		if r := last.(freshness.Report); len(r.Lists) == 1 && len(r.Lists[0].Routes) > 0 && condition(r.Lists[0]) {
			return r
		}
	}
	t.Fatalf("Freshness() did not report %s within 60 s; last report: %+v", what, last)
	return freshness.Report{}
}

// While the age of the list is unknown, a request that is not idempotent is not sent; later it is sent only to backends
// that have responded since, and to all once the list is fresh.
func TestAttemptsFollowFreshness(t *testing.T) {
	atA, atB := make(chan *http.Request, 256), make(chan *http.Request, 256)
	a, b := memberText("a", countingBackend(t, atA), "active"), memberText("b", countingBackend(t, atB), "active")
	c := newCatalog(t)
	p := startProxy(t, listText(1, true, a, b), c, func(cfg *Config) { cfg.Fleet = freshnessFile(t, true) })
	waitForFreshness(t, p, "doubtful", func(r freshness.ListReport) bool {
		return r.Age == "unknown" &&
			r.Routes[0].Level == "doubtful"
	})
	resp, _ := mustRespond(t, http.StatusServiceUnavailable)(p.request(t, "hand-in", 10000, "homework"))
	if resp.Header.Get("Retry-After") == "" || len(atA)+len(atB) > 0 {
		t.Errorf("request with a list of unknown age: Retry-After %q, %d attempts at the backends; want a Retry-After and "+
			"no attempt", resp.Header.Get("Retry-After"), len(atA)+len(atB))
	}
	mustRespond(t, 200)(p.request(t, "fetch-work", 10000, ""))
	responded, other := atA, atB
	if len(atB) > 0 {
		responded, other = atB, atA
	}
	for deadline := time.Now().Add(30 * time.Second); len(responded) < 21 &&
		time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		// Status 503 is allowed: the retry budget may have no attempt left for another backend.
		resp, _, err := p.request(t, "hand-in", 10000, "homework")
		if err != nil || resp.StatusCode != 200 && resp.StatusCode != 503 {
			t.Fatalf("request to the proxy: response %v, error %v; want status 200, or 503 for lack of a retry", resp, err)
		}
	}
	if len(other) > 0 || len(responded) < 21 {
		t.Errorf("%d attempts at the backend that has responded, %d at the other; want at least 21 and 0", len(responded),
			len(other))
	}
	c.lists <- listText(2, true, a, b)
	r := waitForFreshness(t, p, "fresh", func(r freshness.ListReport) bool {
		return r.Routes[0].Level == "fresh" || r.Routes[0].Level == "confirmed"
	})
	if r.ForbiddenAttempts["once"] == 0 || r.Lists[0].Age == "unknown" || r.Lists[0].Routes[0].Servers != 2 ||
		r.Lists[0].Routes[0].Name != "fast-5" {
		t.Errorf("Freshness() = %+v, want forbidden attempts of class once, a known age and route fast-5 with 2 servers", r)
	}
	for range 50 {
		mustRespond(t, 200)(p.request(t, "hand-in", 10000, "homework"))
	}
	if len(other) == 0 {
		t.Error("with a fresh list the other backend got no attempt out of 50 requests, want some")
	}
}

func TestFreshnessIsOnlyReportedWithoutAct(t *testing.T) {
	got := make(chan *http.Request, 256)
	p := startProxy(t, listText(1, true, memberText("a", countingBackend(t, got), "active")), newCatalog(t),
		func(cfg *Config) { cfg.Fleet = freshnessFile(t, false) })
	waitForFreshness(t, p, "doubtful", func(r freshness.ListReport) bool { return r.Routes[0].Level == "doubtful" })
	mustRespond(t, 200)(p.request(t, "hand-in", 10000, "homework"))
	plain := startProxy(t, listText(1, true, memberText("a", countingBackend(t, got), "active")), newCatalog(t), nil)
	mustRespond(t, 200)(plain.request(t, "hand-in", 10000, "homework"))
	if _, err := (adminBackend{plain.proxy}).Freshness(); err == nil || !strings.Contains(err.Error(), "--fleet") {
		t.Errorf("Freshness() without --fleet: error %v, want one that names --fleet", err)
	}
}
