package wire

import (
	"fmt"

	"lapisspread/decision"
)

// ParseSettings parses the settings text of an instance. Unknown keys are ignored. Absent keys have defaults: every
// capability is off, a class is not idempotent, endpoint lists are pushed, and Balancers, Caps.MaxAttempts and
// Caps.StreamsPerConn are 1. An unknown word is read as the default for settings that only influence weights, and for
// the deduplication scope of a class without deduplication; for other settings it is an error. Errors are *LineError.
//
// These keys are ignored because no decision uses them: Caps.MaxOpen (requests over this limit never arrive),
// Caps.CpuUsPerS and Caps.CpuUsPerRequest (a decision looks at few backends), and Feedback (load reports are skipped).
// Weights=rough is read as nominal.
func ParseSettings(text string) (decision.Config, error) {
	s, err := splitLines(text)
	if err != nil {
		return decision.Config{}, err
	}
	config := s.config()
	return config, s.err
}

func (s *settings) config() decision.Config {
	config := decision.Config{
		Instances:          s.integer("Balancers", 1),
		Rank:               s.integer("Rank", 0),
		Zone:               s.integer("Zone", 0),
		Tick:               s.duration("Tick"),
		OverQuotaWeight:    s.number("OverShareWorth", 1),
		WeightByWork:       s.text("WorthBy") == "work",
		KeyAffinity:        s.boolean("Extra.WarmKeys"),
		ClientsMarkRetries: s.boolean("Clients.MarksRetry"),
		PolledDiscovery:    s.choice("Discovery", "pushed", "on_request") == "on_request",
		ObjectiveWeights:   s.objectiveWeights(),
		Penalties:          s.penalties(),
		Constraints:        s.constraints(),
		Capabilities:       s.capabilities(),
		Weights:            s.weightKind(),
	}
	for i := range s.listLength("Services.count") {
		config.Classes = append(config.Classes, s.class(fmt.Sprintf("Services.%d.", i)))
	}
	for i := range s.listLength("Tenants.count") {
		config.Tenants = append(config.Tenants, s.tenant(fmt.Sprintf("Tenants.%d.", i)))
	}
	return config
}

func (s *settings) objectiveWeights() decision.ObjectiveWeights {
	return decision.ObjectiveWeights{
		Overall:     s.number("Goal.Whole", 1),
		WorstClass:  s.number("Goal.WorstClass", 0),
		WorstTenant: s.number("Goal.WorstTenant", 0),
		WorstWindow: s.number("Goal.WorstWindow", 0),
	}
}

func (s *settings) penalties() decision.Penalties {
	return decision.Penalties{
		Connection:  s.number("Prices.Connection", 0),
		CrossZone:   s.number("Prices.CrossZone", 0),
		Discovery:   s.number("Prices.Discovery", 0),
		Handshake:   s.number("Prices.Handshake", 0),
		LateFailure: s.number("Prices.LateFail", 0),
		PeerMessage: s.number("Prices.Peer", 0),
		HealthCheck: s.number("Prices.Probe", 0),
		WastedWork:  s.number("Prices.Waste", 0),
	}
}

func (s *settings) constraints() decision.Constraints {
	return decision.Constraints{
		AnswerSlack:     s.duration("Obligations.AnswerSlack"),
		MaxListAge:      s.duration("Obligations.AskEvery"),
		WarmUp:          s.duration("Obligations.Cold"),
		DrainGrace:      s.duration("Obligations.DrainGrace"),
		OverloadWindow:  s.duration("Obligations.Fall"),
		OverloadFactor:  s.number("Obligations.FallMultiple", 1),
		InitialCapacity: s.number("Obligations.StartCapacity", 1),
	}
}

func (s *settings) capabilities() decision.Capabilities {
	return decision.Capabilities{
		Cancel:                s.boolean("Caps.Cancel"),
		PeerMessages:          s.boolean("Caps.Peers"),
		HealthChecks:          s.boolean("Caps.Probes"),
		RetryAfter:            s.boolean("Caps.RetryAfter"),
		HedgedRequests:        s.boolean("Caps.SecondCopies"),
		ConnectionIdleTimeout: s.duration("Caps.ConnIdle"),
		ConnectTimeout:        s.duration("Caps.ConnectTimeout"),
		MaxRetryAfter:         s.duration("Caps.MaxRetryAfter"),
		MaxAttempts:           s.integer("Caps.MaxAttempts", 1),
		StreamsPerConnection:  s.integer("Caps.StreamsPerConn", 1),
	}
}

func (s *settings) weightKind() decision.WeightKind {
	switch s.text("Weights") {
	case "nominal", "rough":
		return decision.WeightNominal
	case "live":
		return decision.WeightLive
	}
	return decision.WeightNone
}

func (s *settings) tenant(prefix string) decision.Tenant {
	return decision.Tenant{
		Name:           s.text(prefix + "Name"),
		Share:          s.number(prefix+"Share", 0),
		QuotaPerSecond: s.number(prefix+"QuotaPerS", 0),
	}
}

func (s *settings) class(prefix string) decision.Class {
	class := decision.Class{
		Name:                s.text(prefix + "Name"),
		LatencyObjective:    s.duration(prefix + "Aim"),
		ObjectivePerWork:    s.number(prefix+"AimStretch", 0),
		ClientTimeout:       s.duration(prefix + "GiveUp"),
		LateValueShare:      s.number(prefix+"LateShare", 0),
		StreamedResponse:    s.boolean(prefix + "Stream"),
		PriorityWeight:      s.number(prefix+"Value", 1),
		DeduplicationWindow: s.duration(prefix + "Window"),
	}
	switch s.choice(prefix+"Effect", "fragile", "dedup", "retryable") {
	case "dedup":
		class.Idempotency = decision.IdempotentByKey
	case "retryable":
		class.Idempotency = decision.Idempotent
	}
	scope := s.text(prefix + "Group")
	// A class with deduplication needs a known scope: with an unknown one it is unclear which backends drop duplicates.
	if class.Idempotency == decision.IdempotentByKey {
		scope = s.choice(prefix+"Group", "cell", "zone", "all")
	}
	switch scope {
	case "zone":
		class.DeduplicationScope = decision.ScopeZone
	case "all":
		class.DeduplicationScope = decision.ScopeAll
	}
	return class
}
