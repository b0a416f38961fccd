package store

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"

	"lapisspread/internal/policy/rollout"
)

// Files with the log and the snapshot that release c8fad44 stores. They were written by its code, with UPDATE_FROZEN=1,
// and must never be written again: if a test needs other files, the format of stored logs or snapshots has changed.
const (
	frozenCommands = "testdata/commands.jsonl"
	frozenSnapshot = "testdata/form2.cbor"
)

// frozenLog returns the commands of the frozen log. Each kind of command occurs in it.
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

// frozenResult returns a command of the frozen log that ends a rollout. Its texts are stored there and must not change.
func frozenResult(generation, epoch uint64, completed bool) Command {
	result := RolloutResult{Generation: generation, Epoch: epoch, Completed: completed, ProxyCount: 5}
	if !completed {
		result.Reason = "worse"
		result.Advice = "mend it"
	}
	return resultCommand(result)
}

// The present code writes the same log and snapshot as release c8fad44 did. It reads those of that release, restores
// the same state from them, and applies further commands with the same outcome.
func TestFrozenLogAndSnapshot(t *testing.T) {
	lines := encodeCommands(t, frozenLog())
	m := New(7)
	for i, line := range lines {
		if err := m.Apply(decodeCommand(t, line)); err != nil {
			t.Errorf("command %d: Apply(%s) = %v, want no error", i, line, err)
		}
	}
	log := append(bytes.Join(lines, []byte("\n")), '\n')
	frozen := frozenBytes(t, frozenCommands, log)
	if !bytes.Equal(frozen, log) {
		t.Errorf("commands are encoded as\n%s, want the content of %s:\n%s", log, frozenCommands, frozen)
	}
	for i, line := range bytes.Split(bytes.TrimSpace(frozen), []byte("\n")) {
		if c, want := decodeCommand(t, line), frozenLog()[i]; !reflect.DeepEqual(c, want) {
			t.Errorf("line %d of %s is decoded as %s, want %s", i, frozenCommands, commandText(c), commandText(want))
		}
	}
	snapshot := snapshotOf(t, m)
	frozen = frozenBytes(t, frozenSnapshot, snapshot)
	if !bytes.Equal(frozen, snapshot) {
		t.Errorf("Snapshot() after the frozen log returned %d bytes that differ from the %d bytes of %s, want the same",
			len(snapshot), len(frozen), frozenSnapshot)
	}
	restored := New(0)
	if err := restored.Restore(frozen); err != nil {
		t.Fatalf("Restore of %s failed: %v", frozenSnapshot, err)
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
		t.Error("after the same further commands, the restored state and the state that the log gave have different " +
			"snapshots, want equal ones")
	}
}

// encodeCommands returns each command as JSON, as the log stores it.
func encodeCommands(t *testing.T, commands []Command) [][]byte {
	t.Helper()
	var lines [][]byte
	for _, c := range commands {
		line, err := json.Marshal(c)
		if err != nil {
			t.Fatalf("encoding command %+v as JSON failed: %v", c, err)
		}
		lines = append(lines, line)
	}
	return lines
}

// decodeCommand decodes a command of the log.
func decodeCommand(t *testing.T, line []byte) Command {
	t.Helper()
	var c Command
	if err := json.Unmarshal(line, &c); err != nil {
		t.Fatalf("decoding command %s: %v", line, err)
	}
	return c
}

// frozenBytes returns the content of a frozen file. With UPDATE_FROZEN set, it writes current to the file first.
func frozenBytes(t *testing.T, path string, current []byte) []byte {
	t.Helper()
	if os.Getenv("UPDATE_FROZEN") != "" {
		if err := os.WriteFile(path, current, 0o644); err != nil {
			t.Fatalf("writing the frozen file %s failed: %v", path, err)
		}
	}
	frozen, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("reading the frozen file %s failed: %v", path, err)
	}
	return frozen
}

// checkFrozenStatus checks the status of a state machine that was restored from the frozen snapshot.
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
		t.Errorf("status restored from %s is\n%+v, want\n%+v", frozenSnapshot, got, want)
	}
}
