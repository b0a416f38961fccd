package quotalease

import (
	"flag"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "24", "rapid.nofailfile": "true"} { // one verdict each run
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}
