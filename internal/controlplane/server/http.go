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
func (s *Steward) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+api.PathAsk, func(w http.ResponseWriter, r *http.Request) {
		var in quotalease.Request
		if s.read(w, r, &in) {
			reply, err := s.asked(r.Context(), in, api.Waits(r, answerTime))
			s.write(w, reply, err)
		}
	})
	mux.HandleFunc("POST "+api.PathFound, func(w http.ResponseWriter, r *http.Request) {
		var in api.Founding
		if s.read(w, r, &in) {
			err := s.found(in)
			if err != nil {
				s.warn("a founding was refused", err)
			}
			s.write(w, struct{}{}, err)
		}
	})
	mux.HandleFunc("POST "+api.PathSet, func(w http.ResponseWriter, r *http.Request) {
		var in quotalease.SetQuotas
		if s.read(w, r, &in) {
			s.write(w, struct{}{}, s.setBudgets(r.Context(), in))
		}
	})
	mux.HandleFunc("POST "+api.PathOrder, func(w http.ResponseWriter, r *http.Request) {
		var in store.Command
		if s.read(w, r, &in) {
			s.write(w, struct{}{}, s.order(r.Context(), in))
		}
	})
	mux.HandleFunc("POST "+api.PathReport, func(w http.ResponseWriter, r *http.Request) {
		var in api.PolicyReport
		if s.read(w, r, &in) {
			reply, err := s.reported(in)
			s.write(w, reply, err)
		}
	})
	mux.HandleFunc("POST "+api.PathPieces, func(w http.ResponseWriter, r *http.Request) {
		var in api.PiecesRequest
		if s.read(w, r, &in) {
			reply, err := s.piecesOf(in)
			s.write(w, reply, err)
		}
	})
	mux.HandleFunc("GET "+api.PathPolicy, func(w http.ResponseWriter, _ *http.Request) {
		status, err := s.policyStatus()
		s.write(w, status, err)
	})
	mux.HandleFunc("GET "+api.PathStatus, func(w http.ResponseWriter, _ *http.Request) { s.write(w, s.stand.Load(), nil) })
	mux.Handle("GET "+api.PathMetrics, s.metrics())
	mux.HandleFunc("/consensus/", func(w http.ResponseWriter, r *http.Request) {
		t := s.now.Load()
		if t == nil {
			api.Write(w, http.StatusServiceUnavailable, s.told(quotalease.NotBootstrappedError{}))
			return
		}
		t.handler.ServeHTTP(w, r)
	})
	return mux
}

func (s *Steward) read(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := api.Read(r.Body, v); err != nil {
		api.Write(w, http.StatusBadRequest, s.told(err))
		return false
	}
	return true
}

func (s *Steward) write(w http.ResponseWriter, v any, err error) {
	if err != nil {
		api.Write(w, http.StatusConflict, s.told(err))
		return
	}
	api.Write(w, http.StatusOK, v)
}

// figures keeps the status new, so that who asks for it waits for nobody.
func (s *Steward) figures(ctx context.Context) {
	every := time.NewTicker(200 * time.Millisecond)
	defer every.Stop()
	trouble := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
			s.look()
			if p := s.stand.Load().Trouble; p.Text != trouble {
				if trouble = p.Text; trouble != "" {
					s.warn("the steward takes no part any more", p)
				}
			}
		}
	}
}

func (s *Steward) look() {
	c := &s.counts
	out := &api.Status{Name: s.own.Name, Fleet: s.set.File.Fleet, ID: s.own.Number, Counts: map[string]uint64{
		"asks": c.asks.Load(), "answered": c.answered.Load(), "refused": c.refused.Load(), "queue_full": c.full.Load(), "proposals": c.proposals.Load(),
		"grants": c.grants.Load(), "rejected": c.rejected.Load(), "failed": c.failed.Load(), "floors_twice": c.twice.Load()}}
	if t := s.now.Load(); t != nil {
		n := t.node.Status()
		out.Epoch, out.Role, out.Term, out.Commit, out.Applied = t.founding.Epoch, n.Role, n.Term, n.Commit, n.Applied
		out.Silent, out.Heard, out.Voters, out.Trouble = n.UnconfirmedPeers, n.ActiveVoters, len(n.Voters), api.ProblemOf(n.Err)
		out.Leader, out.LeaderName = s.address(n.Leader)
		f := t.node.Metrics()
		out.Counts["log_sent"], out.Counts["log_sent_bytes"], out.Counts["log_lost"], out.Counts["log_refused"], out.Counts["log_writes"] =
			f.Sent, f.SentBytes, f.Dropped, f.Rejected, f.SyncedWrites
		m := t.machine
		p := m.shelf.Counts()
		out.Counts["pieces_along"], out.Counts["pieces_named"], out.Counts["pieces_bytes"], out.Counts["pieces_lacked"], out.Counts["pieces_later"] =
			p.Along, p.Named, p.Bytes, p.Lacks, p.Later
		m.mu.Lock()
		config, version := m.book.Config()
		_, _, err := m.book.Bootstrapped()
		out.Version, out.Unset = version, err != nil || version == 0
		for i := range config.Quotas {
			b := &config.Quotas[i]
			amount, burst := m.book.Outstanding(b.Name)
			out.Budgets = append(out.Budgets, api.Counted{Name: b.Name, Whole: b.Limit, Burst: b.Burst, Granted: amount.Units(), BurstsHeld: burst.Units()})
		}
		m.mu.Unlock()
	}
	s.stand.Store(out)
}

// collector gives the status as Prometheus has it.
type collector struct{ *Steward }

var (
	ofBudget  = []string{"budget"}
	descWhole = prometheus.NewDesc("lapisspread_budget_whole_units", "The whole of a budget, units a second.", ofBudget, nil)
	descOut   = prometheus.NewDesc("lapisspread_budget_granted_units", "What all together may still spend of a budget, floors included.", ofBudget, nil)
	descLead  = prometheus.NewDesc("lapisspread_steward_leads", "1 if this steward leads.", nil, nil)
	descEpoch = prometheus.NewDesc("lapisspread_steward_epoch", "The fleet's founding; 0 is none.", nil, nil)
	descHeard = prometheus.NewDesc("lapisspread_steward_heard", "At the leader: stewards that answered lately, itself included.", nil, nil)
	descOK    = prometheus.NewDesc("lapisspread_steward_takes_part", "0 if its store is not the latest or contradicts the log.", nil, nil)
	descCount = prometheus.NewDesc("lapisspread_steward_events_total", "What the steward counted since its start.", []string{"what"}, nil)
)

// Describe implements prometheus.Collector.
func (c collector) Describe(to chan<- *prometheus.Desc) { prometheus.DescribeByCollect(c, to) }

// Collect implements prometheus.Collector.
func (c collector) Collect(to chan<- prometheus.Metric) {
	s := c.stand.Load()
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		to <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	is := map[bool]float64{true: 1}
	gauge(descLead, is[s.Role == leads])
	gauge(descEpoch, float64(s.Epoch))
	gauge(descHeard, float64(s.Heard))
	gauge(descOK, is[s.Trouble.Text == ""])
	for _, b := range s.Budgets {
		gauge(descWhole, b.Whole, b.Name)
		gauge(descOut, b.Granted, b.Name)
	}
	for what, n := range s.Counts {
		to <- prometheus.MustNewConstMetric(descCount, prometheus.CounterValue, float64(n), what)
	}
}

func (s *Steward) metrics() http.Handler {
	r := prometheus.NewRegistry()
	r.MustRegister(collector{s})
	return promhttp.HandlerFor(r, promhttp.HandlerOpts{Timeout: 5 * time.Second, MaxRequestsInFlight: 4})
}
