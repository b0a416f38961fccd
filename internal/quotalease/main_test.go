package quotalease

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property-based tests unless a flag sets one, so that runs are repeatable.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "24", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := flag.Set(name, value); err != nil {
				panic(fmt.Sprintf("cannot set the flag -%s to %s: %v", name, value, err))
			}
		}
	}
	os.Exit(m.Run())
}
