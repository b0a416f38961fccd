package quotalease

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lapisspread/internal/operatorerror"
)

// testConfig returns a configuration with the rate quota "r" and the in-flight quota "h", both with a limit of 10.
// change, which may be nil, modifies it.
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

// testLog is a state machine to which commands are applied under successive log indices.
type testLog struct {
	testing.TB
	*StateMachine
	requests uint64 // the number of grant commands so far, each for a new request
}

// newTestLog returns a log that is bootstrapped and configured, with the waiting time after the bootstrap over.
func newTestLog(t testing.TB, change func(*FleetConfig)) *testLog {
	log := &testLog{TB: t, StateMachine: NewStateMachine()}
	log.mustApply(bootstrapCommand(1, 10*time.Second))
	log.mustApply(Command{Expire: &Expire{Token: log.bootstrapToken}})
	log.setQuotas(1, change)
	return log
}

// try applies a command under the next index and returns the error if it is rejected.
func (l *testLog) try(command Command) (ApplyResult, error) {
	return l.Apply(l.AppliedIndex()+1, command)
}

// mustApply applies a command that must be accepted and returns its token.
func (l *testLog) mustApply(command Command) Token {
	l.Helper()
	result, err := l.try(command)
	if err != nil {
		l.Fatalf("Apply(%s) = error %v, want no error", commandText(l, command), err)
	}
	return result.Token
}

// commandText returns a command as it is stored in the log.
func commandText(t testing.TB, command Command) []byte {
	t.Helper()
	text, err := json.Marshal(command)
	if err != nil {
		t.Fatalf("json.Marshal(command) = error %v, want no error", err)
	}
	return text
}

// setQuotas applies testConfig, as modified by change, under a configuration version.
func (l *testLog) setQuotas(version uint64, change func(*FleetConfig), removedHolders ...string) {
	l.Helper()
	l.mustApply(setQuotasCommand(version, change, removedHolders...))
}

// mustGrant grants units of a quota to the first incarnation of a holder.
func (l *testLog) mustGrant(holder, quota string, units float64) Token {
	l.Helper()
	return l.mustApply(l.grantCommand(holder, quota, units, nil))
}

// grantCommand returns a grant that answers a new request. change, which may be nil, modifies the lease.
func (l *testLog) grantCommand(holder, quotaName string, units float64, change func(*Lease)) Command {
	l.requests++
	quota := l.config.Quota(quotaName)
	lease := &Lease{
		FleetID: "f", Epoch: 1, HolderID: holderID(holder), Quota: quotaName, Kind: quota.Kind,
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

// wantOutstanding checks how many units of a quota are outstanding, floors included. step describes the event before.
func (l *testLog) wantOutstanding(quota string, want float64, step string) {
	l.Helper()
	if got, _ := l.Outstanding(quota); got != FromUnits(want) {
		l.Errorf("%s: Outstanding(quota %s) = %v units, want %v", step, quota, got.Units(), want)
	}
}

// holderID returns the identity of the first process (incarnation 1) with a holder's name.
func holderID(holder string) HolderID { return HolderID{Holder: holder, Incarnation: 1} }

func bootstrapCommand(epoch uint64, maxLifetime time.Duration) Command {
	return Command{Bootstrap: &Bootstrap{FleetID: "f", Epoch: epoch, MaxDrift: .01, MaxLifetime: maxLifetime}}
}

func setQuotasCommand(version uint64, change func(*FleetConfig), removedHolders ...string) Command {
	return Command{SetQuotas: &SetQuotas{Version: version, Config: testConfig(change), RemovedHolders: removedHolders}}
}

// ackOf returns an acknowledgement by the first incarnation of a holder, with inFlight units in flight.
func ackOf(holder, quota string, seq uint64, token Token, inFlight float64) Ack {
	return Ack{
		Epoch: 1, HolderID: holderID(holder), Quota: quota, RequestSeq: seq, Token: token,
		InFlight: FromUnits(inFlight),
	}
}

func ackCommand(holder, quota string, seq uint64, token Token, inFlight float64) Command {
	ack := ackOf(holder, quota, seq, token, inFlight)
	return Command{Ack: &ack}
}

func expireCommand(holder, quota string, token Token) Command {
	return Command{Expire: &Expire{HolderID: holderID(holder), Quota: quota, Token: token}}
}

func observeCommand(holder string, seen, floors uint64) Command {
	observed := &ObserveConfig{HolderID: holderID(holder), SeenVersion: seen, FloorsVersion: floors}
	return Command{ObserveConfig: observed}
}

// withFloors returns a change of testConfig that sets the floors of quota "r", in units by holder.
func withFloors(floors map[string]float64) func(*FleetConfig) {
	return func(config *FleetConfig) { config.Quotas[0].Floors = floors }
}

// rejection is a case of a command that the state machine must reject.
type rejection struct {
	name string
	want any // a pointer to the expected error type, for errors.As
	// command applies the commands that come before in the log, and returns the one that must be rejected.
	command func(log *testLog) Command
}

var overLimitRejections = []rejection{
	{"amount above the limit", new(LimitExceededError), func(log *testLog) Command {
		log.mustGrant("a", "r", 6)
		return log.grantCommand("b", "r", 5, nil)
	}},
	{"burst above the burst of the quota", new(LimitExceededError), func(log *testLog) Command {
		log.mustGrant("a", "r", 6)
		return log.grantCommand("b", "r", 4, func(lease *Lease) { lease.Burst = FromUnits(5) })
	}},
	{"smaller lease granted but not acknowledged", new(LimitExceededError), func(log *testLog) Command {
		log.mustGrant("a", "r", 6)
		log.mustGrant("a", "r", 2)
		return log.grantCommand("b", "r", 5, nil)
	}},
	{"smaller lease acknowledged, larger one not yet", new(LimitExceededError), func(log *testLog) Command {
		log.mustGrant("a", "r", 6)
		low := log.mustGrant("a", "r", 2)
		log.mustGrant("a", "r", 5)
		log.mustApply(ackCommand("a", "r", 1, low, 0))
		return log.grantCommand("b", "r", 6, nil)
	}},
	{"new incarnation while the previous one has a lease", new(LimitExceededError), func(log *testLog) Command {
		log.mustGrant("a", "r", 6)
		return log.grantCommand("a", "r", 6, func(lease *Lease) { lease.Incarnation = 2 })
	}},
	{"units in flight above the acknowledged lease", new(LimitExceededError), func(log *testLog) Command {
		log.mustGrant("a", "h", 6)
		low := log.mustGrant("a", "h", 2)
		log.mustApply(ackCommand("a", "h", 1, low, 5))
		return log.grantCommand("b", "h", 6, nil)
	}},
	{"units still in flight after a release", new(LimitExceededError), func(log *testLog) Command {
		token := log.mustGrant("a", "h", 6)
		log.mustApply(Command{Release: &Release{Ack: ackOf("a", "h", 1, token, 3)}})
		return log.grantCommand("b", "h", 8, nil)
	}},
	{"floor plus outstanding leases above the limit", new(LimitExceededError), func(log *testLog) Command {
		log.mustGrant("a", "r", 8)
		return setQuotasCommand(2, withFloors(map[string]float64{"b": 3}))
	}},
}

var staleRejections = []rejection{
	{"acknowledgement of an older request than the last one", new(StaleTokenError), func(log *testLog) Command {
		log.mustGrant("a", "h", 6)
		low := log.mustGrant("a", "h", 2)
		log.mustApply(ackCommand("a", "h", 5, low, 5))
		return ackCommand("a", "h", 4, low, 0)
	}},
	{"request that a lease already answers", new(StaleTokenError), func(log *testLog) Command {
		command := log.grantCommand("a", "r", 6, nil)
		log.mustApply(command)
		return command
	}},
	{"older epoch", new(StaleEpochError), func(log *testLog) Command {
		log.mustApply(bootstrapCommand(2, 10*time.Second))
		return log.grantCommand("a", "r", 1, nil)
	}},
	{"holder has seen a newer configuration", new(StaleConfigError), func(log *testLog) Command {
		log.mustApply(observeCommand("a", 7, 0))
		return log.grantCommand("a", "r", 1, nil)
	}},
	{"configuration version already in use", new(StaleConfigError), func(*testLog) Command {
		return setQuotasCommand(1, nil)
	}},
}

var invalidRejections = []rejection{
	{"grant for another fleet", new(FleetMismatchError), func(log *testLog) Command {
		return log.grantCommand("a", "r", 1, func(lease *Lease) { lease.FleetID = "g" })
	}},
	{"grant during the waiting time after a bootstrap", new(BootstrapPendingError), func(log *testLog) Command {
		log.mustApply(bootstrapCommand(2, 10*time.Second))
		return log.grantCommand("a", "r", 1, func(lease *Lease) { lease.Epoch = 2 })
	}},
	{"second bootstrap with a shorter lifetime", new(InvalidCommandError), func(*testLog) Command {
		return bootstrapCommand(2, time.Second)
	}},
	{"quota not configured", new(UnknownQuotaError), func(log *testLog) Command {
		return log.grantCommand("a", "r", 1, func(lease *Lease) { lease.Quota = "x" })
	}},
	{"lease longer than the quota's lease duration", new(InvalidCommandError), func(log *testLog) Command {
		return log.grantCommand("a", "r", 1, func(lease *Lease) { lease.Duration *= 2 })
	}},
	{"change of kind while leases are outstanding", new(InvalidCommandError), func(log *testLog) Command {
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
		t.Errorf("Apply(ObserveConfig) on an empty state machine = error %v, want a NotBootstrappedError", err)
	}
}

// check applies the command to a new log, which must reject it with the expected error and keep what is outstanding.
func (r rejection) check(t *testing.T) {
	log := newTestLog(t, nil)
	command := r.command(log)
	before, _ := log.Outstanding("r")
	_, err := log.try(command)
	if err == nil || !errors.As(err, r.want) {
		t.Fatalf("Apply(%s) = error %v, want an error of type %v", commandText(t, command), err,
			reflect.TypeOf(r.want).Elem())
	}
	if operatorerror.AdviceOf(err) == "" {
		t.Errorf("AdviceOf(error %q) is empty, want a text for the operator", err)
	}
	if after, _ := log.Outstanding("r"); after != before {
		t.Errorf("Outstanding(quota r) after the rejected command = %v units, want %v as before",
			after.Units(), before.Units())
	}
}

func TestStateMachineCountsUntilAckedOrExpired(t *testing.T) {
	log := newTestLog(t, nil)
	first := log.mustGrant("a", "r", 6)
	second := log.mustGrant("a", "r", 2)
	log.wantOutstanding("r", 6, "leases of 6 and then 2 units were granted")
	log.mustApply(ackCommand("a", "r", 1, second, 0))
	log.wantOutstanding("r", 2, "the smaller lease was acknowledged")
	log.mustApply(expireCommand("a", "r", first)) // the acknowledgement has already dropped it
	log.wantOutstanding("r", 2, "the larger, already dropped lease expired")
	log.mustApply(expireCommand("a", "r", second))
	log.wantOutstanding("r", 0, "the smaller lease expired")

	token := log.mustGrant("a", "h", 6)
	residual := log.mustApply(Command{Release: &Release{Ack: ackOf("a", "h", 1, token, 3)}})
	log.wantOutstanding("h", 3, "a release with 3 units in flight")
	log.mustApply(ackCommand("a", "h", 2, token, 1))
	log.wantOutstanding("h", 1, "an acknowledgement with 1 unit in flight")
	log.mustApply(expireCommand("a", "h", residual)) // a smaller residual has replaced it
	log.wantOutstanding("h", 1, "the replaced residual expired")
	log.mustApply(expireCommand("a", "h", log.PendingExpiries()[0].Token))
	log.wantOutstanding("h", 0, "the last residual expired")
}

// After the limit is lowered, renewals must fit the lower limit by themselves, even while older leases above it are
// outstanding.
func TestLowerLimitHoldsOnceOlderLeasesExpired(t *testing.T) {
	log := newTestLog(t, nil)
	tokenA := log.mustGrant("a", "r", 5)
	tokenB := log.mustGrant("b", "r", 5)
	log.setQuotas(2, func(config *FleetConfig) { config.Quotas[0].Limit = 6 })
	log.mustGrant("a", "r", 3)
	log.mustGrant("b", "r", 3)
	if _, err := log.try(log.grantCommand("b", "r", 4, nil)); !errors.As(err, new(LimitExceededError)) {
		t.Errorf("Apply(grants of 3 and 4 units under a limit of 6) = error %v, want a LimitExceededError", err)
	}
	log.wantOutstanding("r", 10, "renewals of 3 units each while the older leases of 5 units count")
	log.mustApply(expireCommand("a", "r", tokenA))
	log.mustApply(expireCommand("b", "r", tokenB))
	log.wantOutstanding("r", 6, "the older leases expired")
}

func TestFloorsCountUntilTheirHolderAdoptsLess(t *testing.T) {
	log := newTestLog(t, withFloors(map[string]float64{"a": 4, "b": 2}))
	log.wantOutstanding("r", 6, "floors of 4 and 2 units were set")
	log.setQuotas(2, withFloors(map[string]float64{"a": 1}))
	log.wantOutstanding("r", 6, "the floors were lowered to 1 and 0 units")
	log.mustApply(observeCommand("a", 1, 1))
	log.wantOutstanding("r", 6, "holder a adopted the first configuration version")
	log.mustApply(observeCommand("a", 2, 2))
	log.wantOutstanding("r", 3, "holder a adopted the second configuration version")
	log.setQuotas(3, withFloors(map[string]float64{"a": 1}), "b")
	log.wantOutstanding("r", 1, "holder b was removed")
	if got := log.ReplyTo(holderID("a")).Floors["r"].Amount; got != FromUnits(1) {
		t.Errorf("ReplyTo(holder a).Floors[r].Amount = %v units, want 1", got.Units())
	}
}

// A server whose store was restored from an older copy could issue the same tokens twice. If a holder acknowledges a
// token that is higher than all tokens of the server's log, all later tokens must be above it.
func TestTokensGoAboveWhatHoldersKnow(t *testing.T) {
	log := newTestLog(t, nil)
	reported := Token{Epoch: 1, Index: 500}
	log.mustApply(ackCommand("a", "r", 1, reported, 0))
	if got := log.mustGrant("a", "r", 1); got.Compare(reported) <= 0 {
		t.Errorf("grant after an acknowledgement of token 1.500: token %v, want a token above 1.500", got)
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

// After any sequence of commands, no more than the limit is outstanding and tokens have grown strictly, and a state
// machine restored from a snapshot behaves like the original.
func TestStateMachineUnderRandomCommands(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		log := newTestLog(t, func(config *FleetConfig) { config.Quotas[1].Floors = map[string]float64{"a": 2} })
		restored := NewStateMachine()
		if err := restored.Restore(snapshotOf(t, log.StateMachine)); err != nil {
			rt.Fatalf("Restore(snapshot of the configured state) = %v, want no error", err)
		}
		last := Token{}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			command := drawCommand(rt, log)
			result, err := log.try(command)
			if result.Token.Compare(last) <= 0 {
				rt.Fatalf("Apply(%s): token %v, want one above the last token %v",
					commandText(t, command), result.Token, last)
			}
			last = result.Token
			if _, got := restored.Apply(log.AppliedIndex(), command); fmt.Sprint(got) != fmt.Sprint(err) {
				rt.Fatalf("Apply(%s) on the restored state machine = error %v, want %v as on the original",
					commandText(t, command), got, err)
			}
			for _, quota := range log.config.Quotas {
				amount, burst := log.Outstanding(quota.Name)
				if amount > FromUnits(quota.Limit) || burst > FromUnits(quota.Burst) {
					rt.Fatalf("Outstanding(quota %s) = %v units, burst %v; want at most %v, burst %v",
						quota.Name, amount.Units(), burst.Units(), quota.Limit, quota.Burst)
				}
			}
		}
		want := snapshotOf(t, log.StateMachine)
		for name, other := range map[string]*StateMachine{"restored": restored, "cloned": log.Clone()} {
			if got := snapshotOf(t, other); !bytes.Equal(got, want) {
				rt.Fatalf("Snapshot() of the %s state machine:\n%s\nwant, as of the original:\n%s", name, got, want)
			}
		}
	})
}
