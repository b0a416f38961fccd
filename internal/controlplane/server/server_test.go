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

// testCluster is three servers on loopback, each with its own state directory.
type testCluster struct {
	t           testing.TB
	config      *api.Config
	client      *http.Client
	servers     [3]*runningServer
	stateDirs   [3]string
	partitioned atomic.Int64 // the server that is cut off, counted from 1; 0 is none
}

// partitionableTransport carries one server's calls to the others.
type partitionableTransport struct {
	http.RoundTripper
	cluster *testCluster
	server  int
}

func (l partitionableTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if cut := int(l.cluster.partitioned.Load()); cut > 0 && (cut == l.server+1 ||
		r.URL.Host == l.cluster.config.Servers[cut-1].Address) {
		return nil, errors.New("cut")
	}
	return l.RoundTripper.RoundTrip(r)
}

type runningServer struct {
	*Server
	cancel context.CancelFunc
	done   chan error
}

func newCluster(t testing.TB) *testCluster { return newClusterWithTLS(t, nil) }

// newClusterConfig returns a configuration with short leases and steps, and no servers yet.
func newClusterConfig(files *api.TLSFiles) *api.Config {
	const lease = strictconfig.Duration(600 * time.Millisecond)
	const step = strictconfig.Duration(400 * time.Millisecond)
	return &api.Config{
		Version:     api.FileVersion,
		Fleet:       "north",
		MaxDrift:    .001,
		MaxLifetime: lease,
		TLS:         files,
		Quotas: []api.Quota{{
			Name:          "attempts",
			Filter:        api.AttemptFilter{Attempts: api.AllAttempts},
			Limit:         1000,
			Burst:         100,
			LeaseDuration: lease,
		}},
		Policy: api.PolicySettings{
			StepDuration:   step,
			WatchDuration:  step,
			MinRequests:    100,
			SilenceTimeout: strictconfig.Duration(2 * time.Second),
		},
	}
}

func newClusterWithTLS(t testing.TB, files *api.TLSFiles) *testCluster {
	cluster := &testCluster{t: t, client: &http.Client{}, config: newClusterConfig(files)}
	keys, err := cluster.config.LoadTLSKeys()
	cluster.noError(err)
	cluster.client.Transport = api.NewTransport(keys)
	var reserved []net.Listener
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		cluster.noError(err)
		reserved = append(reserved, l)
		self := api.Server{Name: fmt.Sprint("s", i+1), ID: uint64(i + 1), Address: l.Addr().String()}
		cluster.config.Servers = append(cluster.config.Servers, self)
		cluster.stateDirs[i] = t.TempDir()
	}
	for i := range 3 {
		cluster.noError(reserved[i].Close())
		cluster.start(i)
	}
	t.Cleanup(func() {
		for i := range 3 {
			cluster.stop(i)
		}
		cluster.client.CloseIdleConnections()
	})
	return cluster
}

func (cluster *testCluster) noError(err error) {
	cluster.t.Helper()
	if err != nil {
		cluster.t.Fatal(err)
	}
}

func (cluster *testCluster) start(i int) {
	cluster.t.Helper()
	keys, err := cluster.config.LoadTLSKeys()
	cluster.noError(err)
	way := &http.Client{Transport: api.NewTransport(keys)}
	via := partitionableTransport{way.Transport, cluster, i}
	st, err := New(Config{
		Fleet:        cluster.config,
		Name:         fmt.Sprint("s", i+1),
		StateDir:     cluster.stateDirs[i],
		TickInterval: 20 * time.Millisecond,
		Transport:    via,
	})
	cluster.noError(err)
	l, err := net.Listen("tcp", cluster.config.Servers[i].Address)
	cluster.noError(err)
	ctx, cancel := context.WithCancel(context.Background())
	p := &runningServer{st, cancel, make(chan error, 1)}
	go func() { err := st.Run(ctx, l); way.CloseIdleConnections(); p.done <- err }()
	cluster.servers[i] = p
}

func (cluster *testCluster) stop(i int) {
	if p := cluster.servers[i]; p != nil {
		p.cancel()
		if err := <-p.done; err != nil && !errors.Is(err, http.ErrServerClosed) {
			cluster.t.Error(err)
		}
		cluster.servers[i] = nil
	}
}

// until waits for a condition that must become true.
func (cluster *testCluster) until(what string, is func() bool) {
	cluster.t.Helper()
	for end := time.Now().Add(40 * time.Second); !is(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			for _, p := range cluster.servers {
				if p != nil {
					cluster.t.Logf("%+v", *p.status.Load())
				}
			}
			cluster.t.Fatalf("timed out: %s", what)
		}
	}
}

func (cluster *testCluster) bootstrap() {
	cluster.t.Helper()
	cluster.noError(cluster.config.Bootstrap(context.Background(), cluster.client, 1))
	cluster.setQuotas()
}

func (cluster *testCluster) setQuotas() {
	cluster.t.Helper()
	cluster.until(
		"quotas are set",
		func() bool {
			_, err := cluster.config.SetQuotas(
				context.Background(), cluster.client, 0, nil,
			)
			return err == nil
		},
	)
}

func (cluster *testCluster) leader() int {
	lead := -1
	cluster.until("a leader", func() bool {
		for i, p := range cluster.servers {
			if p != nil && p.status.Load().Role == roleLeader {
				lead = i
				return true
			}
		}
		return false
	})
	return lead
}

// call sends one request to a server.
func (cluster *testCluster) call(address, path string, in, out any) error {
	return api.CallWithTimeout(context.Background(), cluster.client, address, path, in, out)
}

// testHolder requests leases, from one server after another.
type testHolder struct {
	*quotalease.Holder
	startedAt time.Time
}

func newTestHolder(name string) *testHolder {
	return &testHolder{
		quotalease.NewHolder(quotalease.HolderSettings{
			FleetID:  "north",
			HolderID: quotalease.HolderID{Holder: name, Incarnation: 7},
			MaxDrift: .001,
		}),
		time.Now(),
	}
}

func (h *testHolder) now() time.Duration { return time.Since(h.startedAt) }

// requestLease returns the last error if no server granted the request.
func (cluster *testCluster) requestLease(h *testHolder) (err error) {
	h.SetDemand("attempts", 1000)
	at := h.now()
	r := h.NextRequest(at)
	for _, o := range cluster.config.Servers {
		var reply quotalease.Reply
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		err = api.Call(ctx, cluster.client, o.Address, api.PathLease, r, &reply)
		cancel()
		if err == nil {
			return h.HandleReply(at, h.now(), reply)
		}
	}
	return err
}

func (h *testHolder) granted() float64 { return h.Status(h.now(), "attempts").Amount.Units() }

// requestBothUntil requests leases for both holders until the condition is true, and checks that together they never
// have more than the limit.
func (cluster *testCluster) requestBothUntil(what string, a, b *testHolder, is func(a, b float64) bool, whole float64) {
	cluster.t.Helper()
	cluster.until(what, func() bool {
		for _, h := range []*testHolder{a, b} {
			if err := cluster.requestLease(h); err != nil && operatorerror.AdviceOf(err) == "" {
				cluster.t.Errorf("an error without advice: %v", err)
			}
			x, y := a.granted(), b.granted()
			if x+y > whole {
				cluster.t.Fatalf("%s: %v and %v exceed the limit %v", what, x, y, whole)
			}
		}
		return is(a.granted(), b.granted())
	})
}

func TestLeasesStayWithinLimitAcrossServerRestarts(t *testing.T) {
	cluster := newCluster(t)
	if err := cluster.requestLease(newTestHolder("p1")); api.RemoteErrorOf(err).Code != "grant.NotFounded" {
		t.Errorf("before the bootstrap: %v", err)
	}
	cluster.bootstrap()
	a, b := newTestHolder("p1"), newTestHolder("p2")
	cluster.requestBothUntil("both have half", a, b, bothHaveHalf, 1000)

	lead := cluster.leader()
	cluster.stop(lead)
	cluster.requestBothUntil("both have half again under another leader", a, b, bothHaveHalf, 1000)

	other := cluster.leader()
	cluster.stop(other)
	cluster.requestBothUntil(
		"a minority grants nothing, and leases end", a, b, func(a, b float64) bool { return a+b == 0 }, 1000,
	)
	if err := cluster.requestLease(a); err == nil || operatorerror.AdviceOf(err) == "" || a.granted() != 0 {
		t.Errorf("a minority says %v, and gives %v", err, a.granted())
	}
	cluster.start(lead)
	cluster.start(other)
	cluster.requestBothUntil("both have half once the servers are back", a, b, bothHaveHalf, 1000)

	cluster.config.Quotas[0].Limit = 400
	cluster.setQuotas()
	deadline := time.Now().Add(700 * time.Millisecond) // a lease with its margin; then the lower limit holds
	cluster.requestBothUntil(
		"leases of the higher limit expire", a, b,
		func(float64, float64) bool { return time.Now().After(deadline) }, 1000,
	)
	cluster.requestBothUntil(
		"both have half of the lower limit", a, b, func(a, b float64) bool { return a == 200 && b == 200 }, 400,
	)

	b.ReleaseAll()
	cluster.requestBothUntil("the one that stays has all", a, b, func(a, _ float64) bool { return a == 400 }, 400)
}

func TestOperatorCommandsAreValidated(t *testing.T) {
	cluster := newCluster(t)
	cluster.bootstrap()
	checkInvalidCommands(t, cluster)
	a, b := newTestHolder("p1"), newTestHolder("p2")
	checkSecondEpoch(t, cluster, a, b)
	checkRestoredLog(cluster, a, b)
}

func checkInvalidCommands(t *testing.T, cluster *testCluster) {
	ctx := context.Background()
	rejected := func(what, code string, err error) {
		t.Helper()
		if remote := api.RemoteErrorOf(err); !strings.Contains(remote.Code, code) || remote.Help == "" {
			t.Errorf("%s: %s %v, with advice %q", what, remote.Code, err, remote.Help)
		}
	}
	cluster.noError(cluster.config.Bootstrap(ctx, cluster.client, 1)) // repeated
	shorter := *cluster.config
	shorter.MaxLifetime /= 2
	rejected("a shorter lifetime", "BadCommand", shorter.Bootstrap(ctx, cluster.client, 2))
	other := *cluster.config
	other.Fleet = "south"
	rejected("another fleet's bootstrap", "OtherFleet", other.Bootstrap(ctx, cluster.client, 2))
	_, err := other.SetQuotas(ctx, cluster.client, 9, nil)
	rejected("another fleet's quotas", "OtherFleet", err)
	_, err = cluster.config.SetQuotas(ctx, cluster.client, 1, nil)
	rejected("an old version", "OldBudgets", err)

	stranger := newTestHolder("p1")
	stranger.Holder = quotalease.NewHolder(quotalease.HolderSettings{
		FleetID:  "south",
		HolderID: quotalease.HolderID{Holder: "p1", Incarnation: 1},
	})
	lead := cluster.leader()
	leader := cluster.config.Servers[lead].Address
	follower := cluster.config.Servers[(lead+1)%3].Address
	err = cluster.call(leader, api.PathLease, stranger.NextRequest(0), nil)
	rejected("another fleet's proxy", "OtherFleet", err)
	err = cluster.call(follower, api.PathLease, newTestHolder("p2").NextRequest(0), nil)
	remote := api.RemoteErrorOf(err)
	if remote.LeaderAddress != leader || !strings.Contains(remote.Code, "NotLeader") {
		t.Errorf("a follower says %+v", remote)
	}
}

// checkSecondEpoch bootstraps again: leases of the first epoch have expired before any is granted under the second.
func checkSecondEpoch(t *testing.T, cluster *testCluster, a, b *testHolder) {
	ctx := context.Background()
	cluster.requestBothUntil("p1 has all or half", a, b, func(a, _ float64) bool { return a > 0 }, 1000)
	cluster.noError(cluster.config.Bootstrap(ctx, cluster.client, 2))
	cluster.until("quotas are set under the second epoch", func() bool {
		_, err := cluster.config.SetQuotas(ctx, cluster.client, 0, nil)
		if err != nil && b.granted() > 0 && api.RemoteErrorOf(err).Code == "" {
			t.Errorf("an error without a name: %v", err)
		}
		return err == nil
	})
	cluster.requestBothUntil("both have half", a, b, bothHaveHalf, 1000)
}

// checkRestoredLog restores a server's log from an older copy: it takes no part and reports it; the others go on.
func checkRestoredLog(cluster *testCluster, a, b *testHolder) {
	cluster.stop(0)
	path := filepath.Join(cluster.stateDirs[0], "log-2.db")
	copied, err := os.ReadFile(path)
	cluster.noError(err)
	cluster.start(0)
	cluster.requestBothUntil("it takes part again", a, b, func(a, b float64) bool {
		return bothHaveHalf(a, b) && cluster.servers[0].status.Load().Applied > 5
	}, 1000)
	cluster.stop(0)
	cluster.noError(os.WriteFile(path, copied, 0o600))
	cluster.start(0)
	cluster.requestBothUntil("it finds that its log is old", a, b, func(a, b float64) bool {
		fault := cluster.servers[0].status.Load().Fault
		return strings.Contains(fault.Code, "StoreRolledBack") && bothHaveHalf(a, b)
	}, 1000)
}

func bothHaveHalf(a, b float64) bool { return a == 500 && b == 500 }

// Servers and their callers need a certificate of the fleet's CA; other callers get no answer.
func TestMetricsRequireClientCertificate(t *testing.T) {
	ca := tlstest.NewCA(t)
	files := ca.Issue(t, "steward", time.Hour)
	cluster := newClusterWithTLS(t, &api.TLSFiles{Certificate: files.Certificate, Key: files.Key, CA: files.CA})
	stranger := tlstest.NewCA(t).Issue(t, "stranger", time.Hour)
	other, err := (&api.Config{
		TLS: &api.TLSFiles{Certificate: stranger.Certificate, Key: stranger.Key, CA: files.CA},
	}).LoadTLSKeys()
	cluster.noError(err)
	for what, via := range map[string]http.RoundTripper{
		"in the clear": api.NewTransport(nil),
		"another CA's": api.NewTransport(other),
	} {
		client := &http.Client{Transport: via}
		err := cluster.config.Bootstrap(context.Background(), client, 1)
		if !errors.As(err, &api.ServerUnreachableError{}) {
			t.Errorf("%s: %v", what, err)
		}
		client.CloseIdleConnections()
	}
	cluster.bootstrap()
	cluster.noError(func() error {
		cluster.until("a lease request", func() bool { return cluster.requestLease(newTestHolder("p1")) == nil })
		return nil
	}())
	lead := cluster.leader()
	cluster.until("metrics", func() bool {
		r, err := cluster.client.Get("http://" + cluster.config.Servers[lead].Address + api.PathMetrics)
		cluster.noError(err)
		defer func() { _ = r.Body.Close() }()
		var text strings.Builder
		buf := make([]byte, 1<<16)
		n, _ := r.Body.Read(buf)
		text.Write(buf[:n])
		return strings.Contains(
			text.String(), `lapisspread_budget_whole_units{budget="attempts"} 1000`,
		) && strings.Contains(text.String(), "lapisspread_steward_leads 1")
	})
}

// BenchmarkAsks measures lease requests of many proxies to three servers on loopback, with their logs on disk. Each
// proxy sends its next request when the last one is answered.
func BenchmarkAsks(b *testing.B) {
	for _, proxies := range []int{30, 300} {
		b.Run(fmt.Sprint(proxies), func(b *testing.B) {
			cluster := newCluster(b)
			cluster.config.Quotas[0].Burst = 1000
			cluster.bootstrap()
			lead := cluster.config.Servers[cluster.leader()].Address
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: proxies}}
			defer client.CloseIdleConnections()
			before := *cluster.servers[cluster.leader()].status.Load()
			var left, failed atomic.Int64
			left.Store(int64(b.N))
			b.ResetTimer()
			var all sync.WaitGroup
			for i := range proxies {
				all.Go(func() {
					h := newTestHolder(fmt.Sprint("p", i))
					for left.Add(-1) >= 0 {
						h.SetDemand("attempts", 1000)
						at := h.now()
						var reply quotalease.Reply
						ctx := context.Background()
						err := api.CallWithTimeout(ctx, client, lead, api.PathLease, h.NextRequest(at), &reply)
						if err != nil {
							failed.Add(1)
							continue
						}
						_ = h.HandleReply(at, h.now(), reply)
					}
				})
			}
			all.Wait()
			b.StopTimer()
			cluster.servers[cluster.leader()].refreshStatus()
			after := cluster.servers[cluster.leader()].status.Load()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "asks/s")
			b.ReportMetric(
				float64(after.Counters["log_sent_bytes"]-before.Counters["log_sent_bytes"])/float64(b.N), "log-B/ask",
			)
			b.ReportMetric(
				float64(after.Counters["proposals"]-before.Counters["proposals"])/float64(b.N), "entries/ask",
			)
			b.ReportMetric(float64(failed.Load()), "failed")
		})
	}
}
