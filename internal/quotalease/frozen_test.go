package quotalease

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lapisspread/internal/operatorerror"
)

// The files under testdata are the bytes that commit c8fad44 stores and sends. They were written at that commit by
// WRITE_FROZEN=1 go test -run TestFrozen ./internal/grant and must never be written again: a change of them is a
// change of the stored log, of a snapshot, or of a message.
const (
	frozenLog            = "testdata/log.jsonl"      // one log command a line, as JSON
	frozenVerdicts       = "testdata/verdicts.txt"   // what each command of the log did
	frozenHalfway        = "testdata/snapshot.json"  // after frozenHalfwayIndex commands
	frozenRebootstrapped = "testdata/refounded.json" // after all commands
	frozenMessages       = "testdata/messages.txt"   // a name, an encoding and bytes in hexadecimal, one message a line
	frozenErrors         = "testdata/errors.txt"     // each error's name in a message, its text and its advice

	frozenHalfwayIndex = 17
)

func frozenConfig(whole float64, floors map[string]float64) FleetConfig {
	return FleetConfig{FleetID: "f", MaxDrift: .01, MaxLifetime: 10 * time.Second, Quotas: []Quota{
		{
			Name: "r", Kind: Rate, Limit: whole, Burst: 10, LeaseDuration: time.Second, Floors: floors,
			Members: map[string]Share{"a": {Min: 1, Cap: 8, Weight: 2}}, DefaultShare: Share{Cap: 9, Weight: 1},
		},
		{Name: "h", Kind: InFlight, Limit: 10, LeaseDuration: time.Second, MaxHoldTime: 2 * time.Second},
	}}
}

// frozenCommands has each kind of command with each of its fields set at least once.
func frozenCommands() []Command {
	token := func(index uint64) Token { return Token{Epoch: 1, Index: index} }
	return []Command{
		{Bootstrap: &Bootstrap{FleetID: "f", Epoch: 1, MaxDrift: .01, MaxLifetime: 10 * time.Second}},
		{Expire: &Expire{Token: token(1)}},
		{SetQuotas: &SetQuotas{Version: 1, Config: frozenConfig(10, map[string]float64{"a": 4, "z": 1})}},
		{Grant: &Lease{
			FleetID: "f", Epoch: 1, HolderID: processOf("a"), Quota: "r", Kind: Rate, Amount: 2 * Unit, Burst: 2 * Unit,
			Duration: time.Second, RequestSeq: 1,
		}},
		{GrantBatch: &GrantBatch{FleetID: "f", Epoch: 1, HolderID: processOf("b"), RequestSeq: 1, Grants: []QuotaGrant{
			{Quota: "r", Amount: 2500000, Burst: 2 * Unit},
			{Quota: "h", Amount: 5 * Unit},
			{Quota: "unknown", Amount: Unit},
		}}},
		{AckBatch: &AckBatch{Epoch: 1, HolderID: processOf("b"), RequestSeq: 2, Acks: []QuotaAck{
			{Quota: "h", Token: token(5), InFlight: 2 * Unit},
			{Quota: "r", Token: token(5), Ended: true},
		}}},
		{Batch: []Command{
			{Grant: &Lease{
				FleetID: "f", Epoch: 1, HolderID: processOf("a"), Quota: "r", Kind: Rate, Amount: Unit, Burst: Unit,
				Duration: time.Second, RequestSeq: 2,
			}},
			{ObserveConfig: &ObserveConfig{HolderID: processOf("a"), SeenVersion: 1, FloorsVersion: 1}},
			{Ack: &Ack{Epoch: 2, HolderID: processOf("a"), Quota: "r", RequestSeq: 1}},
		}},
		{Ack: &Ack{
			Epoch: 1, HolderID: processOf("a"), Quota: "r", RequestSeq: 2, Token: token(7), InFlight: 300000,
		}},
		{GrantBatch: &GrantBatch{FleetID: "f", Epoch: 1, HolderID: processOf("c"), RequestSeq: 1, Grants: []QuotaGrant{
			{Quota: "h", Amount: 3 * Unit},
		}}},
		{Release: &Release{Ack: Ack{
			Epoch: 1, HolderID: processOf("c"), Quota: "h", RequestSeq: 1, Token: token(9), InFlight: Unit,
		}}},
		{SetQuotas: &SetQuotas{
			Version: 2, Config: frozenConfig(9, map[string]float64{"a": 3}), RemovedHolders: []string{"z"},
		}},
		{ObserveConfig: &ObserveConfig{HolderID: processOf("a"), SeenVersion: 2, FloorsVersion: 1}},
		{Expire: &Expire{HolderID: processOf("b"), Quota: "h", Token: token(5)}},
		{},
		{Ack: &Ack{Epoch: 1, HolderID: processOf("d"), Quota: "r", RequestSeq: 1, Token: token(500)}},
		{GrantBatch: &GrantBatch{FleetID: "f", Epoch: 1, HolderID: processOf("d"), RequestSeq: 2, Grants: []QuotaGrant{
			{Quota: "r", Amount: 1500000, Burst: Unit},
			{Quota: "h", Amount: 4 * Unit},
		}}},
		{GrantBatch: &GrantBatch{FleetID: "f", Epoch: 1, HolderID: processOf("e"), RequestSeq: 1, Grants: []QuotaGrant{
			{Quota: "r", Amount: 9 * Unit, Burst: Unit},
		}}},
		{AckBatch: &AckBatch{Epoch: 1, HolderID: processOf("d"), RequestSeq: 3, All: true, Acks: []QuotaAck{
			{Quota: "h", Token: token(502), InFlight: 2 * Unit, Ended: true},
		}}},
		{Release: &Release{
			Ack: Ack{Epoch: 1, HolderID: processOf("a"), Quota: "r", RequestSeq: 3, Token: token(7)}, All: true,
		}},
		{Bootstrap: &Bootstrap{FleetID: "f", Epoch: 2, MaxDrift: .02, MaxLifetime: 20 * time.Second}},
	}
}

// frozenMessage is a value as it is sent or kept on disk. empty gives a pointer to its type.
type frozenMessage struct {
	name, encoding string
	value          any
	empty          func() any
}

func frozenMessageList() []frozenMessage {
	key := HolderID{Holder: "a", Incarnation: 7}
	floor := Floor{Kind: InFlight, Amount: 3 * Unit, Burst: Unit, MaxHoldTime: 2 * time.Second}
	return []frozenMessage{
		{"request", "cbor", Request{
			FleetID: "f", Epoch: 2, HolderID: key, Seq: 3, SeenVersion: 4, FloorsVersion: 5, Leaving: true,
			Quotas: []QuotaRequest{{
				Quota: "r", Wanted: 1500000, Token: Token{Epoch: 2, Index: 9}, Ended: true, InFlight: Unit,
			}},
		}, func() any { return new(Request) }},
		{"reply", "cbor", Reply{
			FleetID: "f", Epoch: 2, HolderID: key, ConfigVersion: 6,
			Leases: []Lease{{
				FleetID: "f", Epoch: 2, HolderID: key, Quota: "h", Kind: InFlight, Amount: 4 * Unit, Burst: Unit,
				Duration: time.Second, MaxHoldTime: 2 * time.Second, RequestSeq: 3, ConfigVersion: 6,
				Token: Token{Epoch: 2, Index: 9},
			}},
			Floors: map[string]Floor{"h": floor},
		}, func() any { return new(Reply) }},
		{"empty-reply", "cbor", Reply{}, func() any { return new(Reply) }},
		{"set-budgets", "cbor", SetQuotas{
			Version: 3, Config: frozenConfig(10, map[string]float64{"a": 4}), RemovedHolders: []string{"z"},
		}, func() any { return new(SetQuotas) }},
		{"floors", "json", map[string]Floor{"h": floor, "r": {Kind: Rate, Amount: Unit, Burst: Unit}},
			func() any { return new(map[string]Floor) }},
	}
}

func encodeFrozen(t *testing.T, encoding string, value any) []byte {
	t.Helper()
	encode := json.Marshal
	if encoding == "cbor" {
		encode = cbor.Marshal
	}
	data, err := encode(value)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// frozen gives the bytes of a file. With WRITE_FROZEN and bytes of now it writes them first.
func frozen(t *testing.T, path string, now []byte) []byte {
	t.Helper()
	if now != nil && os.Getenv("WRITE_FROZEN") != "" {
		if err := os.WriteFile(path, now, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// verdict describes what a command did, in words that names of types and fields do not change.
func verdict(applied ApplyResult, err error) string {
	var out strings.Builder
	fmt.Fprintf(&out, "token=%v", applied.Token)
	for _, item := range applied.Started {
		fmt.Fprintf(&out, " item=%s/%d,%s,%v,%v", item.Holder, item.Incarnation, item.Quota, item.Token, item.Duration)
	}
	for _, refused := range applied.Rejected {
		fmt.Fprintf(&out, " refused=%q", refused)
	}
	if err != nil {
		fmt.Fprintf(&out, " error=%q", err)
	}
	return out.String() + "\n"
}

func snapshotOf(t *testing.T, m *StateMachine) []byte {
	t.Helper()
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestFrozenLogDecodesAndEncodesUnchanged(t *testing.T) {
	commands := frozenCommands()
	var now bytes.Buffer
	for _, command := range commands {
		now.Write(append(encodeFrozen(t, "json", command), '\n'))
	}
	kept := frozen(t, frozenLog, now.Bytes())
	if !bytes.Equal(kept, now.Bytes()) {
		t.Errorf("the log is now\n%s\nand was\n%s", now.Bytes(), kept)
	}
	for i, line := range bytes.Split(bytes.TrimSpace(kept), []byte("\n")) {
		var command Command
		if err := json.Unmarshal(line, &command); err != nil || !reflect.DeepEqual(command, commands[i]) {
			t.Errorf("command %d is read as %s, error %v", i+1, encodeFrozen(t, "json", command), err)
		}
	}
}

// replayFrozen applies entries of the kept log, from the index after from up to to, and returns what they did.
func replayFrozen(t *testing.T, m *StateMachine, from, to int) (verdicts string) {
	t.Helper()
	lines := bytes.Split(bytes.TrimSpace(frozen(t, frozenLog, nil)), []byte("\n"))
	for i := from; i < to; i++ {
		var command Command
		if err := json.Unmarshal(lines[i], &command); err != nil {
			t.Fatal(err)
		}
		verdicts += verdict(m.Apply(uint64(i+1), command))
	}
	return verdicts
}

// wantFrozenSnapshot compares the state with a kept snapshot, and returns that.
func wantFrozenSnapshot(t *testing.T, path string, m *StateMachine) []byte {
	t.Helper()
	got := snapshotOf(t, m)
	kept := frozen(t, path, got)
	if !bytes.Equal(got, kept) {
		t.Errorf("the snapshot is now\n%s\nand was\n%s", got, kept)
	}
	return kept
}

func TestFrozenLogReplaysToTheKeptSnapshots(t *testing.T) {
	length := len(frozenCommands())
	machine := NewStateMachine()
	verdicts := replayFrozen(t, machine, 0, frozenHalfwayIndex)
	halfway := wantFrozenSnapshot(t, frozenHalfway, machine)
	tail := replayFrozen(t, machine, frozenHalfwayIndex, length)
	verdicts += tail
	if kept := frozen(t, frozenVerdicts, []byte(verdicts)); string(kept) != verdicts {
		t.Errorf("the commands now do\n%s\nand did\n%s", verdicts, kept)
	}
	wantFrozenSnapshot(t, frozenRebootstrapped, machine)

	restored := NewStateMachine()
	if err := restored.Restore(halfway); err != nil {
		t.Fatal(err)
	}
	wantFrozenSnapshot(t, frozenHalfway, restored)
	wantFrozenState(t, restored)
	if got := replayFrozen(t, restored, frozenHalfwayIndex, length); got != tail {
		t.Errorf("after the snapshot the commands do\n%s\nand did\n%s", got, tail)
	}
	wantFrozenSnapshot(t, frozenRebootstrapped, restored)
}

// wantFrozenState compares what the kept snapshot holds with the values at the time that it was kept.
func wantFrozenState(t *testing.T, m *StateMachine) {
	t.Helper()
	if fleetID, epoch, err := m.Bootstrapped(); fleetID != "f" || epoch != 1 || err != nil {
		t.Errorf("bootstrapped: fleet %q, epoch %d, %v", fleetID, epoch, err)
	}
	wantConfig := frozenConfig(9, map[string]float64{"a": 3})
	if config, version := m.Config(); version != 2 || !reflect.DeepEqual(config, wantConfig) {
		t.Errorf("configuration: version %d, %+v", version, config)
	}
	if m.AppliedIndex() != frozenHalfwayIndex {
		t.Errorf("index %d", m.AppliedIndex())
	}
	for quota, want := range map[string]usage{
		"r": {amount: 6500000, burst: 6 * Unit},
		"h": {amount: 5 * Unit},
	} {
		if amount, burst := m.Outstanding(quota); amount != want.amount || burst != want.burst {
			t.Errorf("%s: %d outstanding, burst %d, not %v", quota, amount, burst, want)
		}
	}
	want := Reply{
		FleetID: "f", Epoch: 1, HolderID: processOf("a"), ConfigVersion: 2,
		Leases: []Lease{{
			FleetID: "f", Epoch: 1, HolderID: processOf("a"), Quota: "r", Kind: Rate, Amount: Unit, Burst: Unit,
			Duration: time.Second, RequestSeq: 2, ConfigVersion: 1, Token: Token{Epoch: 1, Index: 7},
		}},
		Floors: map[string]Floor{"r": {Kind: Rate, Amount: 3 * Unit, Burst: 3333333}},
	}
	if got := m.ReplyTo(want.HolderID); !reflect.DeepEqual(got, want) {
		t.Errorf("a is told %+v, not %+v", got, want)
	}
}

func TestFrozenMessagesDecodeAndEncodeUnchanged(t *testing.T) {
	messages := frozenMessageList()
	var now strings.Builder
	for _, m := range messages {
		fmt.Fprintf(&now, "%s %s %s\n", m.name, m.encoding, hex.EncodeToString(encodeFrozen(t, m.encoding, m.value)))
	}
	kept := string(frozen(t, frozenMessages, []byte(now.String())))
	if kept != now.String() {
		t.Errorf("messages are now\n%s\nand were\n%s", now.String(), kept)
	}
	for i, line := range strings.Split(strings.TrimSpace(kept), "\n") {
		m := messages[i]
		data, err := hex.DecodeString(strings.Fields(line)[2])
		if err != nil {
			t.Fatal(err)
		}
		decode := json.Unmarshal
		if m.encoding == "cbor" {
			decode = cbor.Unmarshal
		}
		got := m.empty()
		err = decode(data, got)
		if value := reflect.ValueOf(got).Elem().Interface(); err != nil || !reflect.DeepEqual(value, m.value) {
			t.Errorf("%s is read as %+v, error %v", m.name, value, err)
		}
	}
}

// codedError is an error with all that operators and other processes see of it.
type codedError interface {
	operatorerror.Error
	Code() string
}

func TestFrozenErrorTexts(t *testing.T) {
	key := HolderID{Holder: "a", Incarnation: 7}
	var now strings.Builder
	for _, err := range []codedError{
		InvalidCommandError{Reason: "why"},
		FloorClaimedError{Holder: "a"},
		LeaseExpiredError{Quota: "r"},
		LeaseExpiredError{Quota: "r", Ago: time.Second},
		UnknownQuotaError{Quota: "r"},
		NoLeaseError{Quota: "r"},
		NotBootstrappedError{},
		StaleConfigError{Have: 1, Seen: 2},
		StaleEpochError{Got: 1, Have: 2},
		StaleTokenError{Holder: "a", Quota: "r", Got: Token{Epoch: 1, Index: 2}, Have: Token{Epoch: 1, Index: 3}},
		FleetMismatchError{Ours: "f", Theirs: "g"},
		HolderMismatchError{Ours: key, Theirs: HolderID{Holder: "b", Incarnation: 8}},
		LimitExceededError{Quota: "r", Dimension: "whole", Limit: 3 * Unit, Outstanding: 2 * Unit, Requested: 1500000},
		ExhaustedError{Quota: "r"},
		BootstrapPendingError{MaxLifetime: time.Second},
	} {
		fmt.Fprintf(&now, "%s\n\t%s\n\t%s\n", err.Code(), err, err.Advice())
	}
	if kept := string(frozen(t, frozenErrors, []byte(now.String()))); kept != now.String() {
		t.Errorf("errors now say\n%s\nand said\n%s", now.String(), kept)
	}
}
