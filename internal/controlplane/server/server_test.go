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

// testCluster runs three servers on loopback, each with its own state directory.
type testCluster struct {
	t           testing.TB
	config      *api.Config
	client      *http.Client
	servers     [3]*runningServer
	stateDirs   [3]string
	partitioned atomic.Int64 // server that is partitioned from the others, counted from 1; 0 is none
}

// errPartitioned is the error of requests to and from the partitioned server.
var errPartitioned = errors.New("request to or from a partitioned server")

// partitionableTransport carries one server's requests to the others. Requests to or from the partitioned server fail.
type partitionableTransport struct {
	http.RoundTripper
	cluster *testCluster
	server  int
}

func (t partitionableTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if partitioned := int(t.cluster.partitioned.Load()); partitioned > 0 && (partitioned == t.server+1 ||
		r.URL.Host == t.cluster.config.Servers[partitioned-1].Address) {
		return nil, errPartitioned
	}
	return t.RoundTripper.RoundTrip(r)
}

// runningServer is a server with its Run method running.
type runningServer struct {
	*Server
	cancel context.CancelFunc
	done   chan error // receives the error of Run
}

func newCluster(t testing.TB) *testCluster { return newClusterWithTLS(t, nil) }

// newClusterConfig returns a configuration with short leases and rollout steps, and no servers yet.
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

// newClusterWithTLS starts three servers, with TLS unless files is nil.
func newClusterWithTLS(t testing.TB, files *api.TLSFiles) *testCluster {
	cluster := &testCluster{t: t, client: &http.Client{}, config: newClusterConfig(files)}
	keys, err := cluster.config.LoadTLSKeys()
	cluster.noError("loading the TLS keys", err)
	cluster.client.Transport = api.NewTransport(keys)
	var reserved []net.Listener // hold the ports until all addresses are known
	for i := range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		cluster.noError("reserving a port", err)
		reserved = append(reserved, listener)
		self := api.Server{Name: fmt.Sprint("s", i+1), ID: uint64(i + 1), Address: listener.Addr().String()}
		cluster.config.Servers = append(cluster.config.Servers, self)
		cluster.stateDirs[i] = t.TempDir()
	}
	for i := range 3 {
		cluster.noError("closing a reserved listener", reserved[i].Close())
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

// noError fails the test if the step failed.
func (cluster *testCluster) noError(step string, err error) {
	cluster.t.Helper()
	if err != nil {
		cluster.t.Fatalf("%s: unexpected error: %v", step, err)
	}
}

// start starts server i, counted from 0, on its state directory.
func (cluster *testCluster) start(i int) {
	cluster.t.Helper()
	keys, err := cluster.config.LoadTLSKeys()
	cluster.noError("loading the TLS keys", err)
	client := &http.Client{Transport: api.NewTransport(keys)}
	transport := partitionableTransport{client.Transport, cluster, i}
	server, err := New(Config{
		Fleet:        cluster.config,
		Name:         fmt.Sprint("s", i+1),
		StateDir:     cluster.stateDirs[i],
		TickInterval: 20 * time.Millisecond,
		Transport:    transport,
	})
	cluster.noError("New", err)
	listener, err := net.Listen("tcp", cluster.config.Servers[i].Address)
	cluster.noError("listening on the server's address", err)
	ctx, cancel := context.WithCancel(context.Background())
	running := &runningServer{server, cancel, make(chan error, 1)}
	go func() { err := server.Run(ctx, listener); client.CloseIdleConnections(); running.done <- err }()
	cluster.servers[i] = running
}

// stop stops server i, counted from 0, if it is running.
func (cluster *testCluster) stop(i int) {
	if server := cluster.servers[i]; server != nil {
		server.cancel()
		if err := <-server.done; err != nil && !errors.Is(err, http.ErrServerClosed) {
			cluster.t.Errorf("Run of server %s returned %v after the stop, want no error", server.self.Name, err)
		}
		cluster.servers[i] = nil
	}
}

// until polls a condition and fails the test if it is not true within 40 seconds.
func (cluster *testCluster) until(what string, condition func() bool) {
	cluster.t.Helper()
	const timeout = 40 * time.Second
	for end := time.Now().Add(timeout); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			for i, server := range cluster.servers {
				if server != nil {
					cluster.t.Logf("status of server %d: %+v", i, *server.status.Load())
				}
			}
			cluster.t.Fatalf("timed out after %v waiting for: %s", timeout, what)
		}
	}
}

// bootstrap starts epoch 1 and sets the configured quotas.
func (cluster *testCluster) bootstrap() {
	cluster.t.Helper()
	cluster.noError("bootstrap of epoch 1", cluster.config.Bootstrap(context.Background(), cluster.client, 1))
	cluster.setQuotas()
}

// setQuotas sets the configured quotas, and retries until a leader accepts them.
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

// leader waits until a server is the leader and returns its index.
func (cluster *testCluster) leader() int {
	leader := -1
	cluster.until("a server is the leader", func() bool {
		for i, server := range cluster.servers {
			if server != nil && server.status.Load().Role == roleLeader {
				leader = i
				return true
			}
		}
		return false
	})
	return leader
}

// call sends one request to a server and decodes its reply into out.
func (cluster *testCluster) call(address, path string, in, out any) error {
	return api.CallWithTimeout(context.Background(), cluster.client, address, path, in, out)
}

// testHolder is a proxy that holds leases.
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

// now returns the time since the holder's start.
func (h *testHolder) now() time.Duration { return time.Since(h.startedAt) }

// requestLease sends a lease request to one server after another until one replies. It returns the last error if none
// does.
func (cluster *testCluster) requestLease(h *testHolder) (err error) {
	h.SetDemand("attempts", 1000)
	sentAt := h.now()
	request := h.NextRequest(sentAt)
	for _, server := range cluster.config.Servers {
		var reply quotalease.Reply
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		err = api.Call(ctx, cluster.client, server.Address, api.PathLease, request, &reply)
		cancel()
		if err == nil {
			return h.HandleReply(sentAt, h.now(), reply)
		}
	}
	return err
}

// granted returns the units that the holder has leased.
func (h *testHolder) granted() float64 { return h.Status(h.now(), "attempts").Amount.Units() }

// requestBothUntil requests leases for both holders until the condition on their granted units is true. It checks that
// together they never have more than the limit.
func (cluster *testCluster) requestBothUntil(
	what string, a, b *testHolder, condition func(a, b float64) bool, limit float64,
) {
	cluster.t.Helper()
	cluster.until(what, func() bool {
		for _, holder := range []*testHolder{a, b} {
			if err := cluster.requestLease(holder); err != nil && operatorerror.AdviceOf(err) == "" {
				cluster.t.Errorf("%s: lease request failed with an error without advice: %v", what, err)
			}
			grantedA, grantedB := a.granted(), b.granted()
			if grantedA+grantedB > limit {
				cluster.t.Fatalf("%s: holders have %v and %v units, together more than the limit %v",
					what, grantedA, grantedB, limit)
			}
		}
		return condition(a.granted(), b.granted())
	})
}

func TestLeasesStayWithinLimitAcrossServerRestarts(t *testing.T) {
	cluster := newCluster(t)
	if err := cluster.requestLease(newTestHolder("p1")); api.RemoteErrorOf(err).Code != "grant.NotFounded" {
		t.Errorf("lease request before the bootstrap returned error %v, want code grant.NotFounded", err)
	}
	cluster.bootstrap()
	a, b := newTestHolder("p1"), newTestHolder("p2")
	cluster.requestBothUntil("both holders have half of the limit", a, b, bothHaveHalf, 1000)

	firstLeader := cluster.leader()
	cluster.stop(firstLeader)
	cluster.requestBothUntil("both holders have half of the limit under another leader", a, b, bothHaveHalf, 1000)

	nextLeader := cluster.leader()
	cluster.stop(nextLeader)
	cluster.requestBothUntil(
		"all leases have expired, since a minority of the servers grants none", a, b,
		func(a, b float64) bool { return a+b == 0 }, 1000,
	)
	if err := cluster.requestLease(a); err == nil || operatorerror.AdviceOf(err) == "" || a.granted() != 0 {
		t.Errorf("lease request to a minority of the servers returned error %v, holder has %v units, "+
			"want an error with advice and 0 units", err, a.granted())
	}
	cluster.start(firstLeader)
	cluster.start(nextLeader)
	cluster.requestBothUntil("both holders have half of the limit after the restarts", a, b, bothHaveHalf, 1000)

	cluster.config.Quotas[0].Limit = 400
	cluster.setQuotas()
	deadline := time.Now().Add(700 * time.Millisecond) // longer than a lease of 600 ms; then the lower limit applies
	cluster.requestBothUntil(
		"the leases granted under the higher limit expire", a, b,
		func(float64, float64) bool { return time.Now().After(deadline) }, 1000,
	)
	cluster.requestBothUntil(
		"both holders have half of the lower limit", a, b, func(a, b float64) bool { return a == 200 && b == 200 }, 400,
	)

	b.ReleaseAll()
	cluster.requestBothUntil(
		"the remaining holder has the full limit", a, b, func(a, _ float64) bool { return a == 400 }, 400,
	)
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
	checkRejected := func(what, code string, err error) {
		t.Helper()
		if remote := api.RemoteErrorOf(err); !strings.Contains(remote.Code, code) || remote.Help == "" {
			t.Errorf("%s: got error %v with code %q and advice %q, want a code that contains %q, and advice",
				what, err, remote.Code, remote.Help, code)
		}
	}
	cluster.noError("repeated bootstrap of epoch 1", cluster.config.Bootstrap(ctx, cluster.client, 1))
	shorter := *cluster.config
	shorter.MaxLifetime /= 2
	checkRejected("bootstrap with a shorter maximum lifetime", "BadCommand", shorter.Bootstrap(ctx, cluster.client, 2))
	otherFleet := *cluster.config
	otherFleet.Fleet = "south"
	checkRejected("bootstrap of another fleet", "OtherFleet", otherFleet.Bootstrap(ctx, cluster.client, 2))
	_, err := otherFleet.SetQuotas(ctx, cluster.client, 9, nil)
	checkRejected("quotas of another fleet", "OtherFleet", err)
	_, err = cluster.config.SetQuotas(ctx, cluster.client, 1, nil)
	checkRejected("quotas with a version already used", "OldBudgets", err)

	otherFleetHolder := newTestHolder("p1")
	otherFleetHolder.Holder = quotalease.NewHolder(quotalease.HolderSettings{
		FleetID:  "south",
		HolderID: quotalease.HolderID{Holder: "p1", Incarnation: 1},
	})
	leader := cluster.leader()
	leaderAddress := cluster.config.Servers[leader].Address
	followerAddress := cluster.config.Servers[(leader+1)%3].Address
	err = cluster.call(leaderAddress, api.PathLease, otherFleetHolder.NextRequest(0), nil)
	checkRejected("lease request of another fleet's proxy", "OtherFleet", err)
	err = cluster.call(followerAddress, api.PathLease, newTestHolder("p2").NextRequest(0), nil)
	remote := api.RemoteErrorOf(err)
	if remote.LeaderAddress != leaderAddress || !strings.Contains(remote.Code, "NotLeader") {
		t.Errorf("lease request to a follower returned %+v, want code NotLeader and leader address %s",
			remote, leaderAddress)
	}
}

// checkSecondEpoch bootstraps a second epoch, and checks that all leases of the first epoch have expired before any is
// granted under the second.
func checkSecondEpoch(t *testing.T, cluster *testCluster, a, b *testHolder) {
	ctx := context.Background()
	cluster.requestBothUntil("p1 has a lease", a, b, func(a, _ float64) bool { return a > 0 }, 1000)
	cluster.noError("bootstrap of epoch 2", cluster.config.Bootstrap(ctx, cluster.client, 2))
	cluster.until("quotas are set under the second epoch", func() bool {
		_, err := cluster.config.SetQuotas(ctx, cluster.client, 0, nil)
		if err != nil && b.granted() > 0 && api.RemoteErrorOf(err).Code == "" {
			t.Errorf("SetQuotas under the second epoch returned an error without a code: %v", err)
		}
		return err == nil
	})
	cluster.requestBothUntil("both holders have half of the limit", a, b, bothHaveHalf, 1000)
}

// checkRestoredLog replaces a server's log by an older copy. The server must stop taking part and report it, while the
// others continue to grant leases.
func checkRestoredLog(cluster *testCluster, a, b *testHolder) {
	cluster.stop(0)
	path := filepath.Join(cluster.stateDirs[0], "log-2.db")
	oldLog, err := os.ReadFile(path)
	cluster.noError("copying the log", err)
	cluster.start(0)
	cluster.requestBothUntil("the restarted server applies entries again", a, b, func(a, b float64) bool {
		return bothHaveHalf(a, b) && cluster.servers[0].status.Load().Applied > 5
	}, 1000)
	cluster.stop(0)
	cluster.noError("replacing the log by the older copy", os.WriteFile(path, oldLog, 0o600))
	cluster.start(0)
	cluster.requestBothUntil("the server reports that its log was rolled back", a, b, func(a, b float64) bool {
		fault := cluster.servers[0].status.Load().Fault
		return strings.Contains(fault.Code, "StoreRolledBack") && bothHaveHalf(a, b)
	}, 1000)
}

// bothHaveHalf reports whether both holders have half of the limit of 1000.
func bothHaveHalf(a, b float64) bool { return a == 500 && b == 500 }

// Servers accept only callers with a certificate of the fleet's CA. Other callers get no reply.
func TestMetricsRequireClientCertificate(t *testing.T) {
	ca := tlstest.NewCA(t)
	files := ca.Issue(t, "steward", time.Hour)
	cluster := newClusterWithTLS(t, &api.TLSFiles{Certificate: files.Certificate, Key: files.Key, CA: files.CA})
	otherCAFiles := tlstest.NewCA(t).Issue(t, "stranger", time.Hour)
	otherCAKeys, err := (&api.Config{
		TLS: &api.TLSFiles{Certificate: otherCAFiles.Certificate, Key: otherCAFiles.Key, CA: files.CA},
	}).LoadTLSKeys()
	cluster.noError("loading the keys issued by another CA", err)
	for what, transport := range map[string]http.RoundTripper{
		"without TLS":                      api.NewTransport(nil),
		"with a certificate of another CA": api.NewTransport(otherCAKeys),
	} {
		client := &http.Client{Transport: transport}
		err := cluster.config.Bootstrap(context.Background(), client, 1)
		if !errors.As(err, &api.ServerUnreachableError{}) {
			t.Errorf("Bootstrap %s returned %v, want a ServerUnreachableError", what, err)
		}
		client.CloseIdleConnections()
	}
	cluster.bootstrap()
	cluster.until("a lease request succeeds", func() bool { return cluster.requestLease(newTestHolder("p1")) == nil })
	leader := cluster.leader()
	cluster.until("the leader exports the quota limit and its role as metrics", func() bool {
		response, err := cluster.client.Get("http://" + cluster.config.Servers[leader].Address + api.PathMetrics)
		cluster.noError("requesting the metrics", err)
		defer func() { _ = response.Body.Close() }()
		var text strings.Builder
		buf := make([]byte, 1<<16)
		n, _ := response.Body.Read(buf)
		text.Write(buf[:n])
		return strings.Contains(
			text.String(), `lapisspread_budget_whole_units{budget="attempts"} 1000`,
		) && strings.Contains(text.String(), "lapisspread_steward_leads 1")
	})
}

// BenchmarkAsks measures lease requests of many proxies to three servers on loopback, with their logs on disk. Each
// proxy sends its next request once the previous one is answered.
func BenchmarkAsks(b *testing.B) {
	for _, proxies := range []int{30, 300} {
		b.Run(fmt.Sprint(proxies), func(b *testing.B) {
			cluster := newCluster(b)
			cluster.config.Quotas[0].Burst = 1000
			cluster.bootstrap()
			leaderAddress := cluster.config.Servers[cluster.leader()].Address
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: proxies}}
			defer client.CloseIdleConnections()
			before := *cluster.servers[cluster.leader()].status.Load()
			var remaining, failed atomic.Int64
			remaining.Store(int64(b.N))
			b.ResetTimer()
			var workers sync.WaitGroup
			for i := range proxies {
				workers.Go(func() {
					holder := newTestHolder(fmt.Sprint("p", i))
					for remaining.Add(-1) >= 0 {
						holder.SetDemand("attempts", 1000)
						sentAt := holder.now()
						var reply quotalease.Reply
						ctx := context.Background()
						request := holder.NextRequest(sentAt)
						err := api.CallWithTimeout(ctx, client, leaderAddress, api.PathLease, request, &reply)
						if err != nil {
							failed.Add(1)
							continue
						}
						_ = holder.HandleReply(sentAt, holder.now(), reply)
					}
				})
			}
			workers.Wait()
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
