package staleness

import (
	"errors"
	"testing"
)

func TestEvidenceChangesConfidenceAndAge(t *testing.T) {
	v := followedView(t, 60*sec)
	before := v.Confidence(60*sec, "s1")
	must(t, "RecordContradiction", v.RecordContradiction(60*sec, "list", Evidence{Kind: OtherIncarnation, Entry: "s1"}))
	if confidence := v.Confidence(60*sec, "s1"); confidence > .01 || before < .99 {
		t.Errorf("Confidence(s1) = %v before and %v after evidence of another incarnation, want >= .99 and <= .01",
			before, confidence)
	}
	must(t, "RecordConfirmation", v.RecordConfirmation(60*sec, "list", ""))
	ageBefore, _ := v.Age(64*sec, "list")
	must(t, "RecordHeartbeat", v.RecordHeartbeat(64*sec, "list"))
	must(t, "RecordContradiction", v.RecordContradiction(64*sec, "list", Evidence{Kind: LaterVersion, Version: 9}))
	if age, known := v.Age(64*sec, "list"); !known || age < 4*sec || age < ageBefore-sec {
		t.Errorf("Age(list) after evidence of a later version = %v, known %v, want known, >= 4s and >= %v",
			age, known, ageBefore-sec)
	}
	must(t, "ApplyUpdate", v.ApplyUpdate(64*sec, "list", Update{Version: 9, Changes: servers(1)}))
	must(t, "RecordHeartbeat", v.RecordHeartbeat(65*sec, "list"))
	if age, _ := v.Age(65*sec, "list"); age > 3*sec {
		t.Errorf("Age(list) after the later version arrived = %v, want at most 3s", age)
	}
	if err := v.RecordHeartbeat(0, "nothing"); !errors.As(err, new(UnknownSourceError)) {
		t.Errorf("RecordHeartbeat(unknown source) = %v, want UnknownSourceError", err)
	}
}
