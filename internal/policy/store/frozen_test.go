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

// The files of these tests are what commit c8fad44 stores. They were written at that commit, with UPDATE_FROZEN=1, and
// must never be written again: a change of them is a change of the stored log or of a snapshot.
const (
	frozenCommands = "testdata/commands.jsonl"
	frozenSnapshot = "testdata/form2.cbor"
)

// frozenLog is the commands of the frozen log, each kind at least once.
func frozenLog() []Command {
	setDeclaration := Command{SetDeclaration: &SetDeclaration{Text: declarationText("x.org"), Author: "op"}}
	return []Command{
		setDeclaration,
		frozenResult(7, 1, true),
		submitCommand(policyFile("alpha", 1, "x.org", "/a")),
		frozenResult(7, 2, true),
		submitCommand(policyFile("alpha", 2, "x.org", "/c")),
		submitCommand(policyFile("gamma", 1, "g.org", "/")),
		submitCommand(policyFile("beta", 1, "x.org", "/c")),
		frozenResult(7, 3, false),
		{Rollback: &Rollback{Epoch: 2, Author: "op"}},
		submitCommand(policyFile("alpha", 3, "x.org", "/d")),
		frozenResult(8, 4, true),
		submitCommand(policyFile("gamma", 2, "g.org", "/g")),
		submitCommand(policyFile("alpha", 4, "x.org", "/e")),
		submitCommand(policyFile("beta", 2, "x.org", "/e")),
		frozenResult(8, 7, true),
		frozenResult(8, 9, false),
	}
}

func frozenResult(generation, epoch uint64, completed bool) Command {
	result := RolloutResult{Generation: generation, Epoch: epoch, Completed: completed, ProxyCount: 5}
	if !completed {
		result.Reason = "worse"
		result.Advice = "mend it"
	}
	return resultCommand(result)
}

// A log and a snapshot of release c8fad44 are written and read unchanged, give the same state, and can be continued.
func TestFrozenLogAndSnapshot(t *testing.T) {
	lines := encodeCommands(t, frozenLog())
	m := New(7)
	outcomes := ""
	for _, line := range lines {
		if err := m.Apply(decodeCommand(t, line)); err != nil {
			outcomes += err.Error()
		}
		outcomes += ";"
	}
	if outcomes != strings.Repeat(";", len(lines)) {
		t.Errorf("outcomes: %s", outcomes)
	}
	log := append(bytes.Join(lines, []byte("\n")), '\n')
	frozen := frozenBytes(t, frozenCommands, log)
	if !bytes.Equal(frozen, log) {
		t.Error("commands are written differently")
	}
	for i, line := range bytes.Split(bytes.TrimSpace(frozen), []byte("\n")) {
		if c := decodeCommand(t, line); !reflect.DeepEqual(c, frozenLog()[i]) {
			t.Errorf("command %d: read %+v", i, c)
		}
	}
	snapshot := snapshotOf(t, m)
	frozen = frozenBytes(t, frozenSnapshot, snapshot)
	if !bytes.Equal(frozen, snapshot) {
		t.Error("the snapshot is written differently")
	}
	restored := New(0)
	if err := restored.Restore(frozen); err != nil {
		t.Fatal(err)
	}
	checkFrozenStatus(t, restored)
	for _, c := range []Command{
		resultCommand(RolloutResult{Generation: 8, Epoch: restored.Status().Candidate.Epoch, Completed: true}),
		submitCommand(policyFile("alpha", 5, "x.org", "/f")),
	} {
		apply(t, restored, c)
		apply(t, m, c)
	}
	if !bytes.Equal(snapshotOf(t, restored), snapshotOf(t, m)) {
		t.Error("a restored state goes on differently")
	}
}

func encodeCommands(t *testing.T, commands []Command) [][]byte {
	t.Helper()
	var lines [][]byte
	for _, c := range commands {
		line, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, line)
	}
	return lines
}

func decodeCommand(t *testing.T, line []byte) Command {
	t.Helper()
	var c Command
	if err := json.Unmarshal(line, &c); err != nil {
		t.Fatal(err)
	}
	return c
}

// frozenBytes reads a frozen file. With UPDATE_FROZEN it writes current there first.
func frozenBytes(t *testing.T, path string, current []byte) []byte {
	t.Helper()
	if os.Getenv("UPDATE_FROZEN") != "" {
		if err := os.WriteFile(path, current, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	frozen, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return frozen
}

func checkFrozenStatus(t *testing.T, m *StateMachine) {
	t.Helper()
	contradiction := `contradiction: alpha/4 route r, beta/2 route r: neither goes before the other; ` +
		`as for host "x.org", path "/e", method "GET", class "any", tenant "any"`
	overlap := `overlap: alpha/0 charter, beta/0 charter: both may set route; ` +
		`as for host "x.org", path "/", method "GET", class "any", tenant "any"`
	want := Status{
		Active: rollout.Version{
			Generation: 8, Epoch: 7, Hash: "c7b8986459f108ae3d90fc492bf9de929b99872029be8f32b56aa006ea8fc623",
		},
		Candidate: rollout.Version{
			Generation: 8, Epoch: 10, Hash: "51b4896d41c11870f0f9c7e3a6efc476aab091effb5084882987be7964f36707",
		},
		Head: rollout.Version{
			Generation: 8, Epoch: 9, Hash: "3956c2f148c9827221aa749772ebdfe715b26d6473707ca165efaa714bba3d08",
		},
		Batch:  []Change{{Namespace: "gamma", Number: 2, Author: "t"}},
		Queued: []Change{{Namespace: "alpha", Number: 4, Author: "t"}},
		WithheldFiles: []WithheldFile{{
			Namespace: "beta", Submitted: 2, Author: "t",
			Reason: "namespace beta: version 2 is held back, nothing of it holds: " + contradiction,
			Advice: "Nobody else waits for this. The team of the namespace mends its file, or agrees with the other " +
				"team that is named, and offers a higher version. Explain the request that is written out to see " +
				"both rules. Narrow one of them, or have the charter delegate that part to the team whose rule " +
				"shall go first.",
		}},
		Conflicts:      []string{contradiction, overlap},
		RetainedEpochs: []uint64{1, 2, 3, 6, 7, 9, 10},
		ProxyCount:     5,
	}
	if got := m.Status(); !reflect.DeepEqual(got, want) {
		t.Errorf("read\n%+v, want\n%+v", got, want)
	}
}
