package staleness

import (
	"errors"
	"testing"

	"lapisspread/internal/operatorerror"
)

func TestLevelsFallAtOnceAndRiseSlowly(t *testing.T) {
	v := followedView(t, 60*sec)
	if level, confidence := v.Route(60*sec, "r"); level < Fresh || confidence < .95 {
		t.Fatalf("Route(r) after a minute of heartbeats = %v, confidence %v, want at least fresh and .95",
			level, confidence)
	}
	must(t, "RecordFailure", v.RecordFailure(60*sec, "list", WatchBroken))
	last := Confirmed
	seen := map[Level]bool{}
	for now := 60 * sec; now < 3600*sec; now += sec {
		level, confidence := v.Route(now, "r")
		if level > last {
			t.Fatalf("Route(r) at %v without messages = %v, confidence %v, want at most %v",
				now, level, confidence, last)
		}
		last = level
		seen[level] = true
	}
	if last != Blind || !seen[Ageing] || !seen[Doubtful] {
		t.Errorf("level after an hour without messages = %v, levels seen %v, want blind after ageing and doubtful",
			last, seen)
	}
	var blind RouteBlindError
	if err := v.Fault(3600*sec, "r"); !errors.As(err, &blind) || !blind.Known || operatorerror.AdviceOf(err) == "" {
		t.Errorf("Fault(r) = %v (advice %q), want RouteBlindError with a known age and advice",
			err, operatorerror.AdviceOf(err))
	}
	must(t, "ApplyUpdate", v.ApplyUpdate(3600*sec, "list", Update{Version: 2, Complete: true, Changes: servers(10)}))
	must(t, "ApplyUpdate", v.ApplyUpdate(3600*sec, "policy", Update{Version: 7, Complete: true}))
	if level, _ := v.Route(3600*sec, "r"); level != Blind {
		t.Errorf("Route(r) at the first update after an hour of silence = %v, want blind", level)
	}
	sendHeartbeats(t, v, 3601*sec, 3610*sec)
	if level, _ := v.Route(3610*sec, "r"); level < Fresh {
		t.Errorf("Route(r) after ten heartbeats = %v, want at least fresh", level)
	}
}

func TestNonIdempotentRequestsNeedConfirmationSinceDoubtful(t *testing.T) {
	v := followedView(t, 60*sec)
	must(t, "RecordConfirmation", v.RecordConfirmation(60*sec, "list", "s1"))
	must(t, "RecordFailure", v.RecordFailure(60*sec, "list", WatchBroken))
	now := 60 * sec
	for level := Fresh; level != Doubtful; now += sec {
		if level, _ = v.Route(now, "r"); level == Blind || now > 3600*sec {
			t.Fatalf("Route(r) at %v = %v, want doubtful before it is blind and within 3600s", now, level)
		}
	}
	var doubtful RouteDoubtfulError
	if !errors.As(v.Fault(now, "r"), &doubtful) {
		t.Errorf("Fault(r) of a doubtful route = %v, want RouteDoubtfulError", v.Fault(now, "r"))
	}
	permits := func(entry string, idempotency Idempotency) bool { return v.Permits("r", entry, idempotency) }
	if permits("s1", NotIdempotent) || !permits("s1", Idempotent) || !permits("s1", IdempotentByKey) {
		t.Errorf("Permits(s1), confirmed only before the route became doubtful: not idempotent %v, idempotent %v, "+
			"idempotent by key %v, want false, true, true",
			permits("s1", NotIdempotent), permits("s1", Idempotent), permits("s1", IdempotentByKey))
	}
	must(t, "RecordConfirmation", v.RecordConfirmation(now, "list", "s1"))
	if !permits("s1", NotIdempotent) || permits("s2", NotIdempotent) {
		t.Errorf("Permits(s1 confirmed since, not idempotent) = %v, Permits(s2 not confirmed, not idempotent) = %v, "+
			"want true and false", permits("s1", NotIdempotent), permits("s2", NotIdempotent))
	}
	must(t, "RecordContradiction", v.RecordContradiction(now, "list", Evidence{Kind: TokenRejected, Entry: "s1"}))
	if permits("s1", NotIdempotent) {
		t.Error("Permits(s1, not idempotent) after s1 rejected a token = true, want false")
	}
	s := v.Tick(now)
	if _, permitted := s.Entry(v.Handle("s1"), NotIdempotent); permitted {
		t.Error("Snapshot.Entry(s1, not idempotent) after s1 rejected a token = permitted, want not permitted")
	}
}
