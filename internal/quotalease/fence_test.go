package quotalease

import (
	"errors"
	"testing"
)

// A token passes unless a higher one of its holder and quota has passed, or one no lower was forgotten for want of room.
func TestFenceRejectsStaleTokens(t *testing.T) {
	fence := NewFence(2)
	for i, tt := range []struct {
		holder string
		quota  string
		index  uint64 // of the token; 0 is the zero token
		passes bool
	}{
		{"a", "r", 5, true},
		{"a", "r", 5, true},
		{"a", "r", 4, false},
		{"a", "h", 3, true},
		{"a", "r", 0, true},
		{"b", "r", 9, true}, // the lowest, 3, is forgotten
		{"a", "h", 3, false},
		{"a", "r", 4, false},
		{"a", "r", 6, true},
		{"c", "r", 2, false},
		{"c", "r", 10, true},
		{"a", "r", 6, false},
		{"a", "r", 7, true},
	} {
		token := Token{Epoch: 1, Index: tt.index}
		if tt.index == 0 {
			token = Token{}
		}
		err := fence.Admit(tt.holder, tt.quota, token)
		if (err == nil) != tt.passes || err != nil && !errors.As(err, new(StaleTokenError)) {
			t.Errorf("step %d: %+v: got error %v, want a StaleTokenError unless it passes", i, tt, err)
		}
	}
}
