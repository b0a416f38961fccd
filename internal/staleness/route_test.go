package staleness

import (
	"errors"
	"testing"

	"lapisspread/internal/operatorerror"
)

func TestLevelsFallAtOnceAndRiseSlowly(t *testing.T) {
	v := followedView(t, 60*sec)
	if level, confidence := v.Route(60*sec, "r"); level < Fresh || confidence < .95 {
		t.Fatalf("%v, %v after a minute of heartbeats", level, confidence)
	}
	must(t, v.RecordFailure(60*sec, "list", WatchBroken))
	last := Confirmed
	seen := map[Level]bool{}
	for now := 60 * sec; now < 3600*sec; now += sec {
		level, confidence := v.Route(now, "r")
		if level > last {
			t.Fatalf("rose from %v to %v in silence, confidence %v", last, level, confidence)
		}
		last = level
		seen[level] = true
	}
	if last != Blind || !seen[Ageing] || !seen[Doubtful] {
		t.Errorf("ended at %v by %v", last, seen)
	}
	var blind RouteBlindError
	if err := v.Fault(3600*sec, "r"); !errors.As(err, &blind) || !blind.Known || operatorerror.AdviceOf(err) == "" {
		t.Errorf("fault: %v", err)
	}
	must(t, v.ApplyUpdate(3600*sec, "list", Update{Version: 2, Complete: true, Changes: servers(10)}))
	must(t, v.ApplyUpdate(3600*sec, "policy", Update{Version: 7, Complete: true}))
	if level, _ := v.Route(3600*sec, "r"); level != Blind {
		t.Errorf("%v at the first update", level)
	}
	sendHeartbeats(t, v, 3601*sec, 3610*sec)
	if level, _ := v.Route(3610*sec, "r"); level < Fresh {
		t.Errorf("%v after ten heartbeats", level)
	}
}

func TestNonIdempotentRequestsNeedConfirmationSinceDoubtful(t *testing.T) {
	v := followedView(t, 60*sec)
	must(t, v.RecordConfirmation(60*sec, "list", "s1"))
	must(t, v.RecordFailure(60*sec, "list", WatchBroken))
	now := 60 * sec
	for level := Fresh; level != Doubtful; now += sec {
		if level, _ = v.Route(now, "r"); level == Blind || now > 3600*sec {
			t.Fatalf("%v at %v", level, now)
		}
	}
	var doubtful RouteDoubtfulError
	if !errors.As(v.Fault(now, "r"), &doubtful) {
		t.Error("a doubtful route is no fault")
	}
	permits := func(entry string, idempotency Idempotency) bool { return v.Permits("r", entry, idempotency) }
	if permits("s1", NotIdempotent) || !permits("s1", Idempotent) || !permits("s1", IdempotentByKey) {
		t.Error("s1 was confirmed only before the route became doubtful")
	}
	must(t, v.RecordConfirmation(now, "list", "s1"))
	if !permits("s1", NotIdempotent) || permits("s2", NotIdempotent) {
		t.Error("s1 was confirmed since, s2 was not")
	}
	must(t, v.RecordContradiction(now, "list", Evidence{Kind: TokenRejected, Entry: "s1"}))
	if permits("s1", NotIdempotent) {
		t.Error("s1 rejected a token since")
	}
	s := v.Tick(now)
	if _, permitted := s.Entry(v.Handle("s1"), NotIdempotent); permitted {
		t.Error("the snapshot differs")
	}
}
