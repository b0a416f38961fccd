// Package experiments holds the ready experiments.
package experiments

import (
	"embed"
	"fmt"
	"slices"
	"strings"

	"lapisspread/internal/faultlab/experiment"
)

//go:embed *.toml
var files embed.FS

// Names are the ready experiments, sorted.
func Names() []string {
	entries, err := files.ReadDir(".")
	if err != nil {
		return nil
	}
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".toml"))
	}
	slices.Sort(names)
	return names
}

// Load reads a ready experiment.
func Load(name string) (*experiment.File, error) {
	text, err := files.ReadFile(name + ".toml")
	if err != nil {
		return nil, fmt.Errorf("there is no ready experiment %q; there are %s", name, strings.Join(Names(), ", "))
	}
	return experiment.Parse("lab/"+name+".toml", text)
}
