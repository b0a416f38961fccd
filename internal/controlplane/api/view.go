package api

import (
	"cmp"
	"time"

	"lapisspread/internal/staleness"
	"lapisspread/internal/strictconfig"
)

// View says how a proxy weighs how old what it holds of a register may be. What is left out is as package staleness has it.
type View struct {
	Act     bool              `toml:"act"`     // attempts go by it; else it is only shown
	Beat    strictconfig.Span `toml:"beat"`    // expected between two answers of a watch; the time for which it is held if left out
	Transit strictconfig.Span `toml:"transit"` // what a message takes at most that is not late; 250ms
	Silence float64           `toml:"silence"` // watches that fall silent, a second, before any was seen; 1/200
	Lies    float64           `toml:"lies"`    // registers that begin to answer with what is old, a second; 1/1500
	Levels  Levels            `toml:"levels"`
	Kinds   map[string]Kind   `toml:"kinds"` // of machines
}

// Levels are the least chances of the levels: see staleness.Thresholds.
type Levels struct {
	Confirmed float64           `toml:"confirmed"` // .98
	Fresh     float64           `toml:"fresh"`     // .95
	Ageing    float64           `toml:"ageing"`    // .8
	Doubtful  float64           `toml:"doubtful"`  // .4
	Margin    float64           `toml:"margin"`    // .01
	Rest      strictconfig.Span `toml:"rest"`      // 2s
	Within    strictconfig.Span `toml:"within"`    // 10s
}

// Kind is what is believed of a kind of machine before anything was seen: so many changes in so long a time of one server.
type Kind struct {
	Changes float64           `toml:"changes"`
	In      strictconfig.Span `toml:"in"`
}

// Source is the name of the one source of a view: the register's list.
const Source = "list"

// Settings are the view of one register, whose watch is held for usual.
func (v *View) Settings(usual time.Duration) staleness.Settings {
	s := staleness.Settings{Sources: []staleness.SourceSettings{{Name: Source, Beat: cmp.Or(time.Duration(v.Beat), usual)}},
		Transit: time.Duration(v.Transit), Silence: v.Silence, Lies: v.Lies, Kinds: map[string]staleness.Prior{}}
	l := &v.Levels
	s.Levels = staleness.Thresholds{Confirmed: l.Confirmed, Fresh: l.Fresh, Ageing: l.Ageing, Doubtful: l.Doubtful, Margin: l.Margin,
		Rest: time.Duration(l.Rest), Within: time.Duration(l.Within)}
	for name, k := range v.Kinds {
		s.Kinds[name] = staleness.Prior{Changes: k.Changes, Exposure: time.Duration(k.In)}
	}
	return s
}
