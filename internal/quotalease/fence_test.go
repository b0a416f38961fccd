package quotalease

import (
	"errors"
	"testing"
)

// A token is rejected if a higher token of the same holder and quota was admitted before. If the fence has no entry of
// this holder and quota, the token is rejected unless it is higher than all tokens that were evicted at the capacity.
func TestFenceRejectsStaleTokens(t *testing.T) {
	fence := NewFence(2)
	for step, tt := range []struct {
		holder string
		quota  string
		index  uint64 // of the token; 0 means the zero token
		admit  bool   // the expected result
	}{
		{"a", "r", 5, true},
		{"a", "r", 5, true},
		{"a", "r", 4, false},
		{"a", "h", 3, true},
		{"a", "r", 0, true},
		{"b", "r", 9, true}, // evicts the entry of holder a and quota h, whose token is the lowest
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
		if (err == nil) != tt.admit || err != nil && !errors.As(err, new(StaleTokenError)) {
			want := "no error"
			if !tt.admit {
				want = "a StaleTokenError"
			}
			t.Errorf("step %d: Admit(holder %s, quota %s, token %v) = error %v, want %s",
				step, tt.holder, tt.quota, token, err, want)
		}
	}
}
