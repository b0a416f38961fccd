package quotalease

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lapisspread/internal/operatorerror"
)

// testConfig has a rate "r" and a quota of units in flight "h".
func testConfig(change func(*FleetConfig)) FleetConfig {
	config := FleetConfig{FleetID: "f", MaxDrift: .01, MaxLifetime: 10 * time.Second, Quotas: []Quota{
		{Name: "r", Kind: Rate, Limit: 10, Burst: 10, LeaseDuration: time.Second},
		{Name: "h", Kind: InFlight, Limit: 10, LeaseDuration: time.Second, MaxHoldTime: 2 * time.Second},
	}}
	if change != nil {
		change(&config)
	}
	return config
}

// testLog is a state machine that commands are applied to one after another.
type testLog struct {
	testing.TB
	*StateMachine
	requests uint64
}

// newTestLog returns a log that is bootstrapped, past its waiting time and configured.
func newTestLog(t testing.TB, change func(*FleetConfig)) *testLog {
	log := &testLog{TB: t, StateMachine: NewStateMachine()}
	log.mustApply(bootstrapCommand(1, 10*time.Second))
	log.mustApply(Command{Expire: &Expire{Token: log.bootstrapToken}})
	log.setQuotas(1, change)
	return log
}

// try applies a command under the next index.
func (l *testLog) try(command Command) (ApplyResult, error) {
	return l.Apply(l.AppliedIndex()+1, command)
}

func (l *testLog) mustApply(command Command) Token {
	l.Helper()
	result, err := l.try(command)
	if err != nil {
		l.Fatal(err)
	}
	return result.Token
}

func (l *testLog) setQuotas(version uint64, change func(*FleetConfig), removedHolders ...string) {
	l.Helper()
	l.mustApply(setQuotasCommand(version, change, removedHolders...))
}

// mustGrant grants units of a quota to the first incarnation of a holder.
func (l *testLog) mustGrant(holder, quota string, units float64) Token {
	l.Helper()
	return l.mustApply(l.grantCommand(holder, quota, units, nil))
}

// grantCommand answers a new request. change may be nil.
func (l *testLog) grantCommand(holder, quotaName string, units float64, change func(*Lease)) Command {
	l.requests++
	quota := l.config.Quota(quotaName)
	lease := &Lease{
		FleetID: "f", Epoch: 1, HolderID: processOf(holder), Quota: quotaName, Kind: quota.Kind,
		Amount: FromUnits(units), Duration: quota.LeaseDuration, MaxHoldTime: quota.MaxHoldTime, RequestSeq: l.requests,
	}
	if quota.Kind == Rate {
		lease.Burst = FromUnits(units)
	}
	if change != nil {
		change(lease)
	}
	return Command{Grant: lease}
}

func (l *testLog) wantOutstanding(quota string, want float64) {
	l.Helper()
	if got, _ := l.Outstanding(quota); got != FromUnits(want) {
		l.Errorf("%v units of %s are outstanding, not %v", got.Units(), quota, want)
	}
}

// processOf is the first incarnation of a name.
func processOf(holder string) HolderID { return HolderID{Holder: holder, Incarnation: 1} }

func bootstrapCommand(epoch uint64, maxLifetime time.Duration) Command {
	return Command{Bootstrap: &Bootstrap{FleetID: "f", Epoch: epoch, MaxDrift: .01, MaxLifetime: maxLifetime}}
}

func setQuotasCommand(version uint64, change func(*FleetConfig), removedHolders ...string) Command {
	return Command{SetQuotas: &SetQuotas{Version: version, Config: testConfig(change), RemovedHolders: removedHolders}}
}

func ackOf(holder, quota string, seq uint64, token Token, inFlight float64) Ack {
	return Ack{
		Epoch: 1, HolderID: processOf(holder), Quota: quota, RequestSeq: seq, Token: token,
		InFlight: FromUnits(inFlight),
	}
}

func ackCommand(holder, quota string, seq uint64, token Token, inFlight float64) Command {
	ack := ackOf(holder, quota, seq, token, inFlight)
	return Command{Ack: &ack}
}

func expireCommand(holder, quota string, token Token) Command {
	return Command{Expire: &Expire{HolderID: processOf(holder), Quota: quota, Token: token}}
}

func observeCommand(holder string, seen, floors uint64) Command {
	observed := &ObserveConfig{HolderID: processOf(holder), SeenVersion: seen, FloorsVersion: floors}
	return Command{ObserveConfig: observed}
}

func withFloors(floors map[string]float64) func(*FleetConfig) {
	return func(config *FleetConfig) { config.Quotas[0].Floors = floors }
}

// rejection is a command that a state machine must reject, with what comes before it in the log.
type rejection struct {
	name    string
	want    any // a pointer to the type of error
	command func(log *testLog) Command
}

var overLimitRejections = []rejection{
	{"over the limit", new(LimitExceededError), func(log *testLog) Command {
		log.mustGrant("a", "r", 6)
		return log.grantCommand("b", "r", 5, nil)
	}},
	{"over the burst", new(LimitExceededError), func(log *testLog) Command {
		log.mustGrant("a", "r", 6)
		return log.grantCommand("b", "r", 4, func(lease *Lease) { lease.Burst = FromUnits(5) })
	}},
	{"lowered, not yet taken up", new(LimitExceededError), func(log *testLog) Command {
		log.mustGrant("a", "r", 6)
		log.mustGrant("a", "r", 2)
		return log.grantCommand("b", "r", 5, nil)
	}},
	{"lowered, raised, the raise acknowledged only in part", new(LimitExceededError), func(log *testLog) Command {
		log.mustGrant("a", "r", 6)
		low := log.mustGrant("a", "r", 2)
		log.mustGrant("a", "r", 5)
		log.mustApply(ackCommand("a", "r", 1, low, 0))
		return log.grantCommand("b", "r", 6, nil)
	}},
	{"another incarnation", new(LimitExceededError), func(log *testLog) Command {
		log.mustGrant("a", "r", 6)
		return log.grantCommand("a", "r", 6, func(lease *Lease) { lease.Incarnation = 2 })
	}},
	{"units in flight above the acknowledged lease", new(LimitExceededError), func(log *testLog) Command {
		log.mustGrant("a", "h", 6)
		low := log.mustGrant("a", "h", 2)
		log.mustApply(ackCommand("a", "h", 1, low, 5))
		return log.grantCommand("b", "h", 6, nil)
	}},
	{"units in flight after a release", new(LimitExceededError), func(log *testLog) Command {
		token := log.mustGrant("a", "h", 6)
		log.mustApply(Command{Release: &Release{Ack: ackOf("a", "h", 1, token, 3)}})
		return log.grantCommand("b", "h", 8, nil)
	}},
	{"a floor that has no room yet", new(LimitExceededError), func(log *testLog) Command {
		log.mustGrant("a", "r", 8)
		return setQuotasCommand(2, withFloors(map[string]float64{"b": 3}))
	}},
}

var staleRejections = []rejection{
	{"an acknowledgement older than another", new(StaleTokenError), func(log *testLog) Command {
		log.mustGrant("a", "h", 6)
		low := log.mustGrant("a", "h", 2)
		log.mustApply(ackCommand("a", "h", 5, low, 5))
		return ackCommand("a", "h", 4, low, 0)
	}},
	{"a request that was answered", new(StaleTokenError), func(log *testLog) Command {
		command := log.grantCommand("a", "r", 6, nil)
		log.mustApply(command)
		return command
	}},
	{"an older epoch", new(StaleEpochError), func(log *testLog) Command {
		log.mustApply(bootstrapCommand(2, 10*time.Second))
		return log.grantCommand("a", "r", 1, nil)
	}},
	{"a proxy knows a newer configuration", new(StaleConfigError), func(log *testLog) Command {
		log.mustApply(observeCommand("a", 7, 0))
		return log.grantCommand("a", "r", 1, nil)
	}},
	{"an older configuration", new(StaleConfigError), func(*testLog) Command { return setQuotasCommand(1, nil) }},
}

var invalidRejections = []rejection{
	{"another fleet", new(FleetMismatchError), func(log *testLog) Command {
		return log.grantCommand("a", "r", 1, func(lease *Lease) { lease.FleetID = "g" })
	}},
	{"the waiting time after a bootstrap", new(BootstrapPendingError), func(log *testLog) Command {
		log.mustApply(bootstrapCommand(2, 10*time.Second))
		return log.grantCommand("a", "r", 1, func(lease *Lease) { lease.Epoch = 2 })
	}},
	{"bootstrapped again with a shorter lifetime", new(InvalidCommandError), func(*testLog) Command {
		return bootstrapCommand(2, time.Second)
	}},
	{"no such quota", new(UnknownQuotaError), func(log *testLog) Command {
		return log.grantCommand("a", "r", 1, func(lease *Lease) { lease.Quota = "x" })
	}},
	{"a longer lease", new(InvalidCommandError), func(log *testLog) Command {
		return log.grantCommand("a", "r", 1, func(lease *Lease) { lease.Duration *= 2 })
	}},
	{"another kind while leases are outstanding", new(InvalidCommandError), func(log *testLog) Command {
		log.mustGrant("a", "r", 8)
		return setQuotasCommand(2, func(config *FleetConfig) {
			config.Quotas[0].Name = "h"
			config.Quotas[1].Name = "r"
		})
	}},
}

func TestStateMachineRejectsWhatBreaksTheLimit(t *testing.T) {
	for _, rejections := range [][]rejection{overLimitRejections, staleRejections, invalidRejections} {
		for _, tt := range rejections {
			t.Run(tt.name, func(t *testing.T) { tt.check(t) })
		}
	}
	_, err := NewStateMachine().Apply(1, Command{ObserveConfig: &ObserveConfig{}})
	if !errors.As(err, new(NotBootstrappedError)) {
		t.Errorf("an empty state machine: %v", err)
	}
}

func (r rejection) check(t *testing.T) {
	log := newTestLog(t, nil)
	command := r.command(log)
	before, _ := log.Outstanding("r")
	_, err := log.try(command)
	if err == nil || !errors.As(err, r.want) {
		t.Fatalf("%v, not a %T", err, r.want)
	}
	if operatorerror.AdviceOf(err) == "" {
		t.Errorf("%v has no advice", err)
	}
	if after, _ := log.Outstanding("r"); after != before {
		t.Errorf("rejected, and %v outstanding, not %v", after, before)
	}
}

func TestStateMachineCountsUntilAckedOrExpired(t *testing.T) {
	log := newTestLog(t, nil)
	first := log.mustGrant("a", "r", 6)
	second := log.mustGrant("a", "r", 2)
	log.wantOutstanding("r", 6)
	log.mustApply(ackCommand("a", "r", 1, second, 0))
	log.wantOutstanding("r", 2)
	log.mustApply(expireCommand("a", "r", first)) // it was acknowledged away before
	log.wantOutstanding("r", 2)
	log.mustApply(expireCommand("a", "r", second))
	log.wantOutstanding("r", 0)

	token := log.mustGrant("a", "h", 6)
	residual := log.mustApply(Command{Release: &Release{Ack: ackOf("a", "h", 1, token, 3)}})
	log.wantOutstanding("h", 3)
	log.mustApply(ackCommand("a", "h", 2, token, 1))
	log.wantOutstanding("h", 1)
	log.mustApply(expireCommand("a", "h", residual)) // a lower residual has replaced it
	log.wantOutstanding("h", 1)
	log.mustApply(expireCommand("a", "h", log.PendingExpiries()[0].Token))
	log.wantOutstanding("h", 0)
}

// A lower limit rejects renewals above itself, and admits those that fit beside what is still outstanding.
func TestLowerLimitHoldsOnceOlderLeasesExpired(t *testing.T) {
	log := newTestLog(t, nil)
	tokenA := log.mustGrant("a", "r", 5)
	tokenB := log.mustGrant("b", "r", 5)
	log.setQuotas(2, func(config *FleetConfig) { config.Quotas[0].Limit = 6 })
	log.mustGrant("a", "r", 3)
	log.mustGrant("b", "r", 3)
	if _, err := log.try(log.grantCommand("b", "r", 4, nil)); !errors.As(err, new(LimitExceededError)) {
		t.Errorf("more than the lower limit was granted anew: %v", err)
	}
	log.wantOutstanding("r", 10)
	log.mustApply(expireCommand("a", "r", tokenA))
	log.mustApply(expireCommand("b", "r", tokenB))
	log.wantOutstanding("r", 6)
}

func TestFloorsCountUntilTheirHolderAdoptsLess(t *testing.T) {
	log := newTestLog(t, withFloors(map[string]float64{"a": 4, "b": 2}))
	log.wantOutstanding("r", 6)
	log.setQuotas(2, withFloors(map[string]float64{"a": 1}))
	log.wantOutstanding("r", 6)
	log.mustApply(observeCommand("a", 1, 1))
	log.wantOutstanding("r", 6)
	log.mustApply(observeCommand("a", 2, 2))
	log.wantOutstanding("r", 3)
	log.setQuotas(3, withFloors(map[string]float64{"a": 1}), "b")
	log.wantOutstanding("r", 1)
	if got := log.ReplyTo(processOf("a")).Floors["r"].Amount; got != FromUnits(1) {
		t.Errorf("a is told a floor of %v", got.Units())
	}
}

// A store put back from an older copy would give tokens again that holders know: it learns of them and goes above.
func TestTokensGoAboveWhatHoldersKnow(t *testing.T) {
	log := newTestLog(t, nil)
	known := Token{Epoch: 1, Index: 500}
	log.mustApply(ackCommand("a", "r", 1, known, 0))
	if got := log.mustGrant("a", "r", 1); got.Compare(known) <= 0 {
		t.Errorf("%v was granted after 1.500", got)
	}
}

// drawCommand draws a grant, an acknowledgement, a release or an expiry.
func drawCommand(t *rapid.T, log *testLog) Command {
	holder := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "holder")
	quota := rapid.SampledFrom([]string{"r", "h"}).Draw(t, "quota")
	token := Token{Epoch: 1, Index: uint64(rapid.IntRange(1, int(log.AppliedIndex()+1)).Draw(t, "token"))}
	seq := uint64(rapid.IntRange(1, 50).Draw(t, "seq"))
	inFlight := float64(rapid.IntRange(0, 5).Draw(t, "in flight"))
	ack := ackOf(holder, quota, seq, token, inFlight)
	switch rapid.IntRange(0, 4).Draw(t, "command") {
	case 0, 1:
		return log.grantCommand(holder, quota, float64(rapid.IntRange(0, 9).Draw(t, "units")), nil)
	case 2:
		return expireCommand(holder, quota, token)
	case 3:
		return Command{Release: &Release{Ack: ack, All: rapid.Bool().Draw(t, "all")}}
	}
	return Command{Ack: &ack}
}

// Whatever is applied, in whatever order: no more than the limit is outstanding, tokens grow, and a state machine
// that was restored goes on as the one that its snapshot was taken from.
func TestStateMachineUnderRandomCommands(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		log := newTestLog(t, func(config *FleetConfig) { config.Quotas[1].Floors = map[string]float64{"a": 2} })
		restored := NewStateMachine()
		if err := restored.Restore(snapshotOf(t, log.StateMachine)); err != nil {
			rt.Fatal(err)
		}
		last := Token{}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			command := drawCommand(rt, log)
			result, err := log.try(command)
			if result.Token.Compare(last) <= 0 {
				rt.Fatalf("token %v after %v", result.Token, last)
			}
			last = result.Token
			if _, again := restored.Apply(log.AppliedIndex(), command); fmt.Sprint(again) != fmt.Sprint(err) {
				rt.Fatalf("restored: %v, else %v", again, err)
			}
			for _, quota := range log.config.Quotas {
				amount, burst := log.Outstanding(quota.Name)
				if amount > FromUnits(quota.Limit) || burst > FromUnits(quota.Burst) {
					rt.Fatalf("%s: %v outstanding, burst %v", quota.Name, amount.Units(), burst.Units())
				}
			}
		}
		want := snapshotOf(t, log.StateMachine)
		for name, other := range map[string]*StateMachine{"restored": restored, "cloned": log.Clone()} {
			if got := snapshotOf(t, other); !bytes.Equal(got, want) {
				rt.Fatalf("the %s state is\n%s\nnot\n%s", name, got, want)
			}
		}
	})
}
