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

// freshnessFile is a fleet's file with freshness monitoring, without quotas.
func freshnessFile(t *testing.T, act bool) string {
	path := filepath.Join(t.TempDir(), "fleet.toml")
	text := fmt.Sprintf("version = 1\nfleet = \"north\"\nlongest = \"1s\"\n[[stewards]]\nname = \"s1\"\nnumber = "+
		"1\naddress = \"127.0.0.1:1\"\n[view]\nact = %v\n", act)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// waitForFreshness waits for a report that satisfies yes.
func waitForFreshness(t *testing.T, p *running, what string, yes func(r freshness.ListReport) bool) freshness.Report {
	t.Helper()
	var last any
	for by := time.Now().Add(60 * time.Second); time.Now().Before(by); time.Sleep(20 * time.Millisecond) {
		var err error
		if last, err = (adminBackend{p.proxy}).Freshness(); err != nil {
			continue // it starts yet
		}
		if r := last.(freshness.Report); len(r.Lists) == 1 && len(r.Lists[0].Routes) > 0 && yes(r.Lists[0]) {
			return r
		}
	}
	t.Fatalf("never %s: %+v", what, last)
	return freshness.Report{}
}

// A request that must not run twice is sent nowhere while the age of the list is unknown, then only to backends that
// have responded since, and at last to all.
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
		t.Errorf("Retry-After %q, %d at the servers", resp.Header.Get("Retry-After"), len(atA)+len(atB))
	}
	mustRespond(t, 200)(p.request(t, "fetch-work", 10000, ""))
	mine, other := atA, atB
	if len(atB) > 0 {
		mine, other = atB, atA
	}
	for by := time.Now().Add(30 * time.Second); len(mine) < 21 &&
		time.Now().Before(by); time.Sleep(20 * time.Millisecond) {
		// rejected where the retry budget has no attempt for another backend
		resp, _, err := p.request(t, "hand-in", 10000, "homework")
		if err != nil || resp.StatusCode != 200 && resp.StatusCode != 503 {
			t.Fatalf("want 200, or 503 for lack of a retry: %v, %v", resp, err)
		}
	}
	if len(other) > 0 || len(mine) < 21 {
		t.Errorf("%d at the one that answered, %d at the other", len(mine), len(other))
	}
	c.lists <- listText(2, true, a, b)
	r := waitForFreshness(t, p, "fresh", func(r freshness.ListReport) bool {
		return r.Routes[0].Level == "fresh" || r.Routes[0].Level == "confirmed"
	})
	if r.ForbiddenAttempts["once"] == 0 || r.Lists[0].Age == "unknown" || r.Lists[0].Routes[0].Servers != 2 ||
		r.Lists[0].Routes[0].Name != "fast-5" {
		t.Errorf("%+v", r)
	}
	for range 50 {
		mustRespond(t, 200)(p.request(t, "hand-in", 10000, "homework"))
	}
	if len(other) == 0 {
		t.Error("trusted again, and yet nothing goes to the other")
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
		t.Errorf("the console says %v", err)
	}
}
