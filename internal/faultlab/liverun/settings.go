package liverun

import (
	"lapisspread/internal/faultlab/checker"
	"lapisspread/internal/faultlab/model"
)

// Settings are what the platform tells a proxy, in the nested form of its configuration. Times are in milliseconds.
func Settings(s *model.Spec, proxy int) map[string]any {
	var services, tenants []map[string]any
	for _, c := range s.Classes {
		effect := "fragile"
		if c.Safe {
			effect = "retryable"
		}
		services = append(services, map[string]any{"Name": c.Name, "Aim": model.Millis(c.Aim), "GiveUp": model.Millis(c.GiveUp), "Effect": effect,
			"Group": "all", "LateShare": c.Late, "Stream": false, "Value": c.Worth, "Window": 5000.0})
	}
	for _, t := range s.Tenants {
		tenants = append(tenants, map[string]any{"Name": t.Name, "Share": t.Share, "QuotaPerS": t.Share * s.Load.Quota * s.Load.Rate})
	}
	var kinds []string
	for _, m := range s.Models {
		kinds = append(kinds, m.Name)
	}
	return map[string]any{
		"Balancers": s.Proxies, "Rank": proxy, "Zone": s.ProxyZone(proxy), "Tick": 2.0, "Discovery": "pushed", "Weights": "nominal",
		"WorthBy": "request", "OverShareWorth": model.OverWorth, "Family": "proxy", "FailureDomains": s.Zones, "Kinds": kinds,
		"Services": services, "Tenants": tenants, "Clients": map[string]any{"MarksRetry": true},
		"Extra": map[string]any{"WarmKeys": false}, "Feedback": map[string]any{"How": "off", "Names": []string{}},
		"Goal": map[string]any{"Whole": 0.55, "WorstClass": 0.2, "WorstTenant": 0.1, "WorstWindow": 0.15},
		"Prices": map[string]any{"CrossZone": checker.UsualPrices.CrossZone, "LateFail": checker.UsualPrices.LateFail,
			"Probe": checker.UsualPrices.Probe, "Waste": checker.UsualPrices.Waste},
		"Obligations": map[string]any{"AnswerSlack": model.Millis(checker.DefaultSlack), "AskEvery": 10000.0, "Cold": s.Cold.For.Hi,
			"DrainGrace": model.Millis(checker.DefaultDrainGrace), "Fall": model.Millis(s.Cold.Fall), "FallMultiple": s.Cold.Multiple,
			"StartCapacity": s.Cold.From.Lo},
		"Caps": map[string]any{"Cancel": true, "Probes": true, "RetryAfter": true, "SecondCopies": true, "Peers": false,
			"ConnIdle": model.Millis(s.Conns.Idle), "ConnectTimeout": model.Millis(s.Conns.ConnectTimeout), "MaxRetryAfter": 1000.0,
			"MaxAttempts": 3, "StreamsPerConn": 1, "MaxOpen": 20000},
	}
}
