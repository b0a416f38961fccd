package client

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/policy/merkle"
	"lapisspread/internal/policy/rollout"
	"lapisspread/internal/supervisor"
)

const (
	// minReportInterval and maxReportInterval bound the time between two reports.
	minReportInterval = 50 * time.Millisecond
	maxReportInterval = time.Second
	// reportsPerSilence is how many reports a proxy sends in the time after which the servers take it for silent.
	reportsPerSilence = 5
	// reportJitter is the part by which the time between two reports is randomized, so that a fleet does not report
	// in step.
	reportJitter = .2
	// minPauseDivisor sets the least pause between two reports: the report interval divided by it.
	minPauseDivisor = 8
	// reportTimeout bounds one call.
	reportTimeout = 2 * time.Second
	// unreadableRetryInterval is the time until content that can't be read is fetched again.
	unreadableRetryInterval = 30 * time.Second
)

// policyWorker is the state of one worker of a PolicyClient. Only its goroutine uses it.
type policyWorker struct {
	client      *PolicyClient
	generation  uint64
	fetcher     *fetcher
	serverIndex int
	address     string // of the server that is called next
	interval    time.Duration
	// report is sent again until it is answered. The servers count a report that they get twice once.
	report *api.PolicyReport
}

// runWorker reports until ctx ends, and installs what the servers offer.
func (c *PolicyClient) runWorker(ctx context.Context, generation uint64) {
	servers := c.config.File.Servers
	silence := c.config.File.RolloutSettings().SilenceTimeout
	w := &policyWorker{
		client:      c,
		generation:  generation,
		fetcher:     newFetcher(c),
		serverIndex: rand.IntN(len(servers)),
		interval:    min(maxReportInterval, max(minReportInterval, silence/reportsPerSilence)),
	}
	w.address = servers[w.serverIndex].Address
	for ctx.Err() == nil {
		c.worker.Heartbeat()
		begin := c.clock()
		err := w.sendReport(ctx)
		if ctx.Err() != nil {
			return
		}
		supervisor.Sleep(ctx, w.pause(begin, err))
	}
}

// pause is the time until the next report. Over a slow link the time of the call is part of the interval, else the
// proxy would look silent; and while something is fetched, a report is due between two turns of fetching, no more.
func (w *policyWorker) pause(begin time.Duration, err error) time.Duration {
	jitter := 1 - reportJitter + 2*reportJitter*rand.Float64()
	pause := time.Duration(float64(w.interval)*jitter) - (w.client.clock() - begin)
	if err == nil && w.fetcher.canFetch() {
		pause = 0
	}
	return max(pause, w.interval/minPauseDivisor)
}

// sendReport sends a report to one server and handles what the server offers. After an error the next report goes
// to another server, or to the leader that this one named.
func (w *policyWorker) sendReport(ctx context.Context) error {
	c := w.client
	if w.report == nil {
		w.report = c.newReport()
	}
	w.report.MaxChunkBytes = w.fetcher.reportBytes
	c.counters.requests.Add(1)
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var reply api.PolicyReply
	err := api.Call(callCtx, c.httpClient, w.address, api.PathPolicyReport, w.report, &reply)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err != nil {
		w.reportFailed(err, callCtx.Err() != nil)
		return err
	}
	c.counters.answered.Add(1)
	c.setServer(w.address)
	w.report = nil
	w.fetcher.adjustReportBytes(false)
	mayInstall := func() bool { return ctx.Err() == nil && c.isCurrent(w.generation) }
	if err := c.handleOffer(ctx, w.fetcher, reply, mayInstall); err != nil {
		c.reportFault(PolicyNotInstalledError{reply.Target.Epoch, err})
	}
	return nil
}

// reportFailed chooses the server of the next report.
func (w *policyWorker) reportFailed(err error, timedOut bool) {
	c := w.client
	c.counters.failed.Add(1)
	if leader := redirectedTo(err, w.address); leader != "" {
		w.address = leader
		return
	}
	c.reportFault(err)
	w.fetcher.adjustReportBytes(timedOut)
	servers := c.config.File.Servers
	w.serverIndex = (w.serverIndex + 1) % len(servers)
	w.address = servers[w.serverIndex].Address
}

// newReport takes the counts of requests since the last report.
func (c *PolicyClient) newReport() *api.PolicyReport {
	current := c.current.Load()
	report := &api.PolicyReport{
		Fleet:         c.config.File.Fleet,
		Proxy:         c.config.ProxyName,
		Sequence:      c.lastReportNumber.Add(1),
		Current:       current.Offer,
		Good:          current.goodRequests.Swap(0),
		Bad:           current.badRequests.Swap(0),
		AcceptsChunks: true,
	}
	if rejected := c.rejected.Load(); rejected != nil {
		report.Rejected = rejected.offer
	}
	return report
}

// handleOffer installs what a server offers, once all of it is there, and keeps it for the next process.
func (c *PolicyClient) handleOffer(
	ctx context.Context, f *fetcher, reply api.PolicyReply, mayInstall func() bool,
) error {
	if reply.Fleet != c.config.File.Fleet {
		return fmt.Errorf("a steward answers for fleet %q", reply.Fleet)
	}
	if !reply.Target.NewerThan(c.current.Load().Offer) && !c.mutations.skipOrderCheck {
		return nil // a server that has just become the leader may offer the one before
	}
	if rejected := c.rejected.Load(); rejected.awaitsRetry(reply.Target, c.clock()) {
		return rejected.reason
	}
	content, err := c.offeredContent(ctx, f, reply)
	if err == nil && content.tree == nil {
		return nil // it is being fetched
	}
	if err == nil {
		err = c.installContent(content, mayInstall)
	}
	if err != nil {
		c.handleInstallError(f, reply, content, err)
		return err
	}
	c.rejected.Store(nil)
	if c.current.Load().Offer != reply.Target {
		return nil // another worker has taken over: only what is in force is kept
	}
	f.reset()
	if c.store == nil {
		return nil
	}
	if err := c.store.save(content); err != nil {
		return fmt.Errorf("it holds, but is not kept for the next process: %w", err)
	}
	return nil
}

// awaitsRetry reports whether a version was rejected as unreadable, and is not to be fetched again yet.
func (r *rejectedPolicy) awaitsRetry(version rollout.Version, now time.Duration) bool {
	return r != nil && r.offer == version && r.tree == nil && now < r.retryAt
}

// offeredContent returns the content of an offer. Its tree is nil while it is being fetched. The content of a
// version that was rejected is not fetched again.
func (c *PolicyClient) offeredContent(ctx context.Context, f *fetcher, reply api.PolicyReply) (policyContent, error) {
	if rejected := c.rejected.Load(); rejected != nil && rejected.offer == reply.Target && rejected.tree != nil {
		return rejected.policyContent, nil
	}
	if !reply.Chunked {
		return contentFromText(reply.Target, reply.Text)
	}
	content := policyContent{offer: reply.Target}
	var err error
	content.tree, err = f.fetch(ctx, reply)
	if content.tree != nil {
		content.hash = content.tree.Root().String()
	}
	return content, err
}

// handleInstallError remembers content that can't be installed yet, so that it is not fetched again and again.
func (c *PolicyClient) handleInstallError(f *fetcher, reply api.PolicyReply, content policyContent, err error) {
	var malformed merkle.MalformedChunkError
	var unreadable unreadableError
	switch {
	case errors.As(err, &malformed) || errors.As(err, &unreadable):
		// What the servers have under the offered hash can't be read.
		c.rejected.Store(&rejectedPolicy{
			policyContent: policyContent{offer: reply.Target},
			reason:        err,
			retryAt:       c.clock() + unreadableRetryInterval,
		})
		f.reset()
	case content.tree != nil && content.hash == content.offer.Hash:
		c.rejected.Store(&rejectedPolicy{policyContent: content})
	}
}
