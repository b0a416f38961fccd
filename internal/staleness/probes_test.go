package staleness

import "testing"

func TestPlanProbesPrefersDoubtAndPriority(t *testing.T) {
	v := followedView(t, 60*sec)
	important := Entry{Name: "important", Kind: "app", Route: "gold", Incarnation: 1}
	must(t, v.ApplyUpdate(60*sec, "list", Update{Version: 2, Changes: []Change{{Entry: important}}}))
	v.SetPriorityWeight("gold", 100)
	if got := v.PlanProbes(60*sec, 5, 5); len(got) != 0 {
		t.Errorf("planned %v without any doubt", got)
	}
	must(t, v.RecordFailure(61*sec, "list", WatchBroken))
	for now := 61 * sec; now <= 120*sec; now += sec {
		must(t, v.RecordHeartbeat(now, "policy"))
	}
	got := v.PlanProbes(120*sec, 1, 1)
	if len(got) != 2 || got[0].Source != "list" || got[0].Entry != "" || got[1].Entry != "important" {
		t.Errorf("got %v", got)
	}
	again := v.PlanProbes(120*sec, 1, 1)
	if len(again) != 1 || again[0].Entry == "important" || again[0].Entry == "" {
		t.Errorf("planned the same again: %v", again)
	}
	if none := v.PlanProbes(200*sec, 0, -1); len(none) != 0 {
		t.Errorf("planned beyond the budget: %v", none)
	}
}
