package client

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/policy/namespace"
	"lapisspread/internal/policy/rollout"
)

// policyText returns the text of a policy with one service of the given name and without routes.
func policyText(service string) []byte {
	declaration, err := namespace.ParseDeclaration("c", []byte("version = 1\n[[namespace]]\nname = \"a\"\n"+
		"owner = \"o\"\nhosts = [\"x.org\"]\nsettings = [\"service\"]\n"))
	if err != nil {
		panic(err)
	}
	team, err := namespace.Parse("n", []byte("version = 1\nnamespace = \"a\"\nnumber = 1\n"+
		"[[service]]\nname = \""+service+"\"\n"))
	if err != nil {
		panic(err)
	}
	return namespace.Merge(declaration, nil, []*namespace.File{team}).Policy.Encode()
}

// textVersion returns the version of a policy text: its hash is the SHA-256 of the text.
func textVersion(generation, epoch uint64, text []byte) rollout.Version {
	policy, err := namespace.Decode(text)
	if err != nil {
		panic(err)
	}
	return rollout.Version{Generation: generation, Epoch: epoch, Hash: policy.Hash()}
}

// A rejected policy leaves the installed policy unchanged. A policy is installed only once and is stored for the next
// process.
func TestPolicyIsInstalledWholeOrNotAtAll(t *testing.T) {
	firstText, secondText := policyText("one"), policyText("two")
	reject := false
	installed := 0
	config := testConfig(t.TempDir())
	install := func(*InstalledPolicy) error {
		if reject {
			return errors.New("no such service")
		}
		installed++
		return nil
	}
	c := NewPolicyClient(config, install)
	f := newFetcher(c)
	handle := func(fleet string, offer rollout.Version, text []byte, mayInstall func() bool) error {
		return c.handleOffer(t.Context(), f, api.PolicyReply{Fleet: fleet, Target: offer, Text: text}, mayInstall)
	}
	first, second := textVersion(1, 1, firstText), textVersion(1, 2, secondText)
	rollback := textVersion(2, 1, firstText)
	for _, step := range []struct {
		name    string
		offer   rollout.Version
		text    []byte
		reject  bool
		want    rollout.Version
		wantErr bool
	}{
		{"first version", first, firstText, false, first, false},
		{"second version with the first's content", second, firstText, false, first, true},
		{"second version with truncated text", second, secondText[:len(secondText)-1], false, first, true},
		{"second version while install rejects it", second, secondText, true, first, true},
		{"second version without text, once install accepts it", second, nil, false, second, false},
		{"second version again", second, secondText, false, second, false},
		{"older version", first, firstText, false, second, false},
		{"older content in a new generation, as after a rollback", rollback, firstText, false, rollback, false},
		{"newer epoch of an earlier generation", textVersion(1, 9, secondText), secondText, false, rollback, false},
	} {
		reject = step.reject
		err := handle("north", step.offer, step.text, always)
		if (err != nil) != step.wantErr || c.Current().Offer != step.want || c.version.Version() != step.want {
			t.Errorf("%s: handleOffer(%+v) = %v, Current() %+v, adopted version %+v; want error: %v, both versions %+v",
				step.name, step.offer, err, c.Current().Offer, c.version.Version(), step.wantErr, step.want)
		}
	}
	if installed != 3 {
		t.Errorf("successful calls of install: %d, want 3", installed)
	}
	newest := textVersion(9, 9, secondText)
	if err := handle("south", newest, secondText, always); err == nil || c.Current().Offer == newest {
		t.Errorf("handleOffer of fleet south = %v, Current() %+v; want an error and the previous version",
			err, c.Current().Offer)
	}
	if err := handle("north", newest, secondText, func() bool { return false }); c.Current().Offer == newest {
		t.Errorf("handleOffer by a replaced worker = %v and installed %+v, want the previous version", err, newest)
	}
	next := NewPolicyClient(config, install)
	next.Restore()
	if next.Current().Offer != rollback || next.Current().Epoch != "1" {
		t.Errorf("Restore() in the next process installed %+v with epoch %q, want %+v with epoch \"1\"",
			next.Current().Offer, next.Current().Epoch, rollback)
	}
	if got, previous := next.lastReportNumber.Load(), c.lastReportNumber.Load(); got <= previous {
		t.Errorf("report number of the next process: %d, want above the previous process's %d: "+
			"servers ignore reports with old numbers", got, previous)
	}
}

// Request counts reach the server exactly once although every other reply is lost, and a panic in install does not
// stop the reports.
func TestReportsOutliveFailures(t *testing.T) {
	text := policyText("one")
	var countedRequests, lastReport, calls, installs atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var report api.PolicyReport
		if err := api.DecodeBody(r.Body, &report); err != nil {
			t.Errorf("decoding a policy report: %v", err)
		}
		// Like the servers, this counts a repeated report only once.
		if sequence := int64(report.Sequence); sequence > lastReport.Load() {
			lastReport.Store(sequence)
			countedRequests.Add(report.Good)
		}
		if calls.Add(1)%2 == 1 { // the report is counted, but its reply is lost
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		api.WriteReply(w, http.StatusOK, api.PolicyReply{Fleet: "north", Target: textVersion(1, 1, text), Text: text})
	}))
	defer server.Close()
	file := testFile("", strings.TrimPrefix(server.URL, "http://"))
	file.Policy.SilenceTimeout = 1
	c := NewPolicyClient(Config{File: file, ProxyName: "p1"}, func(*InstalledPolicy) error {
		if installs.Add(1) == 1 {
			panic("panic injected by the test")
		}
		return nil
	})
	initial := c.Current()
	for range 100 {
		initial.CountRequest(true)
	}
	stop := runInBackground(c.Run)
	deadline := time.Now().Add(20 * time.Second)
	for c.Current().Offer.Epoch != 1 || countedRequests.Load() < 100 {
		if time.Now().After(deadline) {
			t.Fatalf("waiting 20s for epoch 1 and 100 counted requests: status %+v, %d counted",
				c.PolicyStatus(), countedRequests.Load())
		}
		time.Sleep(5 * time.Millisecond)
	}
	stop()
	status := c.PolicyStatus()
	if countedRequests.Load() != 100 || status.WorkersCrashed != 1 || status.Epoch != 1 || status.Failed == 0 {
		t.Errorf("requests counted by the server: %d, status %+v; "+
			"want 100, 1 crashed worker, epoch 1, failed calls above 0", countedRequests.Load(), status)
	}
}
