package staleness

import (
	"errors"
	"testing"
)

func TestEvidenceChangesConfidenceAndAge(t *testing.T) {
	v := followedView(t, 60*sec)
	before := v.Confidence(60*sec, "s1")
	must(t, v.RecordContradiction(60*sec, "list", Evidence{Kind: OtherIncarnation, Entry: "s1"}))
	if confidence := v.Confidence(60*sec, "s1"); confidence > .01 || before < .99 {
		t.Errorf("another process answers: %v after %v", confidence, before)
	}
	must(t, v.RecordConfirmation(60*sec, "list", ""))
	ageBefore, _ := v.Age(64*sec, "list")
	must(t, v.RecordHeartbeat(64*sec, "list"))
	must(t, v.RecordContradiction(64*sec, "list", Evidence{Kind: LaterVersion, Version: 9}))
	if age, known := v.Age(64*sec, "list"); !known || age < 4*sec || age < ageBefore-sec {
		t.Errorf("a heartbeat hides that a later version is known: %v", age)
	}
	must(t, v.ApplyUpdate(64*sec, "list", Update{Version: 9, Changes: servers(1)}))
	must(t, v.RecordHeartbeat(65*sec, "list"))
	if age, _ := v.Age(65*sec, "list"); age > 3*sec {
		t.Errorf("still %v old after the later version arrived", age)
	}
	if err := v.RecordHeartbeat(0, "nothing"); !errors.As(err, new(UnknownSourceError)) {
		t.Errorf("unknown source: %v", err)
	}
}
