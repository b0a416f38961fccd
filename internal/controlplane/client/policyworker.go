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
	// reportsPerSilence is the number of reports that a proxy sends within the silence timeout, after which the servers
	// consider it failed.
	reportsPerSilence = 5
	// reportJitter is the fraction by which the time between two reports is randomized, so that the proxies of a fleet
	// do not report at the same time.
	reportJitter = .2
	// minPauseDivisor sets the minimum pause between two reports: the report interval divided by it.
	minPauseDivisor = 8
	// reportTimeout bounds one call to a server: a report or a request for chunks.
	reportTimeout = 2 * time.Second
	// unreadableRetryInterval is the time after which unreadable content is fetched again.
	unreadableRetryInterval = 30 * time.Second
)

// policyWorker is the state of one worker of a PolicyClient. Only its goroutine uses it.
type policyWorker struct {
	client      *PolicyClient
	generation  uint64
	fetcher     *fetcher
	serverIndex int
	address     string        // of the server for the next report
	interval    time.Duration // between reports, before jitter
	// report is sent repeatedly until it is answered. The servers count a report only once, by its sequence number.
	report *api.PolicyReport
}

// runWorker sends reports and installs offered policies until ctx ends. The supervisor calls it.
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
		sentAt := c.clock()
		err := w.sendReport(ctx)
		if ctx.Err() != nil {
			return
		}
		supervisor.Sleep(ctx, w.pause(sentAt, err))
	}
}

// pause returns the time until the next report. sentAt is when the last report was sent, and err its error. The
// duration of the call counts as part of the interval, because on a slow link the servers would otherwise consider the
// proxy silent. While content is being fetched, only the minimum pause is made between two rounds of fetching.
func (w *policyWorker) pause(sentAt time.Duration, err error) time.Duration {
	jitter := 1 - reportJitter + 2*reportJitter*rand.Float64()
	pause := time.Duration(float64(w.interval)*jitter) - (w.client.clock() - sentAt)
	if err == nil && w.fetcher.canFetch() {
		pause = 0
	}
	return max(pause, w.interval/minPauseDivisor)
}

// sendReport sends a report to one server and handles the offer in its reply. After an error the next report goes to
// another server, or to the leader that this server named.
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

// reportFailed counts a failed report and selects the server for the next one.
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

// newReport returns a report with the request counts since the last report, and resets those counts.
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

// handleOffer fetches the policy that a server offers. Once its content is complete, it installs the policy and stores
// it for the next process. It returns nil if the offer is not newer than the installed policy or is still being
// fetched.
func (c *PolicyClient) handleOffer(
	ctx context.Context, f *fetcher, reply api.PolicyReply, mayInstall func() bool,
) error {
	if reply.Fleet != c.config.File.Fleet {
		// The text is shown in the admin protocol and stays as it is; a steward is a control-plane server.
		return fmt.Errorf("a steward answers for fleet %q", reply.Fleet)
	}
	if !reply.Target.NewerThan(c.current.Load().Offer) && !c.mutations.skipOrderCheck {
		return nil // a server that has just become the leader may offer the previous version
	}
	if rejected := c.rejected.Load(); rejected.awaitsRetry(reply.Target, c.clock()) {
		return rejected.reason
	}
	content, err := c.offeredContent(ctx, f, reply)
	if err == nil && content.tree == nil {
		return nil // the content is still being fetched
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
		return nil // this worker was replaced and has installed nothing, so there is nothing to store
	}
	f.reset()
	if c.store == nil {
		return nil
	}
	if err := c.store.save(content); err != nil {
		// The text is shown in the admin protocol and stays as it is. It means that the policy is installed, but was not
		// stored for the next process.
		return fmt.Errorf("it holds, but is not kept for the next process: %w", err)
	}
	return nil
}

// awaitsRetry reports whether a version was rejected as unreadable and must not be fetched again yet.
func (r *rejectedPolicy) awaitsRetry(version rollout.Version, now time.Duration) bool {
	return r != nil && r.offer == version && r.tree == nil && now < r.retryAt
}

// offeredContent returns the content of an offer, with a nil tree while it is being fetched. Content that was rejected
// before is returned from memory and not fetched again.
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

// handleInstallError records a rejected version, with its content if that is readable, so that the content is not
// fetched repeatedly.
func (c *PolicyClient) handleInstallError(f *fetcher, reply api.PolicyReply, content policyContent, err error) {
	var malformed merkle.MalformedChunkError
	var unreadable unreadableError
	switch {
	case errors.As(err, &malformed) || errors.As(err, &unreadable):
		// The servers' content with the offered hash is unreadable.
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
