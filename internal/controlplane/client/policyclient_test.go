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

// policyText is the text of a policy without routes, with a service of a name.
func policyText(service string) []byte {
	charter, err := namespace.ParseDeclaration("c", []byte("version = 1\n[[namespace]]\nname = \"a\"\nowner = \"o\"\n"+
		"hosts = [\"x.org\"]\nsettings = [\"service\"]\n"))
	if err != nil {
		panic(err)
	}
	team, err := namespace.Parse("n", []byte("version = 1\nnamespace = \"a\"\nnumber = 1\n"+
		"[[service]]\nname = \""+service+"\"\n"))
	if err != nil {
		panic(err)
	}
	return namespace.Merge(charter, nil, []*namespace.File{team}).Policy.Encode()
}

func textVersion(generation, epoch uint64, text []byte) rollout.Version {
	policy, err := namespace.Decode(text)
	if err != nil {
		panic(err)
	}
	return rollout.Version{Generation: generation, Epoch: epoch, Hash: policy.Hash()}
}

// What is rejected changes nothing; what is installed is installed once, and kept for the next process.
func TestPolicyIsInstalledWholeOrNotAtAll(t *testing.T) {
	one, two := policyText("one"), policyText("two")
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
	first, second, back := textVersion(1, 1, one), textVersion(1, 2, two), textVersion(2, 1, one)
	for _, step := range []struct {
		what    string
		offer   rollout.Version
		text    []byte
		reject  bool
		want    rollout.Version
		wantErr bool
	}{
		{"the first", first, one, false, first, false},
		{"with another's content", second, one, false, first, true},
		{"cut", second, two[:len(two)-1], false, first, true},
		{"that can't be installed", second, two, true, first, true},
		{"the second, now that it can, without its text", second, nil, false, second, false},
		{"the second again", second, two, false, second, false},
		{"an older one", first, one, false, second, false},
		{"the older one, by an operator's command", back, one, false, back, false},
		{"a late one", textVersion(1, 9, two), two, false, back, false},
	} {
		reject = step.reject
		err := handle("north", step.offer, step.text, always)
		if (err != nil) != step.wantErr || c.Current().Offer != step.want || c.version.Version() != step.want {
			t.Errorf("%s: %v, holds %+v", step.what, err, c.Current().Offer)
		}
	}
	if installed != 3 {
		t.Errorf("installed %d times", installed)
	}
	newest := textVersion(9, 9, two)
	if err := handle("south", newest, two, always); err == nil || c.Current().Offer == newest {
		t.Errorf("another fleet's policy: %v, holds %+v", err, c.Current().Offer)
	}
	if err := handle("north", newest, two, func() bool { return false }); c.Current().Offer == newest {
		t.Errorf("a worker that was given up installed a policy: %v", err)
	}
	next := NewPolicyClient(config, install)
	next.Restore()
	if next.Current().Offer != back || next.Current().Epoch != "1" {
		t.Errorf("the next process begins with %+v", next.Current().Offer)
	}
	if next.lastReportNumber.Load() <= c.lastReportNumber.Load() {
		t.Error("its reports would be taken for old ones")
	}
}

// Counts get there once over a server that fails, and the worker outlives a panic in install.
func TestReportsOutliveFailures(t *testing.T) {
	text := policyText("one")
	var good, lastReport, calls, installs atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var report api.PolicyReport
		if err := api.DecodeBody(r.Body, &report); err != nil {
			t.Error(err)
		}
		if sequence := int64(report.Sequence); sequence > lastReport.Load() { // as the servers count
			lastReport.Store(sequence)
			good.Add(report.Good)
		}
		if calls.Add(1)%2 == 1 { // it has counted, and its reply is lost
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
			panic("in the test")
		}
		return nil
	})
	none := c.Current()
	for range 100 {
		none.CountRequest(true)
	}
	stop := runInBackground(c.Run)
	deadline := time.Now().Add(20 * time.Second)
	for c.Current().Offer.Epoch != 1 || good.Load() < 100 {
		if time.Now().After(deadline) {
			t.Fatalf("%+v, %d counted", c.PolicyStatus(), good.Load())
		}
		time.Sleep(5 * time.Millisecond)
	}
	stop()
	status := c.PolicyStatus()
	if good.Load() != 100 || status.WorkersCrashed != 1 || status.Epoch != 1 || status.Failed == 0 {
		t.Errorf("%d counted, %+v", good.Load(), status)
	}
}
