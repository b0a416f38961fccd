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
// WRITE_FROZEN=1 go test -run TestFrozen ./internal/grant and must never be written again: a change of them is a change of
// the stored log, of a snapshot, or of a message.
const (
	frozenLog      = "testdata/log.jsonl"      // one log command a line, as JSON
	frozenVerdicts = "testdata/verdicts.txt"   // what each command of the log did
	frozenHalfway  = "testdata/snapshot.json"  // after frozenHalfwayIndex commands
	frozenFounded  = "testdata/refounded.json" // after all commands
	frozenMessages = "testdata/messages.txt"   // a name, an encoding and the bytes in hexadecimal, one message a line
	frozenErrors   = "testdata/errors.txt"     // each error's name in a message, its text and its advice

	frozenHalfwayIndex = 17
)

func frozenFleet(whole float64, floors map[string]float64) Fleet {
	return Fleet{ID: "f", Drift: .01, Longest: 10 * time.Second, Budgets: []Budget{
		{
			Name: "r", Kind: Rate, Whole: whole, Burst: 10, Lease: time.Second, Floors: floors,
			Members: map[string]Share{"a": {Min: 1, Cap: 8, Weight: 2}}, Others: Share{Cap: 9, Weight: 1},
		},
		{Name: "h", Kind: InHand, Whole: 10, Lease: time.Second, Life: 2 * time.Second},
	}}
}

// frozenCommands has each kind of command with each of its fields set at least once.
func frozenCommands() []Command {
	key := func(holder string) Key { return Key{Holder: holder, Incarnation: 1} }
	return []Command{
		{Found: &Found{Fleet: "f", Epoch: 1, Drift: .01, Longest: 10 * time.Second}},
		{Expire: &Expire{Token: Token{Epoch: 1, Index: 1}}},
		{SetBudgets: &SetBudgets{Version: 1, Fleet: frozenFleet(10, map[string]float64{"a": 4, "z": 1})}},
		{Grant: &Grant{
			Fleet: "f", Epoch: 1, Key: key("a"), Budget: "r", Kind: Rate, Amount: 2 * Unit, Burst: 2 * Unit,
			Lease: time.Second, Ask: 1,
		}},
		{Grants: &Grants{Fleet: "f", Epoch: 1, Key: key("b"), Ask: 1, Parts: []Part{
			{Budget: "r", Amount: 2500000, Burst: 2 * Unit},
			{Budget: "h", Amount: 5 * Unit},
			{Budget: "unknown", Amount: Unit},
		}}},
		{Words: &Words{Epoch: 1, Key: key("b"), Seq: 2, Parts: []Word{
			{Budget: "h", Token: Token{Epoch: 1, Index: 5}, Held: 2 * Unit},
			{Budget: "r", Token: Token{Epoch: 1, Index: 5}, Ended: true},
		}}},
		{Batch: []Command{
			{Grant: &Grant{
				Fleet: "f", Epoch: 1, Key: key("a"), Budget: "r", Kind: Rate, Amount: Unit, Burst: Unit,
				Lease: time.Second, Ask: 2,
			}},
			{Know: &Know{Key: key("a"), Seen: 1, Floors: 1}},
			{Ack: &Ack{Epoch: 2, Key: key("a"), Budget: "r", Seq: 1}},
		}},
		{Ack: &Ack{Epoch: 1, Key: key("a"), Budget: "r", Seq: 2, Token: Token{Epoch: 1, Index: 7}, Held: 300000}},
		{Grants: &Grants{Fleet: "f", Epoch: 1, Key: key("c"), Ask: 1, Parts: []Part{{Budget: "h", Amount: 3 * Unit}}}},
		{GiveBack: &GiveBack{Ack: Ack{Epoch: 1, Key: key("c"), Budget: "h", Seq: 1, Token: Token{Epoch: 1, Index: 9}, Held: Unit}}},
		{SetBudgets: &SetBudgets{Version: 2, Fleet: frozenFleet(9, map[string]float64{"a": 3}), Gone: []string{"z"}}},
		{Know: &Know{Key: key("a"), Seen: 2, Floors: 1}},
		{Expire: &Expire{Key: key("b"), Budget: "h", Token: Token{Epoch: 1, Index: 5}}},
		{},
		{Ack: &Ack{Epoch: 1, Key: key("d"), Budget: "r", Seq: 1, Token: Token{Epoch: 1, Index: 500}}},
		{Grants: &Grants{Fleet: "f", Epoch: 1, Key: key("d"), Ask: 2, Parts: []Part{
			{Budget: "r", Amount: 1500000, Burst: Unit},
			{Budget: "h", Amount: 4 * Unit},
		}}},
		{Grants: &Grants{Fleet: "f", Epoch: 1, Key: key("e"), Ask: 1, Parts: []Part{{Budget: "r", Amount: 9 * Unit, Burst: Unit}}}},
		{Words: &Words{Epoch: 1, Key: key("d"), Seq: 3, All: true, Parts: []Word{
			{Budget: "h", Token: Token{Epoch: 1, Index: 502}, Held: 2 * Unit, Ended: true},
		}}},
		{GiveBack: &GiveBack{Ack: Ack{Epoch: 1, Key: key("a"), Budget: "r", Seq: 3, Token: Token{Epoch: 1, Index: 7}}, All: true}},
		{Found: &Found{Fleet: "f", Epoch: 2, Drift: .02, Longest: 20 * time.Second}},
	}
}

// frozenMessage is a value as it is sent or kept on disk. empty gives a pointer to its type.
type frozenMessage struct {
	name, encoding string
	value          any
	empty          func() any
}

func frozenMessageList() []frozenMessage {
	key := Key{Holder: "a", Incarnation: 7}
	floor := Floor{Kind: InHand, Amount: 3 * Unit, Burst: Unit, Life: 2 * time.Second}
	return []frozenMessage{
		{"request", "cbor", Request{
			Fleet: "f", Epoch: 2, Key: key, Seq: 3, Seen: 4, Floors: 5, Leaving: true,
			Wants: []Want{{Budget: "r", Units: 1500000, Token: Token{Epoch: 2, Index: 9}, Ended: true, Held: Unit}},
		}, func() any { return new(Request) }},
		{"reply", "cbor", Reply{
			Fleet: "f", Epoch: 2, Key: key, Version: 6,
			Grants: []Grant{{
				Fleet: "f", Epoch: 2, Key: key, Budget: "h", Kind: InHand, Amount: 4 * Unit, Burst: Unit, Lease: time.Second,
				Life: 2 * time.Second, Ask: 3, Version: 6, Token: Token{Epoch: 2, Index: 9},
			}},
			Floors: map[string]Floor{"h": floor},
		}, func() any { return new(Reply) }},
		{"empty-reply", "cbor", Reply{}, func() any { return new(Reply) }},
		{"set-budgets", "cbor", SetBudgets{
			Version: 3, Fleet: frozenFleet(10, map[string]float64{"a": 4}), Gone: []string{"z"},
		}, func() any { return new(SetBudgets) }},
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

// verdict tells what a command did, in words that names of types and fields do not change.
func verdict(applied Applied, err error) string {
	var out strings.Builder
	fmt.Fprintf(&out, "token=%v", applied.Token)
	for _, item := range applied.Born {
		fmt.Fprintf(&out, " item=%s/%d,%s,%v,%v", item.Holder, item.Incarnation, item.Budget, item.Token, item.Length)
	}
	for _, refused := range applied.Refused {
		fmt.Fprintf(&out, " refused=%q", refused)
	}
	if err != nil {
		fmt.Fprintf(&out, " error=%q", err)
	}
	return out.String() + "\n"
}

func snapshotOf(t *testing.T, b *Book) []byte {
	t.Helper()
	data, err := b.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestFrozenLogDecodesAndEncodesUnchanged(t *testing.T) {
	commands := frozenCommands()
	var now bytes.Buffer
	for _, c := range commands {
		now.Write(append(encodeFrozen(t, "json", c), '\n'))
	}
	kept := frozen(t, frozenLog, now.Bytes())
	if !bytes.Equal(kept, now.Bytes()) {
		t.Errorf("the log is now\n%s\nand was\n%s", now.Bytes(), kept)
	}
	for i, line := range bytes.Split(bytes.TrimSpace(kept), []byte("\n")) {
		var c Command
		if err := json.Unmarshal(line, &c); err != nil || !reflect.DeepEqual(c, commands[i]) {
			t.Errorf("command %d is read as %s, error %v", i+1, encodeFrozen(t, "json", c), err)
		}
	}
}

func TestFrozenLogReplaysToTheKeptSnapshots(t *testing.T) {
	log := bytes.Split(bytes.TrimSpace(frozen(t, frozenLog, nil)), []byte("\n"))
	replay := func(b *Book, from, to int) (verdicts string) {
		for i := from; i < to; i++ {
			var c Command
			if err := json.Unmarshal(log[i], &c); err != nil {
				t.Fatal(err)
			}
			verdicts += verdict(b.Apply(uint64(i+1), c))
		}
		return verdicts
	}
	book := NewBook()
	verdicts := replay(book, 0, frozenHalfwayIndex)
	halfway := frozen(t, frozenHalfway, snapshotOf(t, book))
	if got := snapshotOf(t, book); !bytes.Equal(got, halfway) {
		t.Errorf("the snapshot is now\n%s\nand was\n%s", got, halfway)
	}
	verdicts += replay(book, frozenHalfwayIndex, len(log))
	if kept := frozen(t, frozenVerdicts, []byte(verdicts)); string(kept) != verdicts {
		t.Errorf("the commands now do\n%s\nand did\n%s", verdicts, kept)
	}
	refounded := frozen(t, frozenFounded, snapshotOf(t, book))
	if got := snapshotOf(t, book); !bytes.Equal(got, refounded) {
		t.Errorf("the last snapshot is now\n%s\nand was\n%s", got, refounded)
	}

	restored := NewBook()
	if err := restored.Restore(halfway); err != nil {
		t.Fatal(err)
	}
	if got := snapshotOf(t, restored); !bytes.Equal(got, halfway) {
		t.Errorf("a restored snapshot is written as\n%s\nand was\n%s", got, halfway)
	}
	wantFrozenState(t, restored)
	tail := strings.Join(strings.SplitAfter(verdicts, "\n")[frozenHalfwayIndex:], "")
	if got := replay(restored, frozenHalfwayIndex, len(log)); got != tail {
		t.Errorf("after the snapshot the commands do\n%s\nand did\n%s", got, tail)
	}
	if got := snapshotOf(t, restored); !bytes.Equal(got, refounded) {
		t.Errorf("going on from the snapshot gives\n%s\nnot\n%s", got, refounded)
	}
}

// wantFrozenState compares what the kept snapshot holds with the values at the time that it was kept.
func wantFrozenState(t *testing.T, b *Book) {
	t.Helper()
	if fleet, epoch, err := b.Founded(); fleet != "f" || epoch != 1 || err != nil {
		t.Errorf("founded: fleet %q, epoch %d, %v", fleet, epoch, err)
	}
	if config, version := b.Budgets(); version != 2 || !reflect.DeepEqual(config, frozenFleet(9, map[string]float64{"a": 3})) {
		t.Errorf("budgets: version %d, %+v", version, config)
	}
	if b.Index() != frozenHalfwayIndex {
		t.Errorf("index %d", b.Index())
	}
	for budget, want := range map[string][2]Amount{"r": {6500000, 6 * Unit}, "h": {5 * Unit, 0}} {
		if amount, burst := b.Counted(budget); amount != want[0] || burst != want[1] {
			t.Errorf("%s: %d counted, burst %d, not %v", budget, amount, burst, want)
		}
	}
	want := Reply{
		Fleet: "f", Epoch: 1, Key: Key{Holder: "a", Incarnation: 1}, Version: 2,
		Grants: []Grant{{
			Fleet: "f", Epoch: 1, Key: Key{Holder: "a", Incarnation: 1}, Budget: "r", Kind: Rate, Amount: Unit, Burst: Unit,
			Lease: time.Second, Ask: 2, Version: 1, Token: Token{Epoch: 1, Index: 7},
		}},
		Floors: map[string]Floor{"r": {Kind: Rate, Amount: 3 * Unit, Burst: 3333333}},
	}
	if got := b.Tell(want.Key); !reflect.DeepEqual(got, want) {
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
		if err := decode(data, got); err != nil || !reflect.DeepEqual(reflect.ValueOf(got).Elem().Interface(), m.value) {
			t.Errorf("%s is read as %+v, error %v", m.name, got, err)
		}
	}
}

// codedError is an error as operators and other processes are told it.
type codedError interface {
	operatorerror.Error
	Code() string
}

func TestFrozenErrorTexts(t *testing.T) {
	key := Key{Holder: "a", Incarnation: 7}
	var now strings.Builder
	for _, err := range []codedError{
		BadCommand{Why: "why"}, FloorTaken{Holder: "a"}, GrantEnded{Budget: "r"}, GrantEnded{Budget: "r", Ago: time.Second},
		NoBudget{Budget: "r"}, NoGrant{Budget: "r"}, NotFounded{},
		OldBudgets{Have: 1, Seen: 2}, OldEpoch{Got: 1, Have: 2},
		OldToken{Holder: "a", Budget: "r", Got: Token{Epoch: 1, Index: 2}, Have: Token{Epoch: 1, Index: 3}},
		OtherFleet{Ours: "f", Theirs: "g"}, OtherHolder{Ours: key, Theirs: Key{Holder: "b", Incarnation: 8}},
		OverWhole{Budget: "r", What: "whole", Whole: 3 * Unit, Counted: 2 * Unit, Asked: 1500000}, Spent{Budget: "r"},
		StillSilent{Longest: time.Second},
	} {
		fmt.Fprintf(&now, "%s\n\t%s\n\t%s\n", err.Code(), err, err.Advice())
	}
	if kept := string(frozen(t, frozenErrors, []byte(now.String()))); kept != now.String() {
		t.Errorf("errors now say\n%s\nand said\n%s", now.String(), kept)
	}
}
