package staleness

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// SourceSettings are one source of a view: the register's list, the policy, the grants, health and delays of servers.
type SourceSettings struct {
	Name              string
	HeartbeatInterval time.Duration // expected gap between news while all is well
	// Bears makes the source one value instead of a list: an entry of the source's name and kind, on which every route depends.
	AffectsAllRoutes bool
}

// Settings of a view. The zero value of each field but Sources stands for the default.
type Settings struct {
	Sources                 []SourceSettings
	Kinds                   map[string]Prior // of kinds of entries; others have DefaultPrior
	RateShape               float64          // see NewRate; 3
	SilentWatchRate         float64          // watches that fall silent, a second, before any was seen; 1/200
	StaleAnswerRate         float64          // registers that begin to answer with what is old, a second; 1/1500
	StaleAnswerRecoveryRate float64          // such that are well again, a second; 1/15
	MaxTransit              time.Duration    // what a message takes at most that is not late; 250 ms
	// LieDoubt is the weight of a lie from which the bound of age counts it. Danger: nobody can tell a lie from quiet before
	// something contradicts it, so a bound that always allowed for one would say minutes and mean nothing; 0.05
	StaleAnswerThreshold float64
	Levels               Thresholds

	omitted estimateTerm // of the estimate, left out: for the trial of the calibration
}

// estimateTerm is a part of the estimate.
type estimateTerm int

const (
	termNone estimateTerm = iota
	termPhi
	termRate
	termEvidence
	termSuspension
	termRestart
)

// Without is a flawed copy of the settings, for the trial of the calibration: phi, rate, evidence, stop or restart is left out.
func (s Settings) Without(name string) Settings {
	s.omitted = map[string]estimateTerm{"phi": termPhi, "rate": termRate, "evidence": termEvidence, "stop": termSuspension, "restart": termRestart}[name]
	return s
}

func (s *Settings) fill() error {
	set := func(f *float64, v float64) {
		if *f == 0 {
			*f = v
		}
	}
	set(&s.RateShape, 3)
	set(&s.SilentWatchRate, 1./200)
	set(&s.StaleAnswerRate, 1./1500)
	set(&s.StaleAnswerRecoveryRate, 1./15)
	set(&s.StaleAnswerThreshold, .05)
	if s.MaxTransit == 0 {
		s.MaxTransit = 250 * time.Millisecond
	}
	var errs []error
	bad := func(wrong bool, field, format string, args ...any) {
		if wrong {
			errs = append(errs, InvalidSettingsError{field, fmt.Sprintf(format, args...)})
		}
	}
	for _, f := range []struct {
		name string
		v    float64
	}{{"spread", s.RateShape}, {"silence", s.SilentWatchRate}, {"lies", s.StaleAnswerRate}, {"cure", s.StaleAnswerRecoveryRate}} {
		bad(!(f.v > 0 && f.v <= 1000), f.name, "%v is not above 0 and at most 1000", f.v)
	}
	bad(!(s.StaleAnswerThreshold > 0 && s.StaleAnswerThreshold < 1), "lie_doubt", "%v is not within 0 and 1", s.StaleAnswerThreshold)
	bad(s.MaxTransit < 0 || s.MaxTransit > time.Minute, "transit", "%v is not within 0s and 1m", s.MaxTransit)
	bad(len(s.Sources) == 0, "sources", "there is none")
	seen := map[string]bool{}
	for _, src := range s.Sources {
		bad(src.Name == "" || seen[src.Name], "sources", "%q is empty or named twice", src.Name)
		bad(src.HeartbeatInterval < minHeartbeatInterval || src.HeartbeatInterval > time.Hour, "sources."+src.Name+".beat", "%v is not within %v and 1h", src.HeartbeatInterval, minHeartbeatInterval)
		seen[src.Name] = true
	}
	for _, k := range slices.Sorted(maps.Keys(s.Kinds)) {
		p := s.Kinds[k]
		bad(!(p.Changes > 0) || math.IsInf(p.Changes, 0) || p.Exposure <= 0, "kinds."+k, "changes %v in %v: both must be above 0", p.Changes, p.Exposure)
	}
	errs = append(errs, s.Levels.fill())
	return errors.Join(errs...)
}
