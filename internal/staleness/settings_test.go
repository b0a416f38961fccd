package staleness

import (
	"errors"
	"math"
	"testing"
)

func TestInvalidSettingsNameTheirField(t *testing.T) {
	list := []SourceSettings{{Name: "list", HeartbeatInterval: sec}}
	for field, settings := range map[string]Settings{
		"sources":           {},
		"sources.list.beat": {Sources: []SourceSettings{{Name: "list"}}},
		"spread":            {Sources: list, RateShape: -1},
		"silence":           {Sources: list, SilentWatchRate: math.NaN()},
		"lie_doubt":         {Sources: list, StaleAnswerThreshold: 2},
		"transit":           {Sources: list, MaxTransit: -1},
		"kinds.app":         {Sources: list, Kinds: map[string]Prior{"app": {}}},
		"levels":            {Sources: list, Levels: Thresholds{Fresh: .1}},
		"levels.margin":     {Sources: list, Levels: Thresholds{Margin: .5}},
		"levels.rest":       {Sources: list, Levels: Thresholds{RiseDelay: -1}},
	} {
		var invalid InvalidSettingsError
		if _, err := New(settings); !errors.As(err, &invalid) || invalid.Field != field {
			t.Errorf("New with an invalid %s = %v, want InvalidSettingsError of that field", field, err)
		}
	}
}
