package api

import (
	"cmp"
	"time"

	"lapisspread/internal/staleness"
	"lapisspread/internal/strictconfig"
)

// FreshnessSettings says how a proxy weighs how old what it holds of a register may be. What is left out is as package staleness has it.
type FreshnessSettings struct {
	Enforce         bool                   `toml:"act"`     // attempts go by it; else it is only shown
	WatchInterval   strictconfig.Span      `toml:"beat"`    // expected between two answers of a watch; the time for which it is held if left out
	MaxTransit      strictconfig.Span      `toml:"transit"` // what a message takes at most that is not late; 250ms
	SilentWatchRate float64                `toml:"silence"` // watches that fall silent, a second, before any was seen; 1/200
	StaleAnswerRate float64                `toml:"lies"`    // registers that begin to answer with what is old, a second; 1/1500
	Levels          FreshnessLevels        `toml:"levels"`
	ServerKinds     map[string]ChangePrior `toml:"kinds"` // of machines
}

// FreshnessLevels are the least chances of the levels: see staleness.Thresholds.
type FreshnessLevels struct {
	Confirmed       float64           `toml:"confirmed"` // .98
	Fresh           float64           `toml:"fresh"`     // .95
	Ageing          float64           `toml:"ageing"`    // .8
	Doubtful        float64           `toml:"doubtful"`  // .4
	Margin          float64           `toml:"margin"`    // .01
	RiseDelay       strictconfig.Span `toml:"rest"`      // 2s
	ConfirmedWithin strictconfig.Span `toml:"within"`    // 10s
}

// ChangePrior is what is believed of a kind of machine before anything was seen: so many changes in so long a time of one server.
type ChangePrior struct {
	Changes  float64           `toml:"changes"`
	Exposure strictconfig.Span `toml:"in"`
}

// ListSource is the name of the one source of a view: the register's list.
const ListSource = "list"

// StalenessSettings are the view of one register, whose watch is held for usual.
func (v *FreshnessSettings) StalenessSettings(usual time.Duration) staleness.Settings {
	s := staleness.Settings{Sources: []staleness.SourceSettings{{Name: ListSource, Beat: cmp.Or(time.Duration(v.WatchInterval), usual)}},
		Transit: time.Duration(v.MaxTransit), Silence: v.SilentWatchRate, Lies: v.StaleAnswerRate, Kinds: map[string]staleness.Prior{}}
	l := &v.Levels
	s.Levels = staleness.Thresholds{Confirmed: l.Confirmed, Fresh: l.Fresh, Ageing: l.Ageing, Doubtful: l.Doubtful, Margin: l.Margin,
		Rest: time.Duration(l.RiseDelay), Within: time.Duration(l.ConfirmedWithin)}
	for name, k := range v.ServerKinds {
		s.Kinds[name] = staleness.Prior{Changes: k.Changes, Exposure: time.Duration(k.Exposure)}
	}
	return s
}
