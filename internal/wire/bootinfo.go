package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"lapisspread/decision"
)

// settings are the lines of a BootInfo text, by key.
type settings struct {
	values map[string]settingLine
	err    error
}

type settingLine struct {
	text string
	line int
}

// maxItems bounds a list's stated length: an index is one byte or four on the wire, and no list is longer.
const maxItems = 4096

// ParseSettings reads the settings of an instance. Unknown keys are passed
// over, absent ones leave defaults: no cap is granted, a class is unsafe, the
// list is pushed, and a count is 1. So do words that are not known for what
// only weighs, and for the group of a class whose repeats nobody drops. An
// error holds a *decision.SettingError.
//
// Read past on purpose, as no decision uses them: Caps.MaxOpen (what is over it
// never arrives), Caps.CpuUsPerS and Caps.CpuUsPerRequest (a proxy looks at the
// few backends in use, far under any limit seen), report values not in known
// below, and whether reports come inline too; rough weights count as nominal.
func ParseSettings(text string) (decision.Config, error) {
	s := settings{values: map[string]settingLine{}}
	line := 0
	for l := range strings.Lines(text) {
		line++
		l = strings.TrimRight(l, "\r\n")
		if strings.TrimSpace(l) == "" {
			continue
		}
		key, value, found := strings.Cut(l, "=")
		if key = strings.TrimSpace(key); !found || key == "" {
			return decision.Config{}, fmt.Errorf("settings line %d: %q is not path=value", line, l)
		}
		s.values[key] = settingLine{strings.TrimSpace(value), line}
	}
	c := s.config()
	return c, s.err
}

func (s *settings) config() decision.Config {
	c := decision.Config{
		Instances: s.integer("Balancers", 1), Rank: s.integer("Rank", 0), Zone: s.integer("Zone", 0),
		Tick:               s.duration("Tick", 0),
		OverQuotaWeight:    s.number("OverShareWorth", 1),
		WeightByWork:       s.text("WorthBy") == "work",
		KeyAffinity:        s.boolean("Extra.WarmKeys"),
		ClientsMarkRetries: s.boolean("Clients.MarksRetry"),
		PolledDiscovery:    s.choice("Discovery", "pushed", "on_request") == "on_request",
		ObjectiveWeights: decision.ObjectiveWeights{Overall: s.number("Goal.Whole", 1), WorstClass: s.number("Goal.WorstClass", 0),
			WorstTenant: s.number("Goal.WorstTenant", 0), WorstWindow: s.number("Goal.WorstWindow", 0)},
		Penalties: decision.Penalties{Connection: s.number("Prices.Connection", 0),
			CrossZone: s.number("Prices.CrossZone", 0), Discovery: s.number("Prices.Discovery", 0),
			Handshake: s.number("Prices.Handshake", 0), LateFailure: s.number("Prices.LateFail", 0),
			PeerMessage: s.number("Prices.Peer", 0), HealthCheck: s.number("Prices.Probe", 0), WastedWork: s.number("Prices.Waste", 0)},
		Constraints: decision.Constraints{AnswerSlack: s.duration("Obligations.AnswerSlack", 0),
			MaxListAge: s.duration("Obligations.AskEvery", 0), WarmUp: s.duration("Obligations.Cold", 0),
			DrainGrace: s.duration("Obligations.DrainGrace", 0), OverloadWindow: s.duration("Obligations.Fall", 0),
			OverloadFactor:  s.number("Obligations.FallMultiple", 1),
			InitialCapacity: s.number("Obligations.StartCapacity", 1)},
		Capabilities: decision.Capabilities{Cancel: s.boolean("Caps.Cancel"), PeerMessages: s.boolean("Caps.Peers"), HealthChecks: s.boolean("Caps.Probes"),
			RetryAfter: s.boolean("Caps.RetryAfter"), HedgedRequests: s.boolean("Caps.SecondCopies"),
			ConnectionIdleTimeout: s.duration("Caps.ConnIdle", 0), ConnectTimeout: s.duration("Caps.ConnectTimeout", 0),
			MaxRetryAfter: s.duration("Caps.MaxRetryAfter", 0), MaxAttempts: s.integer("Caps.MaxAttempts", 1),
			StreamsPerConnection: s.integer("Caps.StreamsPerConn", 1)},
	}
	switch s.text("Weights") {
	case "nominal", "rough":
		c.Weights = decision.WeightNominal
	case "live":
		c.Weights = decision.WeightLive
	}
	for i := range s.listLength("Services.count") {
		c.Classes = append(c.Classes, s.class(fmt.Sprintf("Services.%d.", i)))
	}
	for i := range s.listLength("Tenants.count") {
		p := fmt.Sprintf("Tenants.%d.", i)
		c.Tenants = append(c.Tenants, decision.Tenant{Name: s.text(p + "Name"), Share: s.number(p+"Share", 0),
			QuotaPerSecond: s.number(p+"QuotaPerS", 0)})
	}
	return c
}

func (s *settings) class(p string) decision.Class {
	c := decision.Class{Name: s.text(p + "Name"), LatencyObjective: s.duration(p+"Aim", 0), ObjectivePerWork: s.number(p+"AimStretch", 0),
		ClientTimeout: s.duration(p+"GiveUp", 0), LateValueShare: s.number(p+"LateShare", 0), StreamedResponse: s.boolean(p + "Stream"),
		PriorityWeight: s.number(p+"Value", 1), DeduplicationWindow: s.duration(p+"Window", 0)}
	switch s.choice(p+"Effect", "fragile", "dedup", "retryable") {
	case "dedup":
		c.Idempotency = decision.IdempotentByKey
	case "retryable":
		c.Idempotency = decision.Idempotent
	}
	group := s.text(p + "Group")
	if c.Idempotency == decision.IdempotentByKey { // Danger: of an unknown one nobody knows where repeats are dropped
		group = s.choice(p+"Group", "cell", "zone", "all")
	}
	switch group {
	case "zone":
		c.DeduplicationScope = decision.ScopeZone
	case "all":
		c.DeduplicationScope = decision.ScopeAll
	}
	return c
}

func (s *settings) text(key string) string { return s.values[key].text }

func (s *settings) reject(key, want string) {
	if v := s.values[key]; s.err == nil {
		reason := fmt.Sprintf("%q is not %s", v.text, want)
		s.err = fmt.Errorf("settings line %d: %w", v.line, &decision.SettingError{Field: key, Reason: reason})
	}
}

func (s *settings) number(key string, absent float64) float64 {
	v, found := s.values[key]
	if !found {
		return absent
	}
	n, err := strconv.ParseFloat(v.text, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		s.reject(key, "a number")
		return absent
	}
	return n
}

func (s *settings) duration(key string, absent time.Duration) time.Duration {
	if _, found := s.values[key]; !found {
		return absent
	}
	d, err := durationFromMillis(s.number(key, 0))
	if err != nil {
		s.reject(key, "a span")
	}
	return d
}

func (s *settings) integer(key string, absent int) int {
	n := s.number(key, float64(absent))
	if n != math.Trunc(n) || math.Abs(n) > math.MaxInt32 {
		s.reject(key, "a whole number")
		return absent
	}
	return int(n)
}

func (s *settings) listLength(key string) int {
	n := s.integer(key, 0)
	if n < 0 || n > maxItems {
		s.reject(key, "a list's length")
		return 0
	}
	return n
}

func (s *settings) boolean(key string) bool {
	return s.choice(key, "false", "true") == "true"
}

// choice gives the setting if it is one of the words, the first of which is the default.
func (s *settings) choice(key string, words ...string) string {
	v, found := s.values[key]
	if !found {
		return words[0]
	}
	for _, w := range words {
		if v.text == w {
			return w
		}
	}
	s.reject(key, "one of "+strings.Join(words, ", "))
	return words[0]
}
