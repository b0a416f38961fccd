package api

import (
	"cmp"
	"time"

	"lapisspread/internal/staleness"
	"lapisspread/internal/strictconfig"
)

// FreshnessSettings control how a proxy estimates whether its endpoint lists are up to date. Defaults are those of
// package staleness.
type FreshnessSettings struct {
	// Enforce makes proxies refuse attempts for which the list is not fresh enough. Without it freshness is only
	// reported.
	Enforce bool `toml:"act"`
	// WatchInterval is the expected time between two answers of a watch. Default: how long the watch is held open.
	WatchInterval strictconfig.Duration `toml:"beat"`
	// MaxTransit is the maximum transit time of a message that is not delayed. Default 250ms.
	MaxTransit strictconfig.Duration `toml:"transit"`
	// SilentWatchRate is the expected rate per second at which a watch stops answering. Default 1/200.
	SilentWatchRate float64 `toml:"silence"`
	// StaleAnswerRate is the expected rate per second at which discovery starts to answer with outdated lists. Default
	// 1/1500.
	StaleAnswerRate float64 `toml:"lies"`
	// Levels are the thresholds of the freshness levels.
	Levels FreshnessLevels `toml:"levels"`
	// ServerKinds are the prior change rates by kind of server.
	ServerKinds map[string]ChangePrior `toml:"kinds"`
}

// FreshnessLevels are the minimum probabilities, 0 to 1, of the freshness levels, and when a level may rise; see
// staleness.Thresholds.
type FreshnessLevels struct {
	Confirmed float64 `toml:"confirmed"` // default .98
	Fresh     float64 `toml:"fresh"`     // default .95
	Ageing    float64 `toml:"ageing"`    // default .8
	Doubtful  float64 `toml:"doubtful"`  // default .4
	// Margin is how far above a threshold the probability must be for the level to rise again. Default .01.
	Margin float64 `toml:"margin"`
	// RiseDelay is how long the probability must stay there before the level rises. Default 2s.
	RiseDelay strictconfig.Duration `toml:"rest"`
	// ConfirmedWithin is the maximum time since an endpoint last answered for its entry to count as confirmed. Default
	// 10s.
	ConfirmedWithin strictconfig.Duration `toml:"within"`
}

// ChangePrior is the prior change rate of one server of a kind: the expected number of Changes in the time Exposure.
type ChangePrior struct {
	Changes  float64               `toml:"changes"`
	Exposure strictconfig.Duration `toml:"in"`
}

// ListSource is the name of the only staleness source of an endpoint list: the list's watch.
const ListSource = "list"

// StalenessSettings returns the settings for one endpoint list. The parameter watchInterval is used if the file sets no
// WatchInterval.
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
