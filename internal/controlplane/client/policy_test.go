package client

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/operatorerror"
	"lapisspread/internal/policy/namespace"
	"lapisspread/internal/policy/rollout"
)

// policyOf is an empty policy with a service of a name.
func policyOf(service string) []byte {
	c, err := namespace.ParseCharter("c", []byte("version = 1\n[[namespace]]\nname = \"a\"\nowner = \"o\"\nhosts = [\"x.org\"]\nsettings = [\"service\"]\n"))
	if err != nil {
		panic(err)
	}
	n, err := namespace.Parse("n", []byte("version = 1\nnamespace = \"a\"\nnumber = 1\n[[service]]\nname = \""+service+"\"\n"))
	if err != nil {
		panic(err)
	}
	return namespace.Merge(c, nil, []*namespace.Namespace{n}).Policy.Encode()
}

func offerOf(order, epoch uint64, text []byte) rollout.Version {
	p, err := namespace.Decode(text)
	if err != nil {
		panic(err)
	}
	return rollout.Version{Generation: order, Epoch: epoch, Hash: p.Hash()}
}

func yes() bool { return true }

// What is refused changes nothing; what is taken up is installed once and kept for the next process.
func TestAPolicyIsTakenUpWholeOrNotAtAll(t *testing.T) {
	one, two := policyOf("one"), policyOf("two")
	refuse := false
	installed := 0
	set := Config{File: file(t.TempDir(), "127.0.0.1:1"), ProxyName: "p1"}
	install := func(*InstalledPolicy) error {
		if refuse {
			return errors.New("no such service")
		}
		installed++
		return nil
	}
	p := NewPolicyClient(set, install)
	f := newFetcher(p)
	reply := func(o rollout.Version, text []byte) error {
		return p.handleOffer(t.Context(), f, api.PolicyReply{Fleet: "north", Target: o, Text: text}, yes)
	}
	first, second := offerOf(1, 1, one), offerOf(1, 2, two)
	for _, k := range []struct {
		what   string
		o      rollout.Version
		text   []byte
		refuse bool
		want   rollout.Version
		bad    bool
	}{
		{"the first", first, one, false, first, false},
		{"with another's content", second, one, false, first, true},
		{"cut", second, two[:len(two)-1], false, first, true},
		{"that can't be installed", second, two, true, first, true},
		{"the second, now that it can, without its text", second, nil, false, second, false},
		{"the second again", second, two, false, second, false},
		{"an older one", first, one, false, second, false},
		{"the older one, by an operator's word", offerOf(2, 1, one), one, false, offerOf(2, 1, one), false},
		{"a late one", offerOf(1, 9, two), two, false, offerOf(2, 1, one), false},
	} {
		refuse = k.refuse
		if err := reply(k.o, k.text); (err != nil) != k.bad || p.Current().Offer != k.want || p.holder.Version() != k.want {
			t.Errorf("%s: %v, holds %+v", k.what, err, p.Current().Offer)
		}
	}
	if installed != 3 {
		t.Errorf("installed %d times", installed)
	}
	if err := p.handleOffer(t.Context(), f, api.PolicyReply{Fleet: "south", Target: offerOf(9, 9, two), Text: two}, yes); err == nil || p.Current().Offer.Generation == 9 {
		t.Error("another fleet's policy was taken up")
	}
	if _ = p.handleOffer(t.Context(), f, api.PolicyReply{Fleet: "north", Target: offerOf(9, 9, two), Text: two}, func() bool { return false }); p.Current().Offer.Generation == 9 {
		t.Error("a duty that was given up took a policy up")
	}
	next := NewPolicyClient(set, install)
	next.Restore()
	if next.Current().Offer != offerOf(2, 1, one) || next.Current().Epoch != "1" {
		t.Errorf("the next process begins with %+v", next.Current().Offer)
	}
	if next.lastReportNumber.Load() <= p.lastReportNumber.Load() {
		t.Error("its reports would be taken for old ones")
	}
	if text := operatorerror.Of(PolicyNotInstalledError{1, errors.New("x")}); text == "" {
		t.Error("no advice")
	}
}

// Counts get there once over a steward that fails, and the duty outlives a panic in what it installs.
func TestReportsOutliveFailures(t *testing.T) {
	text := policyOf("one")
	var good, last, calls, panics atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var in api.PolicyReport
		if err := api.DecodeBody(r.Body, &in); err != nil {
			t.Error(err)
		}
		if int64(in.Sequence) > last.Load() { // as the stewards count
			last.Store(int64(in.Sequence))
			good.Add(in.Good)
		}
		if calls.Add(1)%2 == 1 { // it has counted, and its answer is lost
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		api.WriteReply(w, http.StatusOK, api.PolicyReply{Fleet: "north", Target: offerOf(1, 1, text), Text: text})
	}))
	defer server.Close()
	f := file("", strings.TrimPrefix(server.URL, "http://"))
	f.Policy.SilenceTimeout = 1
	p := NewPolicyClient(Config{File: f, ProxyName: "p1"}, func(*InstalledPolicy) error {
		if panics.Add(1) == 1 {
			panic("in the trial")
		}
		return nil
	})
	none := p.Current()
	for range 100 {
		none.CountRequest(true)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { p.Run(ctx); close(done) }()
	for by := time.Now().Add(20 * time.Second); p.Current().Offer.Epoch != 1 || good.Load() < 100; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(by) {
			t.Fatalf("%+v, %d counted", p.PolicyStatus(), good.Load())
		}
	}
	cancel()
	<-done
	if r := p.PolicyStatus(); good.Load() != 100 || r.WorkersCrashed != 1 || r.Epoch != 1 || r.Failed == 0 {
		t.Errorf("%d counted, %+v", good.Load(), r)
	}
}
