package server

import (
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"lapisspread/internal/consensus"
	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/policy/rollout"
	"lapisspread/internal/policy/store"
)

const (
	maxProxies          = 16384       // maximum number of tracked proxies; reports of further proxies are rejected
	maxProxyNameBytes   = 128         // reports of proxies with a longer name are rejected
	memberCheckInterval = time.Second // between two removals of silent proxies
	// removalTimeouts is the number of silence timeouts without a report after which a proxy is removed.
	removalTimeouts = 3
)

// rolloutDriver runs the rollout on the leader. The log records which version is being rolled out and how each rollout
// ended. The progress of a rollout is not in the log: a new leader restarts the rollout at the first step, with the
// same random order of proxies, because the epoch is the seed. Proxies that already have the new version keep it,
// because they do not adopt an older target.
type rolloutDriver struct {
	mu sync.Mutex // never held during I/O

	rollout         *rollout.Rollout // nil until syncWithLog
	active          rollout.Version  // version that rollout is based on
	candidate       rollout.Version  // version that rollout has started; zero if none
	rolloutSince    time.Duration    // when rollout was created
	nextMemberCheck time.Duration
	proxies         map[string]*proxyState // by name

	regressions  *rollout.RegressionWatch
	regression   rollout.RegressionError // the last one; zero if none
	regressionAt time.Duration

	// Mutations for tests: each disables one safeguard.
	announceBeforeCommit bool // target announces a completed rollout to all before its result is committed
	startBeforeQuorum    bool // mayStart does not wait for proxies to report
}

// proxyState is the leader's record of a proxy.
type proxyState struct {
	lastReport   time.Duration
	current      rollout.Version
	rejected     rollout.Version
	legacy       bool   // does not accept chunks
	lastSequence uint64 // of the last report that was counted
}

// reset discards the rollout, the proxies and the last regression. It is called while this server is not the leader.
func (d *rolloutDriver) reset() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rollout = nil
	d.proxies = nil
	d.regressions = nil
	d.regression = rollout.RegressionError{}
}

// activeVersion returns the version that all proxies have and that the next rollout starts from. In a fleet without a
// policy its epoch is 0, and its generation is the candidate's, which is that of the current Raft epoch.
func activeVersion(status store.Status) rollout.Version {
	if status.Active.Epoch == 0 {
		return rollout.Version{Generation: status.Candidate.Generation}
	}
	return status.Active
}

// syncWithLog updates the rollout to the committed status: it restarts it if another version has become active, removes
// silent proxies, and starts the candidate if possible. The caller must hold d.mu.
func (d *rolloutDriver) syncWithLog(now time.Duration, settings rollout.Settings, status store.Status) {
	if d.regressions == nil {
		d.regressions = rollout.NewRegressionWatch(settings)
	}
	completed := d.rollout != nil && d.candidate != (rollout.Version{}) && status.Active == d.candidate
	if completed {
		if d.active != status.Active {
			d.regressions.RolloutCompleted(now, status.Active.Epoch)
		}
		d.active = status.Active
	}
	if d.rollout == nil || d.active != activeVersion(status) {
		if !d.startOver(now, settings, status) {
			return
		}
	}
	if now >= d.nextMemberCheck {
		d.removeSilent(now, settings)
	}
	if d.mayStart(now, settings, status) {
		candidate := status.Candidate
		if d.rollout.Start(now, candidate.Epoch, candidate.Hash, candidate.Epoch) == nil {
			d.candidate = candidate
		}
	}
}

// startOver replaces the rollout by a new one that starts from the active version. It reports whether that succeeded.
func (d *rolloutDriver) startOver(now time.Duration, settings rollout.Settings, status store.Status) bool {
	newRollout, err := rollout.New(settings, activeVersion(status))
	if err != nil {
		return false // cannot happen: Config.Validate has checked the settings
	}
	if d.proxies == nil {
		d.proxies = map[string]*proxyState{}
	}
	d.rollout = newRollout
	d.active = activeVersion(status)
	d.candidate = rollout.Version{}
	d.rolloutSince = now
	d.nextMemberCheck = now
	return true
}

// removeSilent removes proxies without a report for removalTimeouts silence timeouts. It iterates over all proxies, so
// it is not called for each report.
func (d *rolloutDriver) removeSilent(now time.Duration, settings rollout.Settings) {
	d.nextMemberCheck = now + memberCheckInterval
	for name, proxy := range d.proxies {
		if now-proxy.lastReport > removalTimeouts*settings.SilenceTimeout {
			delete(d.proxies, name)
		}
	}
	d.rollout.SetMembers(now, slices.Sorted(maps.Keys(d.proxies)))
}

// mayStart reports whether the rollout of the candidate may start. A new leader does not know the proxies yet. If it
// treated the first proxies that report as the entire fleet, it would give the version to all of them at once. It
// therefore waits until at least 90% of the proxies recorded with the last rollout result have reported, or for the
// silence timeout.
func (d *rolloutDriver) mayStart(now time.Duration, settings rollout.Settings, status store.Status) bool {
	if status.Candidate.Epoch == 0 || status.Candidate == d.candidate || status.Stopped != nil {
		return false
	}
	known := status.ProxyCount > 0 && 10*len(d.proxies) >= 9*status.ProxyCount
	return known || now-d.rolloutSince > settings.SilenceTimeout || d.startBeforeQuorum
}

// advance advances the rollout. It calls Tick twice, because the last step has no proxies to compare with: the step
// starts and ends in the same call under the lock, and no proxy gets a target in between. The caller must hold d.mu.
func (d *rolloutDriver) advance(now time.Duration) {
	d.rollout.Tick(now)
	d.rollout.Tick(now)
}

// checkRegression returns a newly detected regression and records it. It reports false if there is none. The caller
// must hold d.mu.
func (d *rolloutDriver) checkRegression(now time.Duration) (rollout.RegressionError, bool) {
	var regression rollout.RegressionError
	if !errors.As(d.regressions.Tick(now), &regression) {
		return regression, false
	}
	d.regression = regression
	d.regressionAt = now
	return regression, true
}

// lockedReport calls report with d.mu held.
func (d *rolloutDriver) lockedReport(
	now time.Duration, settings rollout.Settings, status store.Status, report api.PolicyReport,
) (rollout.Version, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.report(now, settings, status, report)
}

// report records a proxy's report and returns the version that the proxy must adopt, zero if none. It returns a
// QueueFullError if the proxy is not tracked yet and maxProxies are, or its name is empty or longer than
// maxProxyNameBytes. The caller must hold d.mu.
func (d *rolloutDriver) report(
	now time.Duration, settings rollout.Settings, status store.Status, report api.PolicyReport,
) (rollout.Version, error) {
	proxy := d.proxies[report.Proxy]
	if proxy == nil {
		if report.Proxy == "" || len(report.Proxy) > maxProxyNameBytes || len(d.proxies) >= maxProxies {
			return rollout.Version{}, consensus.QueueFullError{Limit: maxProxies}
		}
		proxy = d.addProxy(now, report.Proxy)
	}
	proxy.lastReport = now
	proxy.current = report.Current
	proxy.rejected = report.Rejected
	proxy.legacy = !report.AcceptsChunks
	d.syncWithLog(now, settings, status)

	current := report.Current
	if active := activeVersion(status); active.Epoch == 0 && active.NewerThan(current) {
		current = active // a policy of an earlier Raft epoch counts as none
	}
	if report.Sequence > proxy.lastSequence {
		proxy.lastSequence = report.Sequence
		d.regressions.Report(now, report.Good, report.Bad)
	}
	d.rollout.Report(now, rollout.Report{
		Proxy:    report.Proxy,
		Sequence: report.Sequence,
		Current:  current,
		Good:     report.Good,
		Bad:      report.Bad,
	})
	return d.target(report.Proxy, status), nil
}

// addProxy starts to track a proxy and adds it to the rollout. The caller must hold d.mu.
func (d *rolloutDriver) addProxy(now time.Duration, name string) *proxyState {
	proxy := &proxyState{}
	if d.proxies == nil {
		d.proxies = map[string]*proxyState{}
	}
	d.proxies[name] = proxy
	if d.rollout != nil {
		d.rollout.Join(now, name)
	}
	return proxy
}

// target returns the version that a proxy must have, zero if none. The caller must hold d.mu.
//
// A completed rollout is announced to all proxies only after its result is committed. Otherwise, if the leader crashed
// in between, the next leader would find no proxies without the version to compare with, and the rollout would never
// end.
func (d *rolloutDriver) target(name string, status store.Status) rollout.Version {
	target := d.rollout.Target(name)
	state, _ := d.rollout.State()
	uncommitted := state == rollout.Done && d.candidate != status.Active
	if uncommitted && !d.announceBeforeCommit {
		target = status.Active
	}
	if target.Epoch == 0 {
		return rollout.Version{}
	}
	return target
}
