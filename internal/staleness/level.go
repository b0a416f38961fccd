package staleness

import (
	"cmp"
	"errors"
	"time"
)

// Level says how much the endpoint list of a route may be trusted. The zero value is Blind: unknown content is not
// fresh.
type Level uint8

// The levels, from worst to best.
const (
	Blind     Level = iota // the content is too uncertain to use: only the floor is served
	Doubtful               // requests that are not idempotent go to confirmed servers only
	Ageing                 // usable, but older than expected
	Fresh                  // as recent as the source can be
	Confirmed              // fresh, and at least half of the entries answered recently
)

var levelNames = [...]string{"blind", "doubtful", "ageing", "fresh", "confirmed"}

// String returns the level's name in reports and logs.
func (l Level) String() string { return levelNames[min(int(l), len(levelNames)-1)] }

// Thresholds separate the levels. A field that is 0 gets its default.
type Thresholds struct {
	Confirmed float64 // minimum confidence for the level, 0 to 1; default .98
	Fresh     float64 // minimum confidence for the level, 0 to 1; default .95
	Ageing    float64 // minimum confidence for the level, 0 to 1; default .8
	Doubtful  float64 // minimum confidence for the level, 0 to 1; default .4
	// Margin is how far above a threshold the confidence must be for the level to rise. Default .01.
	Margin float64
	// RiseDelay is how long the confidence must exceed a threshold by Margin before the level rises; levels fall at
	// once. Default 2s.
	RiseDelay time.Duration
	// ConfirmedWithin is how recently an entry must have answered to count as confirmed. Default 10s.
	ConfirmedWithin time.Duration
}

// setDefaultsAndCheck sets the defaults and checks all fields.
func (t *Thresholds) setDefaultsAndCheck() error {
	t.Confirmed = cmp.Or(t.Confirmed, .98)
	t.Fresh = cmp.Or(t.Fresh, .95)
	t.Ageing = cmp.Or(t.Ageing, .8)
	t.Doubtful = cmp.Or(t.Doubtful, .4)
	t.Margin = cmp.Or(t.Margin, .01)
	t.RiseDelay = cmp.Or(t.RiseDelay, 2*time.Second)
	t.ConfirmedWithin = cmp.Or(t.ConfirmedWithin, 10*time.Second)
	// The conditions are negated so that they also reject NaN.
	var errs []error
	ascending := t.Doubtful < t.Ageing && t.Ageing < t.Fresh && t.Fresh <= t.Confirmed
	if !(0 < t.Doubtful && ascending && t.Confirmed < 1) {
		errs = append(errs, InvalidSettingsError{"levels", "must be 0 < doubtful < ageing < fresh <= confirmed < 1"})
	}
	if !(t.Margin > 0 && t.Confirmed+t.Margin < 1) {
		errs = append(errs,
			InvalidSettingsError{"levels.margin", "must be above 0, and its sum with confirmed must be below 1"})
	}
	if t.RiseDelay < 0 || t.ConfirmedWithin < 0 {
		errs = append(errs, InvalidSettingsError{"levels.rest", "rest and within must not be negative"})
	}
	return errors.Join(errs...)
}

// levelFor returns the best level whose threshold a confidence reaches by at least margin. confirmed says whether
// enough entries answered recently for level Confirmed.
func (t *Thresholds) levelFor(confidence, margin float64, confirmed bool) Level {
	switch {
	case confidence >= t.Confirmed+margin && confirmed:
		return Confirmed
	case confidence >= t.Fresh+margin:
		return Fresh
	case confidence >= t.Ageing+margin:
		return Ageing
	case confidence >= t.Doubtful+margin:
		return Doubtful
	}
	return Blind
}
