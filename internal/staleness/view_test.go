package staleness

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestUnknownIsNotFresh(t *testing.T) {
	empty, err := New(Settings{Sources: []SourceSettings{{Name: "list", HeartbeatInterval: sec}}})
	must(t, "New", err)
	if level, confidence := empty.Route(sec, "r"); level != Blind || confidence != 0 {
		t.Errorf("Route(r) of a view without content = %v, confidence %v, want blind and 0", level, confidence)
	}
	if _, known := empty.Age(sec, "list"); known {
		t.Error("Age(list) of a source that sent nothing = known, want unknown")
	}
	restored := followedView(t, 30*sec)
	restored.Restore(31*sec, -1)
	if _, known := restored.Age(31*sec, "list"); known {
		t.Error("Age(list) after Restore with an unknown age = known, want unknown")
	}
	for now := 31 * sec; now < 60*sec; now += sec / 5 { // confirmations by servers do not raise the level
		for i := range 10 {
			must(t, "RecordConfirmation", restored.RecordConfirmation(now, "list", fmt.Sprint("s", i)))
		}
		if level, _ := restored.Route(now, "r"); level > Doubtful {
			t.Fatalf("Route(r) at %v with a list of unknown age = %v, want at most doubtful", now, level)
		}
	}
}

func TestEntryCannotTakeNameOfSource(t *testing.T) {
	v := followedView(t, 30*sec)
	before := v.Confidence(30*sec, "policy")
	for _, removed := range []bool{false, true} {
		change := Change{Entry: Entry{Name: "policy", Kind: "app", Route: "r"}, Removed: removed}
		err := v.ApplyUpdate(30*sec, "list", Update{Version: 2, Changes: []Change{change}})
		after := v.Confidence(30*sec, "policy")
		if !errors.As(err, new(NameTakenError)) || after != before {
			t.Errorf("ApplyUpdate(entry policy, removed %v) = %v, want NameTakenError; "+
				"Confidence(policy) = %v, want %v as before",
				removed, err, after, before)
		}
	}
}

// For any observations in any order, probabilities stay within 0 and 1, ages are not negative, the snapshot agrees
// with the view, and nothing panics.
func TestAnyOrderOfObservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, err := New(listAndPolicy())
		if err != nil {
			t.Fatalf("New: %v", err)
		}
		now := time.Duration(0)
		version := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond
			source := rapid.SampledFrom([]string{"list", "policy"}).Draw(t, "source")
			entry := fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "entry"))
			recordRandomObservation(t, v, now, source, entry, &version)
			checkView(t, v, now, source, entry)
		}
	})
}

// recordRandomObservation makes a randomly drawn call. Errors are ignored: after an error, too, the view must be
// consistent.
func recordRandomObservation(t *rapid.T, v *View, now time.Duration, source, entry string, version *uint64) {
	switch rapid.IntRange(0, 8).Draw(t, "operation") {
	case 0:
		*version++
		listed := servers(rapid.IntRange(0, 6).Draw(t, "servers"))
		_ = v.ApplyUpdate(now, source, Update{Version: *version, Complete: true, Changes: listed})
	case 1:
		*version++
		change := Change{Entry: server(entry, *version), Removed: rapid.Bool().Draw(t, "removed")}
		latest := *version + uint64(rapid.IntRange(0, 1).Draw(t, "later"))
		_ = v.ApplyUpdate(now, source, Update{Version: *version, Changes: []Change{change}, LatestVersion: latest})
	case 2:
		_ = v.RecordHeartbeat(now, source)
	case 3:
		_ = v.RecordFailure(now, source, FailureKind(rapid.IntRange(0, 1).Draw(t, "failure")))
	case 4:
		kind := EvidenceKind(rapid.IntRange(0, 3).Draw(t, "evidence"))
		_ = v.RecordContradiction(now, source, Evidence{Kind: kind, Entry: entry, Version: *version + 1})
	case 5:
		_ = v.RecordConfirmation(now, source, rapid.SampledFrom([]string{"", entry}).Draw(t, "confirmed"))
	case 6:
		v.RecordSuspension(now, time.Duration(rapid.IntRange(0, 30).Draw(t, "gap"))*sec)
	case 7:
		v.Restore(now, time.Duration(rapid.IntRange(-1, 100).Draw(t, "age"))*sec)
	case 8:
		v.PlanProbes(now, 3, 1)
	}
}

func checkView(t *rapid.T, v *View, now time.Duration, source, entry string) {
	for _, name := range []string{entry, "policy"} {
		if confidence := v.Confidence(now, name); !(confidence >= 0 && confidence <= 1+1e-9) {
			t.Fatalf("Confidence(%s) = %v, want within 0 and 1", name, confidence)
		}
	}
	if age, known := v.Age(now, source); known && age < 0 {
		t.Fatalf("Age(%s) = %v, want not negative", source, age)
	}
	level, confidence := v.Route(now, "r")
	if math.IsNaN(confidence) || confidence < 0 || confidence > 1+1e-9 || level > Confirmed {
		t.Fatalf("Route(r) = %v, confidence %v, want a valid level and a confidence within 0 and 1", level, confidence)
	}
	s := v.Tick(now)
	for idempotency := Idempotent; idempotency <= NotIdempotent; idempotency++ {
		if _, permitted := s.Entry(v.Handle(entry), idempotency); permitted != v.Permits("r", entry, idempotency) {
			t.Fatalf("Snapshot.Entry(%s, idempotency %d) = permitted %v, want %v as View.Permits returns",
				entry, idempotency, permitted, !permitted)
		}
	}
}
