package api

import (
	"cmp"
	"time"

	"lapisspread/internal/staleness"
	"lapisspread/internal/strictconfig"
)

// FreshnessSettings control how a proxy judges the age of its endpoint lists. Defaults are those of package staleness.
type FreshnessSettings struct {
	// Enforce has attempts go only where the list is fresh enough for them. Without it freshness is only reported.
	Enforce bool `toml:"act"`
	// WatchInterval is the expected time between two answers of a watch. Default: how long the watch is held open.
	WatchInterval strictconfig.Duration `toml:"beat"`
	// MaxTransit is the longest time that a message takes if it is not late. Default 250ms.
	MaxTransit strictconfig.Duration `toml:"transit"`
	// SilentWatchRate is the expected rate per second of watches that fall silent. Default 1/200.
	SilentWatchRate float64 `toml:"silence"`
	// StaleAnswerRate is the expected rate per second at which discovery begins to answer with old lists. Default
	// 1/1500.
	StaleAnswerRate float64 `toml:"lies"`
	// Levels are the thresholds of the freshness levels.
	Levels FreshnessLevels `toml:"levels"`
	// ServerKinds are prior change rates by kind of server.
	ServerKinds map[string]ChangePrior `toml:"kinds"`
}

// FreshnessLevels are the least probabilities, 0 to 1, of the freshness levels; see staleness.Thresholds.
type FreshnessLevels struct {
	Confirmed float64 `toml:"confirmed"` // default .98
	Fresh     float64 `toml:"fresh"`     // default .95
	Ageing    float64 `toml:"ageing"`    // default .8
	Doubtful  float64 `toml:"doubtful"`  // default .4
	// Margin is how far above a threshold the probability must be for the level to rise again. Default .01.
	Margin float64 `toml:"margin"`
	// RiseDelay is how long it must stay there. Default 2s.
	RiseDelay strictconfig.Duration `toml:"rest"`
	// ConfirmedWithin is how recently an entry must have answered to count as confirmed. Default 10s.
	ConfirmedWithin strictconfig.Duration `toml:"within"`
}

// ChangePrior is the prior change rate of one server of a kind: Changes per Exposure.
type ChangePrior struct {
	Changes  float64               `toml:"changes"`
	Exposure strictconfig.Duration `toml:"in"`
}

// ListSource is the name of the only staleness source of an endpoint list: the list's watch.
const ListSource = "list"

// StalenessSettings returns the settings for one endpoint list. WatchInterval is used if the file gives none.
func (f *FreshnessSettings) StalenessSettings(watchInterval time.Duration) staleness.Settings {
	interval := cmp.Or(time.Duration(f.WatchInterval), watchInterval)
	s := staleness.Settings{
		Sources:         []staleness.SourceSettings{{Name: ListSource, HeartbeatInterval: interval}},
		MaxTransit:      time.Duration(f.MaxTransit),
		SilentWatchRate: f.SilentWatchRate,
		StaleAnswerRate: f.StaleAnswerRate,
		Kinds:           map[string]staleness.Prior{},
		Levels: staleness.Thresholds{
			Confirmed:       f.Levels.Confirmed,
			Fresh:           f.Levels.Fresh,
			Ageing:          f.Levels.Ageing,
			Doubtful:        f.Levels.Doubtful,
			Margin:          f.Levels.Margin,
			RiseDelay:       time.Duration(f.Levels.RiseDelay),
			ConfirmedWithin: time.Duration(f.Levels.ConfirmedWithin),
		},
	}
	for kind, prior := range f.ServerKinds {
		s.Kinds[kind] = staleness.Prior{Changes: prior.Changes, Exposure: time.Duration(prior.Exposure)}
	}
	return s
}
