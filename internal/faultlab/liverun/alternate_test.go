package liverun

import "testing"

// Neighbours in a fleet, and a process and its successor, run different builds.
func TestAlternate(t *testing.T) {
	for _, tt := range []struct {
		name  string
		other string
		n     int
		want  string
	}{
		{"one build, first slot", "", 0, "new"},
		{"one build, second slot", "", 1, "new"},
		{"two builds, first slot", "old", 0, "new"},
		{"two builds, second slot or first successor of the first", "old", 1, "old"},
		{"two builds, second successor of the first slot", "old", 2, "new"},
	} {
		if got := Alternate("new", tt.other, tt.n); got != tt.want {
			t.Errorf("%s: Alternate(new, %q, %d) = %q, want %q", tt.name, tt.other, tt.n, got, tt.want)
		}
	}
}
