package server

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const (
	metricsTimeout     = 5 * time.Second
	maxMetricsRequests = 4 // concurrent requests; further ones are rejected
)

// Metric names and help texts are part of the public interface: dashboards and docs/fleet.md use them.
var (
	quotaLabels = []string{"budget"}

	descLimit = prometheus.NewDesc("lapisspread_budget_whole_units",
		"The whole of a budget, units a second.", quotaLabels, nil)
	descGranted = prometheus.NewDesc("lapisspread_budget_granted_units",
		"What all together may still spend of a budget, floors included.", quotaLabels, nil)
	descLeader = prometheus.NewDesc("lapisspread_steward_leads",
		"1 if this steward leads.", nil, nil)
	descEpoch = prometheus.NewDesc("lapisspread_steward_epoch",
		"The fleet's founding; 0 is none.", nil, nil)
	descResponding = prometheus.NewDesc("lapisspread_steward_heard",
		"At the leader: stewards that answered lately, itself included.", nil, nil)
	descParticipating = prometheus.NewDesc("lapisspread_steward_takes_part",
		"0 if its store is not the latest or contradicts the log.", nil, nil)
	descCount = prometheus.NewDesc("lapisspread_steward_events_total",
		"What the steward counted since its start.", []string{"what"}, nil)
)

// collector exports the published status to Prometheus.
type collector struct{ *Server }

// Describe implements prometheus.Collector.
func (c collector) Describe(to chan<- *prometheus.Desc) { prometheus.DescribeByCollect(c, to) }

// Collect implements prometheus.Collector.
func (c collector) Collect(to chan<- prometheus.Metric) {
	status := c.status.Load()
	gauge := func(desc *prometheus.Desc, value float64, labels ...string) {
		to <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
	}
	gauge(descLeader, boolValue(status.Role == roleLeader))
	gauge(descEpoch, float64(status.Epoch))
	gauge(descResponding, float64(status.RespondingVoters))
	gauge(descParticipating, boolValue(status.Fault.Message == ""))
	for _, quota := range status.Quotas {
		gauge(descLimit, quota.Limit, quota.Name)
		gauge(descGranted, quota.Granted, quota.Name)
	}
	for what, count := range status.Counters {
		to <- prometheus.MustNewConstMetric(descCount, prometheus.CounterValue, float64(count), what)
	}
}

// boolValue returns 1 for true and 0 for false.
func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// metricsHandler returns a handler that exports the server's metrics in the Prometheus format.
func (s *Server) metricsHandler() http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collector{s})
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{
		Timeout:             metricsTimeout,
		MaxRequestsInFlight: maxMetricsRequests,
	})
}
