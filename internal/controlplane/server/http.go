package server

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/policy/store"
	"lapisspread/internal/quotalease"
)

// Handler serves proxies, operators and the other stewards.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+api.PathLease, func(w http.ResponseWriter, r *http.Request) {
		var in quotalease.Request
		if s.decodeRequest(w, r, &in) {
			reply, err := s.requestLease(r.Context(), in, api.RequestTimeout(r, maxRequestWait))
			s.writeReply(w, reply, err)
		}
	})
	mux.HandleFunc("POST "+api.PathBootstrap, func(w http.ResponseWriter, r *http.Request) {
		var in api.BootstrapRequest
		if s.decodeRequest(w, r, &in) {
			err := s.bootstrap(in)
			if err != nil {
				s.warn("a founding was refused", err)
			}
			s.writeReply(w, struct{}{}, err)
		}
	})
	mux.HandleFunc("POST "+api.PathSetQuotas, func(w http.ResponseWriter, r *http.Request) {
		var in quotalease.SetQuotas
		if s.decodeRequest(w, r, &in) {
			s.writeReply(w, struct{}{}, s.setQuotas(r.Context(), in))
		}
	})
	mux.HandleFunc("POST "+api.PathPolicyCommand, func(w http.ResponseWriter, r *http.Request) {
		var in store.Command
		if s.decodeRequest(w, r, &in) {
			s.writeReply(w, struct{}{}, s.policyCommand(r.Context(), in))
		}
	})
	mux.HandleFunc("POST "+api.PathPolicyReport, func(w http.ResponseWriter, r *http.Request) {
		var in api.PolicyReport
		if s.decodeRequest(w, r, &in) {
			reply, err := s.policyReport(in)
			s.writeReply(w, reply, err)
		}
	})
	mux.HandleFunc("POST "+api.PathPolicyChunks, func(w http.ResponseWriter, r *http.Request) {
		var in api.ChunksRequest
		if s.decodeRequest(w, r, &in) {
			reply, err := s.policyChunks(in)
			s.writeReply(w, reply, err)
		}
	})
	mux.HandleFunc("GET "+api.PathPolicyStatus, func(w http.ResponseWriter, _ *http.Request) {
		status, err := s.policyStatus()
		s.writeReply(w, status, err)
	})
	mux.HandleFunc("GET "+api.PathStatus, func(w http.ResponseWriter, _ *http.Request) { s.writeReply(w, s.status.Load(), nil) })
	mux.Handle("GET "+api.PathMetrics, s.metrics())
	mux.HandleFunc("/consensus/", func(w http.ResponseWriter, r *http.Request) {
		t := s.replica.Load()
		if t == nil {
			api.WriteReply(w, http.StatusServiceUnavailable, s.remoteError(quotalease.NotBootstrappedError{}))
			return
		}
		t.handler.ServeHTTP(w, r)
	})
	return mux
}

func (s *Server) decodeRequest(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := api.DecodeBody(r.Body, v); err != nil {
		api.WriteReply(w, http.StatusBadRequest, s.remoteError(err))
		return false
	}
	return true
}

func (s *Server) writeReply(w http.ResponseWriter, v any, err error) {
	if err != nil {
		api.WriteReply(w, http.StatusConflict, s.remoteError(err))
		return
	}
	api.WriteReply(w, http.StatusOK, v)
}

// runStatus keeps the status new, so that who asks for it waits for nobody.
func (s *Server) runStatus(ctx context.Context) {
	every := time.NewTicker(200 * time.Millisecond)
	defer every.Stop()
	trouble := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
			s.refreshStatus()
			if p := s.status.Load().Fault; p.Message != trouble {
				if trouble = p.Message; trouble != "" {
					s.warn("the steward takes no part any more", p)
				}
			}
		}
	}
}

func (s *Server) refreshStatus() {
	c := &s.counters
	out := &api.ServerStatus{Name: s.self.Name, Fleet: s.config.Fleet.Fleet, ID: s.self.ID, Counters: map[string]uint64{
		"asks": c.requests.Load(), "answered": c.answered.Load(), "refused": c.rejectedRequests.Load(), "queue_full": c.queueFull.Load(), "proposals": c.proposals.Load(),
		"grants": c.leasesGranted.Load(), "rejected": c.rejectedCommands.Load(), "failed": c.failedProposals.Load(), "floors_twice": c.duplicateFloorClaims.Load()}}
	if t := s.replica.Load(); t != nil {
		n := t.node.Status()
		out.Epoch, out.Role, out.Term, out.Commit, out.Applied = t.bootstrap.Epoch, n.Role, n.Term, n.Commit, n.Applied
		out.UnconfirmedServers, out.RespondingVoters, out.Voters, out.Fault = n.UnconfirmedPeers, n.ActiveVoters, len(n.Voters), api.RemoteErrorOf(n.Err)
		out.Leader, out.LeaderName = s.addressOf(n.Leader)
		f := t.node.Metrics()
		out.Counters["log_sent"], out.Counters["log_sent_bytes"], out.Counters["log_lost"], out.Counters["log_refused"], out.Counters["log_writes"] =
			f.Sent, f.SentBytes, f.Dropped, f.Rejected, f.SyncedWrites
		m := t.state
		p := m.chunks.Counters()
		out.Counters["pieces_along"], out.Counters["pieces_named"], out.Counters["pieces_bytes"], out.Counters["pieces_lacked"], out.Counters["pieces_later"] =
			p.Pushed, p.Requested, p.Bytes, p.Missing, p.Deferred
		m.quotaMu.Lock()
		config, version := m.quotas.Config()
		_, _, err := m.quotas.Bootstrapped()
		out.ConfigVersion, out.QuotasUnset = version, err != nil || version == 0
		for i := range config.Quotas {
			b := &config.Quotas[i]
			amount, burst := m.quotas.Outstanding(b.Name)
			out.Quotas = append(out.Quotas, api.QuotaUsage{Name: b.Name, Limit: b.Limit, Burst: b.Burst, Granted: amount.Units(), GrantedBurst: burst.Units()})
		}
		m.quotaMu.Unlock()
	}
	s.status.Store(out)
}

// collector gives the status as Prometheus has it.
type collector struct{ *Server }

var (
	quotaLabels       = []string{"budget"}
	descLimit         = prometheus.NewDesc("lapisspread_budget_whole_units", "The whole of a budget, units a second.", quotaLabels, nil)
	descGranted       = prometheus.NewDesc("lapisspread_budget_granted_units", "What all together may still spend of a budget, floors included.", quotaLabels, nil)
	descLeader        = prometheus.NewDesc("lapisspread_steward_leads", "1 if this steward leads.", nil, nil)
	descEpoch         = prometheus.NewDesc("lapisspread_steward_epoch", "The fleet's founding; 0 is none.", nil, nil)
	descResponding    = prometheus.NewDesc("lapisspread_steward_heard", "At the leader: stewards that answered lately, itself included.", nil, nil)
	descParticipating = prometheus.NewDesc("lapisspread_steward_takes_part", "0 if its store is not the latest or contradicts the log.", nil, nil)
	descCount         = prometheus.NewDesc("lapisspread_steward_events_total", "What the steward counted since its start.", []string{"what"}, nil)
)

// Describe implements prometheus.Collector.
func (c collector) Describe(to chan<- *prometheus.Desc) { prometheus.DescribeByCollect(c, to) }

// Collect implements prometheus.Collector.
func (c collector) Collect(to chan<- prometheus.Metric) {
	s := c.status.Load()
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		to <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	is := map[bool]float64{true: 1}
	gauge(descLeader, is[s.Role == roleLeader])
	gauge(descEpoch, float64(s.Epoch))
	gauge(descResponding, float64(s.RespondingVoters))
	gauge(descParticipating, is[s.Fault.Message == ""])
	for _, b := range s.Quotas {
		gauge(descLimit, b.Limit, b.Name)
		gauge(descGranted, b.Granted, b.Name)
	}
	for what, n := range s.Counters {
		to <- prometheus.MustNewConstMetric(descCount, prometheus.CounterValue, float64(n), what)
	}
}

func (s *Server) metrics() http.Handler {
	r := prometheus.NewRegistry()
	r.MustRegister(collector{s})
	return promhttp.HandlerFor(r, promhttp.HandlerOpts{Timeout: 5 * time.Second, MaxRequestsInFlight: 4})
}
