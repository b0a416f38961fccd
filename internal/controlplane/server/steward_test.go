package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/operatorerror"
	"lapisspread/internal/quotalease"
	"lapisspread/internal/strictconfig"
	"lapisspread/internal/tlskeys/tlstest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// site is three stewards on loopback, each with a folder of its own.
type site struct {
	t      testing.TB
	file   *api.Config
	client *http.Client
	run    [3]*process
	dirs   [3]string
	cut    atomic.Int64 // the steward that no other reaches, from 1; 0 is none
}

// link is a steward's way to the others.
type link struct {
	http.RoundTripper
	site *site
	of   int
}

func (l link) RoundTrip(r *http.Request) (*http.Response, error) {
	if cut := int(l.site.cut.Load()); cut > 0 && (cut == l.of+1 || r.URL.Host == l.site.file.Servers[cut-1].Address) {
		return nil, errors.New("cut")
	}
	return l.RoundTripper.RoundTrip(r)
}

type process struct {
	*Server
	cancel context.CancelFunc
	ended  chan error
}

func newSite(t testing.TB) *site { return newSiteBy(t, nil) }

func newSiteBy(t testing.TB, by *api.TLSFiles) *site {
	s := &site{t: t, client: &http.Client{}}
	s.file = &api.Config{Version: 1, Policy: api.PolicySettings{StepDuration: strictconfig.Span(400 * time.Millisecond), WatchDuration: strictconfig.Span(400 * time.Millisecond), MinRequests: 100, SilenceTimeout: strictconfig.Span(2 * time.Second)}, Fleet: "north", MaxDrift: .001, MaxLifetime: strictconfig.Span(600 * time.Millisecond),
		Quotas: []api.Quota{{Name: "attempts", Filter: api.AttemptFilter{Attempts: "attempts"}, Limit: 1000, Burst: 100, LeaseDuration: strictconfig.Span(600 * time.Millisecond)}}}
	s.file.TLS = by
	keys, err := s.file.LoadTLSKeys()
	s.must(err)
	s.client.Transport = api.NewTransport(keys)
	var held []net.Listener
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		s.must(err)
		held = append(held, l)
		s.file.Servers = append(s.file.Servers, api.Server{Name: fmt.Sprint("s", i+1), ID: uint64(i + 1), Address: l.Addr().String()})
		s.dirs[i] = t.TempDir()
	}
	for i := range 3 {
		s.must(held[i].Close())
		s.start(i)
	}
	t.Cleanup(func() {
		for i := range 3 {
			s.stop(i)
		}
		s.client.CloseIdleConnections()
	})
	return s
}

func (s *site) must(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

func (s *site) start(i int) {
	s.t.Helper()
	keys, err := s.file.LoadTLSKeys()
	s.must(err)
	way := &http.Client{Transport: api.NewTransport(keys)}
	via := link{way.Transport, s, i}
	st, err := New(Config{Fleet: s.file, Name: fmt.Sprint("s", i+1), StateDir: s.dirs[i], TickInterval: 20 * time.Millisecond, Transport: via})
	s.must(err)
	l, err := net.Listen("tcp", s.file.Servers[i].Address)
	s.must(err)
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{st, cancel, make(chan error, 1)}
	go func() { err := st.Run(ctx, l); way.CloseIdleConnections(); p.ended <- err }()
	s.run[i] = p
}

func (s *site) stop(i int) {
	if p := s.run[i]; p != nil {
		p.cancel()
		if err := <-p.ended; err != nil && !errors.Is(err, http.ErrServerClosed) {
			s.t.Error(err)
		}
		s.run[i] = nil
	}
}

// until waits, generously, for what must come at last.
func (s *site) until(what string, is func() bool) {
	s.t.Helper()
	for end := time.Now().Add(40 * time.Second); !is(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			for _, p := range s.run {
				if p != nil {
					s.t.Logf("%+v", *p.status.Load())
				}
			}
			s.t.Fatalf("in vain: %s", what)
		}
	}
}

func (s *site) found() {
	s.t.Helper()
	s.must(s.file.Bootstrap(context.Background(), s.client, 1))
	s.set()
}

func (s *site) set() {
	s.t.Helper()
	s.until("budgets are set", func() bool { _, err := s.file.SetQuotas(context.Background(), s.client, 0, nil); return err == nil })
}

func (s *site) leader() int {
	lead := -1
	s.until("a leader", func() bool {
		for i, p := range s.run {
			if p != nil && p.status.Load().Role == roleLeader {
				lead = i
				return true
			}
		}
		return false
	})
	return lead
}

// holder asks in its own pace, of all stewards in turn.
type holder struct {
	*quotalease.Holder
	begun time.Time
}

func newHolder(name string) *holder {
	return &holder{quotalease.NewHolder(quotalease.HolderSettings{FleetID: "north", HolderID: quotalease.HolderID{Holder: name, Incarnation: 7}, MaxDrift: .001}), time.Now()}
}

func (h *holder) now() time.Duration { return time.Since(h.begun) }

// ask gives the last error if no steward answered.
func (s *site) ask(h *holder) (err error) {
	h.SetDemand("attempts", 1000)
	at := h.now()
	r := h.NextRequest(at)
	for _, o := range s.file.Servers {
		var reply quotalease.Reply
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		err = api.Call(ctx, s.client, o.Address, api.PathLease, r, &reply)
		cancel()
		if err == nil {
			return h.HandleReply(at, h.now(), reply)
		}
	}
	return err
}

func (h *holder) has() float64 { return h.Status(h.now(), "attempts").Amount.Units() }

// both asks for both in turn until it is so, and checks that they never have more than the whole together.
func (s *site) both(what string, a, b *holder, is func(a, b float64) bool, whole float64) {
	s.t.Helper()
	s.until(what, func() bool {
		for _, h := range []*holder{a, b} {
			if err := s.ask(h); err != nil && operatorerror.Of(err) == "" {
				s.t.Errorf("an error without advice: %v", err)
			}
			x, y := a.has(), b.has()
			if x+y > whole {
				s.t.Fatalf("%s: %v and %v are over the whole, %v", what, x, y, whole)
			}
		}
		return is(a.has(), b.has())
	})
}

func TestStewardsDivideThroughTheirOwnDeaths(t *testing.T) {
	s := newSite(t)
	if err := s.ask(newHolder("p1")); api.RemoteErrorOf(err).Code != "grant.NotFounded" {
		t.Errorf("before the founding: %v", err)
	}
	s.found()
	a, b := newHolder("p1"), newHolder("p2")
	halves := func(a, b float64) bool { return a == 500 && b == 500 }
	s.both("both have half", a, b, halves, 1000)

	lead := s.leader()
	s.stop(lead)
	s.both("both have half again under another leader", a, b, halves, 1000)

	other := s.leader()
	s.stop(other)
	s.both("a minority grants nothing, and leases end", a, b, func(a, b float64) bool { return a+b == 0 }, 1000)
	if err := s.ask(a); err == nil || operatorerror.Of(err) == "" || a.has() != 0 {
		t.Errorf("a minority says %v, and gives %v", err, a.has())
	}
	s.start(lead)
	s.start(other)
	s.both("both have half once the stewards are back", a, b, halves, 1000)

	s.file.Quotas[0].Limit = 400
	s.set()
	deadline := time.Now().Add(700 * time.Millisecond) // a lease, with its margin: then the lower whole holds
	s.both("the old whole ends", a, b, func(float64, float64) bool { return time.Now().After(deadline) }, 1000)
	s.both("both have half of the lower whole", a, b, func(a, b float64) bool { return a == 200 && b == 200 }, 400)

	b.ReleaseAll()
	s.both("who stays has all", a, b, func(a, _ float64) bool { return a == 400 }, 400)
}

func TestOrdersAreChecked(t *testing.T) {
	s := newSite(t)
	s.found()
	ctx := context.Background()
	refused := func(what, name string, err error) {
		t.Helper()
		if p := api.RemoteErrorOf(err); !strings.Contains(p.Code, name) || p.Help == "" {
			t.Errorf("%s: %s %v, with advice %q", what, p.Code, err, p.Help)
		}
	}
	s.must(s.file.Bootstrap(ctx, s.client, 1)) // told again
	short := *s.file
	short.MaxLifetime /= 2
	refused("a shorter longest", "BadCommand", short.Bootstrap(ctx, s.client, 2))
	wrong := *s.file
	wrong.Fleet = "south"
	refused("another fleet's founding", "OtherFleet", wrong.Bootstrap(ctx, s.client, 2))
	_, err := wrong.SetQuotas(ctx, s.client, 9, nil)
	refused("another fleet's budgets", "OtherFleet", err)
	_, err = s.file.SetQuotas(ctx, s.client, 1, nil)
	refused("an old version", "OldBudgets", err)
	stranger := newHolder("p1")
	stranger.Holder = quotalease.NewHolder(quotalease.HolderSettings{FleetID: "south", HolderID: quotalease.HolderID{Holder: "p1", Incarnation: 1}})
	lead := s.leader()
	err = api.CallWithTimeout(ctx, s.client, s.file.Servers[lead].Address, api.PathLease, stranger.NextRequest(0), nil)
	refused("another fleet's proxy", "OtherFleet", err)
	follower := s.file.Servers[(lead+1)%3]
	err = api.CallWithTimeout(ctx, s.client, follower.Address, api.PathLease, newHolder("p2").NextRequest(0), nil)
	if p := api.RemoteErrorOf(err); p.LeaderAddress != s.file.Servers[lead].Address || !strings.Contains(p.Code, "NotLeader") {
		t.Errorf("a follower says %+v", p)
	}

	// Founding anew: what was granted under the first epoch has ended before anything is granted under the second.
	a, b := newHolder("p1"), newHolder("p2")
	s.both("p1 has all or half", a, b, func(a, b float64) bool { return a > 0 }, 1000)
	s.must(s.file.Bootstrap(ctx, s.client, 2))
	s.until("budgets are set under the second epoch", func() bool {
		_, err := s.file.SetQuotas(ctx, s.client, 0, nil)
		if err != nil && b.has() > 0 && api.RemoteErrorOf(err).Code == "" {
			t.Errorf("an error without a name: %v", err)
		}
		return err == nil
	})
	s.both("both have half", a, b, func(a, b float64) bool { return a == 500 && b == 500 }, 1000)

	// A steward whose store was put back from an older copy stays out, says so, and the others go on.
	s.stop(0)
	old := filepath.Join(s.dirs[0], "log-2.db")
	copied, err := os.ReadFile(old)
	s.must(err)
	s.start(0)
	s.both("it takes part again", a, b, func(a, b float64) bool { return a == 500 && b == 500 && s.run[0].status.Load().Applied > 5 }, 1000)
	s.stop(0)
	s.must(os.WriteFile(old, copied, 0o600))
	s.start(0)
	s.both("it finds that its store is old", a, b, func(a, b float64) bool {
		return strings.Contains(s.run[0].status.Load().Fault.Code, "StoreRolledBack") && a == 500 && b == 500
	}, 1000)
}

// By TLS, among whom the CA has signed; nobody else gets a word.
func TestFiguresAreShownToWhoShowsACertificate(t *testing.T) {
	ca := tlstest.NewCA(t)
	files := ca.Issue(t, "steward", time.Hour)
	s := newSiteBy(t, &api.TLSFiles{Certificate: files.Certificate, Key: files.Key, CA: files.CA})
	stranger := tlstest.NewCA(t).Issue(t, "stranger", time.Hour)
	other, err := (&api.Config{TLS: &api.TLSFiles{Certificate: stranger.Certificate, Key: stranger.Key, CA: files.CA}}).LoadTLSKeys()
	s.must(err)
	for what, via := range map[string]http.RoundTripper{"in the clear": api.NewTransport(nil), "another CA's": api.NewTransport(other)} {
		client := &http.Client{Transport: via}
		if err := s.file.Bootstrap(context.Background(), client, 1); !errors.As(err, &api.ServerUnreachableError{}) {
			t.Errorf("%s: %v", what, err)
		}
		client.CloseIdleConnections()
	}
	s.found()
	s.must(func() error { s.until("an ask", func() bool { return s.ask(newHolder("p1")) == nil }); return nil }())
	lead := s.leader()
	s.until("figures", func() bool {
		r, err := s.client.Get("http://" + s.file.Servers[lead].Address + api.PathMetrics)
		s.must(err)
		defer r.Body.Close()
		var text strings.Builder
		buf := make([]byte, 1<<16)
		n, _ := r.Body.Read(buf)
		text.Write(buf[:n])
		return strings.Contains(text.String(), `lapisspread_budget_whole_units{budget="attempts"} 1000`) && strings.Contains(text.String(), "lapisspread_steward_leads 1")
	})
}

// BenchmarkAsks is of many proxies that ask three stewards on loopback, with their stores on the machine's disk: each in its own pace as
// fast as it is answered.
func BenchmarkAsks(b *testing.B) {
	for _, proxies := range []int{30, 300} {
		b.Run(fmt.Sprint(proxies), func(b *testing.B) {
			s := newSite(b)
			s.file.Quotas[0].Burst = 1000
			s.found()
			lead := s.file.Servers[s.leader()].Address
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: proxies}}
			defer client.CloseIdleConnections()
			before := *s.run[s.leader()].status.Load()
			var left, failed atomic.Int64
			left.Store(int64(b.N))
			b.ResetTimer()
			var all sync.WaitGroup
			for i := range proxies {
				all.Go(func() {
					h := newHolder(fmt.Sprint("p", i))
					for left.Add(-1) >= 0 {
						h.SetDemand("attempts", 1000)
						at := h.now()
						var reply quotalease.Reply
						if err := api.CallWithTimeout(context.Background(), client, lead, api.PathLease, h.NextRequest(at), &reply); err != nil {
							failed.Add(1)
							continue
						}
						_ = h.HandleReply(at, h.now(), reply)
					}
				})
			}
			all.Wait()
			b.StopTimer()
			s.run[s.leader()].refreshStatus()
			after := s.run[s.leader()].status.Load()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "asks/s")
			b.ReportMetric(float64(after.Counters["log_sent_bytes"]-before.Counters["log_sent_bytes"])/float64(b.N), "log-B/ask")
			b.ReportMetric(float64(after.Counters["proposals"]-before.Counters["proposals"])/float64(b.N), "entries/ask")
			b.ReportMetric(float64(failed.Load()), "failed")
		})
	}
}
