package staleness

import "testing"

func TestPlanProbesPrefersDoubtAndPriority(t *testing.T) {
	v := followedView(t, 60*sec)
	important := Entry{Name: "important", Kind: "app", Route: "gold", Incarnation: 1}
	must(t, "ApplyUpdate", v.ApplyUpdate(60*sec, "list", Update{Version: 2, Changes: []Change{{Entry: important}}}))
	v.SetPriorityWeight("gold", 100)
	if got := v.PlanProbes(60*sec, 5, 5); len(got) != 0 {
		t.Errorf("PlanProbes with confident entries only = %+v, want none", got)
	}
	must(t, "RecordFailure", v.RecordFailure(61*sec, "list", WatchBroken))
	for now := 61 * sec; now <= 120*sec; now += sec {
		must(t, "RecordHeartbeat", v.RecordHeartbeat(now, "policy"))
	}
	got := v.PlanProbes(120*sec, 1, 1)
	if len(got) != 2 || got[0].Source != "list" || got[0].Entry != "" || got[1].Entry != "important" {
		t.Errorf("PlanProbes(1 probe, 1 call) = %+v, want a call to list, then a probe of entry important", got)
	}
	again := v.PlanProbes(120*sec, 1, 1)
	if len(again) != 1 || again[0].Entry == "important" || again[0].Entry == "" {
		t.Errorf("second PlanProbes(1 probe, 1 call) = %+v, want one probe of an entry other than important", again)
	}
	if none := v.PlanProbes(200*sec, 0, -1); len(none) != 0 {
		t.Errorf("PlanProbes(0 probes, -1 calls) = %+v, want none", none)
	}
}
