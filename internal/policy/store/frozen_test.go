package store

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"

	"lapisspread/internal/policy/rollout"
)

// The files of these tests were written by the program of c8fad44: UPDATE_FROZEN=1 go test ./internal/policybook -run Frozen
const (
	frozenCommands = "testdata/commands.jsonl"
	frozenSnapshot = "testdata/form2.cbor"
)

// frozenLog is what stands in the kept log of commands: of each kind one at least.
func frozenLog() []Command {
	judge := func(order, epoch uint64, done bool) Command {
		j := &RolloutResult{Generation: order, Epoch: epoch, Completed: done, ProxyCount: 5}
		if !done {
			j.Reason, j.Advice = "worse", "mend it"
		}
		return Command{RolloutResult: j}
	}
	return []Command{
		{SetDeclaration: &SetDeclaration{Text: declarationText("x.org"), Author: "op"}},
		judge(7, 1, true),
		submitCommand(policyFile("alpha", 1, "x.org", "/a")),
		judge(7, 2, true),
		submitCommand(policyFile("alpha", 2, "x.org", "/c")),
		submitCommand(policyFile("gamma", 1, "g.org", "/")),
		submitCommand(policyFile("beta", 1, "x.org", "/c")),
		judge(7, 3, false),
		{Rollback: &Rollback{Epoch: 2, Author: "op"}},
		submitCommand(policyFile("alpha", 3, "x.org", "/d")),
		judge(8, 4, true),
		submitCommand(policyFile("gamma", 2, "g.org", "/g")),
		submitCommand(policyFile("alpha", 4, "x.org", "/e")),
		submitCommand(policyFile("beta", 2, "x.org", "/e")),
		judge(8, 7, true),
		judge(8, 9, false),
	}
}

// Logs and snapshots of the program of c8fad44 are read, come to the same state, and go on.
func TestFrozenLogAndSnapshot(t *testing.T) {
	var lines [][]byte
	for _, c := range frozenLog() {
		line, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, line)
	}
	b, outcomes := New(7), ""
	for _, line := range lines {
		var c Command
		if err := json.Unmarshal(line, &c); err != nil {
			t.Fatal(err)
		}
		if err := b.Apply(c); err != nil {
			outcomes += err.Error()
		}
		outcomes += ";"
	}
	snapshot, err := b.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if os.Getenv("UPDATE_FROZEN") != "" {
		if err := os.WriteFile(frozenCommands, append(bytes.Join(lines, []byte("\n")), '\n'), 0o644); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(frozenSnapshot, snapshot, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if outcomes != strings.Repeat(";", len(lines)) {
		t.Errorf("outcomes: %s", outcomes)
	}
	kept, err := os.ReadFile(frozenCommands)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(kept, append(bytes.Join(lines, []byte("\n")), '\n')) {
		t.Error("commands are written otherwise")
	}
	for i, line := range bytes.Split(bytes.TrimSpace(kept), []byte("\n")) {
		var c Command
		if err := json.Unmarshal(line, &c); err != nil || !reflect.DeepEqual(c, frozenLog()[i]) {
			t.Errorf("command %d: read %+v, %v", i, c, err)
		}
	}
	keptSnapshot, err := os.ReadFile(frozenSnapshot)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(keptSnapshot, snapshot) {
		t.Error("the snapshot is written otherwise")
	}
	restored := New(0)
	if err := restored.Restore(keptSnapshot); err != nil {
		t.Fatal(err)
	}
	checkFrozenStanding(t, restored)
	for _, c := range []Command{{RolloutResult: &RolloutResult{Generation: 8, Epoch: restored.Status().Candidate.Epoch, Completed: true}}, submitCommand(policyFile("alpha", 5, "x.org", "/f"))} {
		if err, wanted := restored.Apply(c), b.Apply(c); err != nil || wanted != nil {
			t.Errorf("%v, %v", err, wanted)
		}
	}
	again, _ := restored.Snapshot()
	wanted, _ := b.Snapshot()
	if !bytes.Equal(again, wanted) {
		t.Error("a restored state goes on otherwise")
	}
}

func checkFrozenStanding(t *testing.T, b *StateMachine) {
	t.Helper()
	contradiction := `contradiction: alpha/4 route r, beta/2 route r: neither goes before the other; as for host "x.org", path "/e", method "GET", ` +
		`class "any", tenant "any"`
	overlap := `overlap: alpha/0 charter, beta/0 charter: both may set route; as for host "x.org", path "/", method "GET", class "any", tenant "any"`
	want := Status{
		Active:    rollout.Version{Generation: 8, Epoch: 7, Hash: "c7b8986459f108ae3d90fc492bf9de929b99872029be8f32b56aa006ea8fc623"},
		Candidate: rollout.Version{Generation: 8, Epoch: 10, Hash: "51b4896d41c11870f0f9c7e3a6efc476aab091effb5084882987be7964f36707"},
		Head:      rollout.Version{Generation: 8, Epoch: 9, Hash: "3956c2f148c9827221aa749772ebdfe715b26d6473707ca165efaa714bba3d08"},
		Batch:     []Change{{Namespace: "gamma", Number: 2, Author: "t"}},
		Queued:    []Change{{Namespace: "alpha", Number: 4, Author: "t"}},
		WithheldFiles: []WithheldFile{{Namespace: "beta", Submitted: 2, Author: "t", Reason: "namespace beta: version 2 is held back, nothing of it holds: " + contradiction,
			Advice: "Nobody else waits for this. The team of the namespace mends its file, or agrees with the other team that is named, and offers " +
				"a higher version. Explain the request that is written out to see both rules. Narrow one of them, or have the charter delegate " +
				"that part to the team whose rule shall go first."}},
		Conflicts:      []string{contradiction, overlap},
		RetainedEpochs: []uint64{1, 2, 3, 6, 7, 9, 10},
		ProxyCount:     5,
	}
	if got := b.Status(); !reflect.DeepEqual(got, want) {
		t.Errorf("read\n%+v, want\n%+v", got, want)
	}
}
