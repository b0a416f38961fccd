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
	maxProxies          = 16384       // that one rollout knows; reports of further ones are rejected
	maxProxyNameBytes   = 128         // reports with a longer name are rejected
	memberCheckInterval = time.Second // between two removals of proxies that are gone
	// removalTimeouts is after how many silence timeouts a proxy is removed.
	removalTimeouts = 3
)

// rolloutDriver runs the rollout on the leader. The log has which version is being rolled out and how each rollout
// ended; how far a rollout is exists here only. A new leader starts it again at the first step, with the same random
// order of proxies, because the epoch is the seed. Proxies that are further keep what they have: what they are offered
// is older.
type rolloutDriver struct {
	mu sync.Mutex // never held over I/O

	rollout         *rollout.Rollout // nil until syncWithLog
	active          rollout.Version  // of rollout
	candidate       rollout.Version  // that rollout has started; zero if none
	rolloutSince    time.Duration    // when rollout was made
	nextMemberCheck time.Duration
	proxies         map[string]*proxyState // by name

	regressions  *rollout.RegressionWatch
	regression   rollout.RegressionError // the last one; zero if none
	regressionAt time.Duration

	// Mutations for tests: each takes one safeguard out.
	announceBeforeCommit bool
	startBeforeQuorum    bool
}

// proxyState is what the leader knows of a proxy.
type proxyState struct {
	lastReport   time.Duration
	current      rollout.Version
	rejected     rollout.Version
	legacy       bool   // does not accept chunks
	lastSequence uint64 // of the last report that was counted
}

// reset forgets the rollout. It is called when this server does not lead.
func (d *rolloutDriver) reset() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rollout = nil
	d.proxies = nil
	d.regressions = nil
	d.regression = rollout.RegressionError{}
}

// activeVersion returns the version that all proxies have. In a fleet without a policy it has no epoch, and the
// generation of the current Raft epoch.
func activeVersion(status store.Status) rollout.Version {
	if status.Active.Epoch == 0 {
		return rollout.Version{Generation: status.Candidate.Generation}
	}
	return status.Active
}

// syncWithLog brings the rollout in line with what is committed. The caller holds the lock.
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

// startOver replaces the rollout by one from the active version.
func (d *rolloutDriver) startOver(now time.Duration, settings rollout.Settings, status store.Status) bool {
	fresh, err := rollout.New(settings, activeVersion(status))
	if err != nil {
		return false // cannot happen: Config.Validate has checked the settings
	}
	if d.proxies == nil {
		d.proxies = map[string]*proxyState{}
	}
	d.rollout = fresh
	d.active = activeVersion(status)
	d.candidate = rollout.Version{}
	d.rolloutSince = now
	d.nextMemberCheck = now
	return true
}

// removeSilent removes proxies that have been silent for long. It walks through all of them, so it is not called for
// each report.
func (d *rolloutDriver) removeSilent(now time.Duration, settings rollout.Settings) {
	d.nextMemberCheck = now + memberCheckInterval
	for name, proxy := range d.proxies {
		if now-proxy.lastReport > removalTimeouts*settings.SilenceTimeout {
			delete(d.proxies, name)
		}
	}
	d.rollout.SetMembers(now, slices.Sorted(maps.Keys(d.proxies)))
}

// mayStart reports whether the candidate can start to roll out. A new leader does not know its proxies: taking the
// first ones to report for the whole fleet would give the version to all at once. It waits for nine in ten of the
// proxies that the last rollout knew, or for the silence timeout.
func (d *rolloutDriver) mayStart(now time.Duration, settings rollout.Settings, status store.Status) bool {
	if status.Candidate.Epoch == 0 || status.Candidate == d.candidate || status.Stopped != nil {
		return false
	}
	known := status.ProxyCount > 0 && 10*len(d.proxies) >= 9*status.ProxyCount
	return known || now-d.rolloutSince > settings.SilenceTimeout || d.startBeforeQuorum
}

// advance moves the rollout on. The last step has no proxies to compare with, so it starts and ends under one lock: no
// proxy learns of it in between. The caller holds the lock.
func (d *rolloutDriver) advance(now time.Duration) {
	d.rollout.Tick(now)
	d.rollout.Tick(now)
}

// checkRegression returns a regression that is new. The caller holds the lock.
func (d *rolloutDriver) checkRegression(now time.Duration) (rollout.RegressionError, bool) {
	var regression rollout.RegressionError
	if !errors.As(d.regressions.Tick(now), &regression) {
		return regression, false
	}
	d.regression = regression
	d.regressionAt = now
	return regression, true
}

// lockedReport is report under the lock.
func (d *rolloutDriver) lockedReport(
	now time.Duration, settings rollout.Settings, status store.Status, report api.PolicyReport,
) (rollout.Version, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.report(now, settings, status, report)
}

// report records a proxy's report and returns the version that the proxy is to adopt, zero if none. It fails if the
// proxy is new and there are too many, or its name is empty or too long. The caller holds the lock.
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

// target returns the version that a proxy is to have, zero if none. The caller holds the lock.
//
// A completed rollout is not announced to all before that is committed. Otherwise a leader that dies in between leaves
// the next one without proxies to compare with, and the rollout never ends.
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
