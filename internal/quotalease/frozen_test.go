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

// The files under testdata are golden files of the formats that are stored and sent. They were written at commit
// c8fad44 by WRITE_FROZEN=1 go test -run TestFrozen ./internal/grant, the former path of this package, and must never
// be written again: a difference means that the format of the stored log, of a snapshot or of a message has changed.
const (
	frozenLog            = "testdata/log.jsonl"      // one log command per line, as JSON
	frozenResults        = "testdata/verdicts.txt"   // the result of each command of the log, see describeResult
	frozenHalfway        = "testdata/snapshot.json"  // the snapshot after frozenHalfwayIndex commands
	frozenRebootstrapped = "testdata/refounded.json" // the snapshot after all commands
	frozenMessages       = "testdata/messages.txt"   // per line a message: name, encoding, bytes in hexadecimal
	frozenErrors         = "testdata/errors.txt"     // the code, the text and the advice of each error

	frozenHalfwayIndex = 17
)

// frozenConfig returns the configuration of the golden files with a limit and floors of the quota "r".
func frozenConfig(limit float64, floors map[string]float64) FleetConfig {
	return FleetConfig{FleetID: "f", MaxDrift: .01, MaxLifetime: 10 * time.Second, Quotas: []Quota{
		{
			Name: "r", Kind: Rate, Limit: limit, Burst: 10, LeaseDuration: time.Second, Floors: floors,
			Members: map[string]Share{"a": {Min: 1, Cap: 8, Weight: 2}}, DefaultShare: Share{Cap: 9, Weight: 1},
		},
		{Name: "h", Kind: InFlight, Limit: 10, LeaseDuration: time.Second, MaxHoldTime: 2 * time.Second},
	}}
}

// frozenCommands returns the commands of the golden log: each kind of command, with each of its fields set at least
// once. The last one is a second bootstrap.
func frozenCommands() []Command {
	token := func(index uint64) Token { return Token{Epoch: 1, Index: index} }
	return []Command{
		{Bootstrap: &Bootstrap{FleetID: "f", Epoch: 1, MaxDrift: .01, MaxLifetime: 10 * time.Second}},
		{Expire: &Expire{Token: token(1)}},
		{SetQuotas: &SetQuotas{Version: 1, Config: frozenConfig(10, map[string]float64{"a": 4, "z": 1})}},
		{Grant: &Lease{
			FleetID: "f", Epoch: 1, HolderID: holderID("a"), Quota: "r", Kind: Rate, Amount: 2 * Unit, Burst: 2 * Unit,
			Duration: time.Second, RequestSeq: 1,
		}},
		{GrantBatch: &GrantBatch{FleetID: "f", Epoch: 1, HolderID: holderID("b"), RequestSeq: 1, Grants: []QuotaGrant{
			{Quota: "r", Amount: 2500000, Burst: 2 * Unit},
			{Quota: "h", Amount: 5 * Unit},
			{Quota: "unknown", Amount: Unit},
		}}},
		{AckBatch: &AckBatch{Epoch: 1, HolderID: holderID("b"), RequestSeq: 2, Acks: []QuotaAck{
			{Quota: "h", Token: token(5), InFlight: 2 * Unit},
			{Quota: "r", Token: token(5), Ended: true},
		}}},
		{Batch: []Command{
			{Grant: &Lease{
				FleetID: "f", Epoch: 1, HolderID: holderID("a"), Quota: "r", Kind: Rate, Amount: Unit, Burst: Unit,
				Duration: time.Second, RequestSeq: 2,
			}},
			{ObserveConfig: &ObserveConfig{HolderID: holderID("a"), SeenVersion: 1, FloorsVersion: 1}},
			{Ack: &Ack{Epoch: 2, HolderID: holderID("a"), Quota: "r", RequestSeq: 1}},
		}},
		{Ack: &Ack{
			Epoch: 1, HolderID: holderID("a"), Quota: "r", RequestSeq: 2, Token: token(7), InFlight: 300000,
		}},
		{GrantBatch: &GrantBatch{FleetID: "f", Epoch: 1, HolderID: holderID("c"), RequestSeq: 1, Grants: []QuotaGrant{
			{Quota: "h", Amount: 3 * Unit},
		}}},
		{Release: &Release{Ack: Ack{
			Epoch: 1, HolderID: holderID("c"), Quota: "h", RequestSeq: 1, Token: token(9), InFlight: Unit,
		}}},
		{SetQuotas: &SetQuotas{
			Version: 2, Config: frozenConfig(9, map[string]float64{"a": 3}), RemovedHolders: []string{"z"},
		}},
		{ObserveConfig: &ObserveConfig{HolderID: holderID("a"), SeenVersion: 2, FloorsVersion: 1}},
		{Expire: &Expire{HolderID: holderID("b"), Quota: "h", Token: token(5)}},
		{},
		{Ack: &Ack{Epoch: 1, HolderID: holderID("d"), Quota: "r", RequestSeq: 1, Token: token(500)}},
		{GrantBatch: &GrantBatch{FleetID: "f", Epoch: 1, HolderID: holderID("d"), RequestSeq: 2, Grants: []QuotaGrant{
			{Quota: "r", Amount: 1500000, Burst: Unit},
			{Quota: "h", Amount: 4 * Unit},
		}}},
		{GrantBatch: &GrantBatch{FleetID: "f", Epoch: 1, HolderID: holderID("e"), RequestSeq: 1, Grants: []QuotaGrant{
			{Quota: "r", Amount: 9 * Unit, Burst: Unit},
		}}},
		{AckBatch: &AckBatch{Epoch: 1, HolderID: holderID("d"), RequestSeq: 3, All: true, Acks: []QuotaAck{
			{Quota: "h", Token: token(502), InFlight: 2 * Unit, Ended: true},
		}}},
		{Release: &Release{
			Ack: Ack{Epoch: 1, HolderID: holderID("a"), Quota: "r", RequestSeq: 3, Token: token(7)}, All: true,
		}},
		{Bootstrap: &Bootstrap{FleetID: "f", Epoch: 2, MaxDrift: .02, MaxLifetime: 20 * time.Second}},
	}
}

// frozenMessage is a value that is sent or stored on disk. newValue returns a pointer to a zero value of its type.
type frozenMessage struct {
	name, encoding string
	value          any
	newValue       func() any
}

// frozenMessageList returns the messages of the golden file, in its order.
func frozenMessageList() []frozenMessage {
	id := HolderID{Holder: "a", Incarnation: 7}
	floor := Floor{Kind: InFlight, Amount: 3 * Unit, Burst: Unit, MaxHoldTime: 2 * time.Second}
	return []frozenMessage{
		{"request", "cbor", Request{
			FleetID: "f", Epoch: 2, HolderID: id, Seq: 3, SeenVersion: 4, FloorsVersion: 5, Leaving: true,
			Quotas: []QuotaRequest{{
				Quota: "r", Wanted: 1500000, Token: Token{Epoch: 2, Index: 9}, Ended: true, InFlight: Unit,
			}},
		}, func() any { return new(Request) }},
		{"reply", "cbor", Reply{
			FleetID: "f", Epoch: 2, HolderID: id, ConfigVersion: 6,
			Leases: []Lease{{
				FleetID: "f", Epoch: 2, HolderID: id, Quota: "h", Kind: InFlight, Amount: 4 * Unit, Burst: Unit,
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

// encodeFrozen encodes a value as "json" or "cbor".
func encodeFrozen(t *testing.T, encoding string, value any) []byte {
	t.Helper()
	encode := json.Marshal
	if encoding == "cbor" {
		encode = cbor.Marshal
	}
	data, err := encode(value)
	if err != nil {
		t.Fatalf("encoding a %T as %s = error %v, want no error", value, encoding, err)
	}
	return data
}

// readFrozen returns the content of a golden file. If WRITE_FROZEN is set and current is not nil, it first writes
// current to the file.
func readFrozen(t *testing.T, path string, current []byte) []byte {
	t.Helper()
	if current != nil && os.Getenv("WRITE_FROZEN") != "" {
		if err := os.WriteFile(path, current, 0o644); err != nil {
			t.Fatalf("cannot write the golden file: %v", err)
		}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("cannot read the golden file: %v", err)
	}
	return data
}

// describeResult returns the result of a command as a line of text that does not depend on the names of types and
// fields.
func describeResult(applied ApplyResult, err error) string {
	var out strings.Builder
	fmt.Fprintf(&out, "token=%v", applied.Token)
	for _, item := range applied.Started {
		fmt.Fprintf(&out, " item=%s/%d,%s,%v,%v", item.Holder, item.Incarnation, item.Quota, item.Token, item.Duration)
	}
	for _, rejected := range applied.Rejected {
		fmt.Fprintf(&out, " refused=%q", rejected)
	}
	if err != nil {
		fmt.Fprintf(&out, " error=%q", err)
	}
	return out.String() + "\n"
}

// snapshotOf returns the snapshot of a state machine.
func snapshotOf(t *testing.T, m *StateMachine) []byte {
	t.Helper()
	data, err := m.Snapshot()
	if err != nil {
		t.Fatalf("Snapshot() = error %v, want no error", err)
	}
	return data
}

func TestFrozenLogDecodesAndEncodesUnchanged(t *testing.T) {
	commands := frozenCommands()
	var encoded bytes.Buffer
	for _, command := range commands {
		encoded.Write(append(encodeFrozen(t, "json", command), '\n'))
	}
	stored := readFrozen(t, frozenLog, encoded.Bytes())
	if !bytes.Equal(stored, encoded.Bytes()) {
		t.Errorf("json.Marshal of each of frozenCommands() =\n%s\nwant, as in %s:\n%s",
			encoded.Bytes(), frozenLog, stored)
	}
	for i, line := range bytes.Split(bytes.TrimSpace(stored), []byte("\n")) {
		var command Command
		if err := json.Unmarshal(line, &command); err != nil || !reflect.DeepEqual(command, commands[i]) {
			t.Errorf("json.Unmarshal(line %d of %s) = command %s, error %v; want command %s, no error", i+1, frozenLog,
				encodeFrozen(t, "json", command), err, encodeFrozen(t, "json", commands[i]))
		}
	}
}

// replayFrozen applies the entries of the golden log with the indices first+1 to last. It returns their results, one
// per line.
func replayFrozen(t *testing.T, m *StateMachine, first, last int) (results string) {
	t.Helper()
	lines := bytes.Split(bytes.TrimSpace(readFrozen(t, frozenLog, nil)), []byte("\n"))
	for i := first; i < last; i++ {
		var command Command
		if err := json.Unmarshal(lines[i], &command); err != nil {
			t.Fatalf("json.Unmarshal(line %d of %s) = error %v, want no error", i+1, frozenLog, err)
		}
		results += describeResult(m.Apply(uint64(i+1), command))
	}
	return results
}

// wantFrozenSnapshot compares the snapshot of a state machine with a golden file. It returns the content of the file.
func wantFrozenSnapshot(t *testing.T, path string, m *StateMachine) []byte {
	t.Helper()
	got := snapshotOf(t, m)
	stored := readFrozen(t, path, got)
	if !bytes.Equal(got, stored) {
		t.Errorf("Snapshot() =\n%s\nwant, as in %s:\n%s", got, path, stored)
	}
	return stored
}

func TestFrozenLogReplaysToTheKeptSnapshots(t *testing.T) {
	length := len(frozenCommands())
	machine := NewStateMachine()
	results := replayFrozen(t, machine, 0, frozenHalfwayIndex)
	halfway := wantFrozenSnapshot(t, frozenHalfway, machine)
	secondHalf := replayFrozen(t, machine, frozenHalfwayIndex, length)
	results += secondHalf
	if stored := readFrozen(t, frozenResults, []byte(results)); string(stored) != results {
		t.Errorf("results of Apply(each command of %s) =\n%s\nwant, as in %s:\n%s",
			frozenLog, results, frozenResults, stored)
	}
	wantFrozenSnapshot(t, frozenRebootstrapped, machine)

	restored := NewStateMachine()
	if err := restored.Restore(halfway); err != nil {
		t.Fatalf("Restore(%s) = error %v, want no error", frozenHalfway, err)
	}
	wantFrozenSnapshot(t, frozenHalfway, restored)
	wantFrozenState(t, restored)
	if got := replayFrozen(t, restored, frozenHalfwayIndex, length); got != secondHalf {
		t.Errorf("results of Apply(each later command) after Restore(%s) =\n%s\nwant, as without the restore:\n%s",
			frozenHalfway, got, secondHalf)
	}
	wantFrozenSnapshot(t, frozenRebootstrapped, restored)
}

// wantFrozenState checks a state that was restored from the halfway snapshot against the values that its commands
// set.
func wantFrozenState(t *testing.T, m *StateMachine) {
	t.Helper()
	if fleetID, epoch, err := m.Bootstrapped(); fleetID != "f" || epoch != 1 || err != nil {
		t.Errorf("Bootstrapped() = fleet %q, epoch %d, error %v; want fleet f, epoch 1, no error", fleetID, epoch, err)
	}
	wantConfig := frozenConfig(9, map[string]float64{"a": 3})
	if config, version := m.Config(); version != 2 || !reflect.DeepEqual(config, wantConfig) {
		t.Errorf("Config() = %+v, version %d; want %+v, version 2", config, version, wantConfig)
	}
	if m.AppliedIndex() != frozenHalfwayIndex {
		t.Errorf("AppliedIndex() = %d, want %d", m.AppliedIndex(), frozenHalfwayIndex)
	}
	for quota, want := range map[string]usage{
		"r": {amount: 6500000, burst: 6 * Unit},
		"h": {amount: 5 * Unit},
	} {
		if amount, burst := m.Outstanding(quota); amount != want.amount || burst != want.burst {
			t.Errorf("Outstanding(quota %s) = %v units, burst %v; want %v units, burst %v",
				quota, amount.Units(), burst.Units(), want.amount.Units(), want.burst.Units())
		}
	}
	want := Reply{
		FleetID: "f", Epoch: 1, HolderID: holderID("a"), ConfigVersion: 2,
		Leases: []Lease{{
			FleetID: "f", Epoch: 1, HolderID: holderID("a"), Quota: "r", Kind: Rate, Amount: Unit, Burst: Unit,
			Duration: time.Second, RequestSeq: 2, ConfigVersion: 1, Token: Token{Epoch: 1, Index: 7},
		}},
		Floors: map[string]Floor{"r": {Kind: Rate, Amount: 3 * Unit, Burst: 3333333}},
	}
	if got := m.ReplyTo(want.HolderID); !reflect.DeepEqual(got, want) {
		t.Errorf("ReplyTo(holder a) = %+v, want %+v", got, want)
	}
}

func TestFrozenMessagesDecodeAndEncodeUnchanged(t *testing.T) {
	messages := frozenMessageList()
	var encoded strings.Builder
	for _, m := range messages {
		data := encodeFrozen(t, m.encoding, m.value)
		fmt.Fprintf(&encoded, "%s %s %s\n", m.name, m.encoding, hex.EncodeToString(data))
	}
	stored := string(readFrozen(t, frozenMessages, []byte(encoded.String())))
	if stored != encoded.String() {
		t.Errorf("encodings of frozenMessageList() =\n%s\nwant, as in %s:\n%s",
			encoded.String(), frozenMessages, stored)
	}
	for i, line := range strings.Split(strings.TrimSpace(stored), "\n") {
		m := messages[i]
		data, err := hex.DecodeString(strings.Fields(line)[2])
		if err != nil {
			t.Fatalf("line %d of %s: the third field is not hexadecimal: %v", i+1, frozenMessages, err)
		}
		decode := json.Unmarshal
		if m.encoding == "cbor" {
			decode = cbor.Unmarshal
		}
		got := m.newValue()
		err = decode(data, got)
		if value := reflect.ValueOf(got).Elem().Interface(); err != nil || !reflect.DeepEqual(value, m.value) {
			t.Errorf("decoding message %s as %s = %+v, error %v; want %+v, no error",
				m.name, m.encoding, value, err, m.value)
		}
	}
}

// codedError is an error with the advice that operators see and the code that other processes see.
type codedError interface {
	operatorerror.Error
	Code() string
}

func TestFrozenErrorTexts(t *testing.T) {
	id := HolderID{Holder: "a", Incarnation: 7}
	var texts strings.Builder
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
		HolderMismatchError{Ours: id, Theirs: HolderID{Holder: "b", Incarnation: 8}},
		LimitExceededError{Quota: "r", Dimension: "whole", Limit: 3 * Unit, Outstanding: 2 * Unit, Requested: 1500000},
		ExhaustedError{Quota: "r"},
		BootstrapPendingError{MaxLifetime: time.Second},
	} {
		fmt.Fprintf(&texts, "%s\n\t%s\n\t%s\n", err.Code(), err, err.Advice())
	}
	if stored := string(readFrozen(t, frozenErrors, []byte(texts.String()))); stored != texts.String() {
		t.Errorf("Code(), Error() and Advice() of the errors =\n%s\nwant, as in %s:\n%s",
			texts.String(), frozenErrors, stored)
	}
}
