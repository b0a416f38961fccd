package proxy

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"lapisspread/decision"
	"lapisspread/internal/wire"
)

// The minimum limits that a proxy needs, and the maximum limits that it uses; higher values in the file count as these.
const (
	minSockets  = 64
	maxSockets  = 1 << 20
	minMemoryMB = 16
	maxMemoryMB = 1 << 20
	maxCores    = 1 << 10
)

// configFile is the JSON form of the configuration file. Numbers may be written as integers or with a fraction.
type configFile struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Console   string          `json:"console"`
	Seed      string          `json:"seed"`
	Limits    limitsFile      `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

type limitsFile struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  float64 `json:"sockets"`
}

// parseConfig parses the text of a configuration file. An error is a *ConfigError without the file's path.
func parseConfig(text []byte) (Config, error) {
	var f configFile
	if err := json.Unmarshal(text, &f); err != nil {
		if mismatch := (*json.UnmarshalTypeError)(nil); errors.As(err, &mismatch) && mismatch.Field != "" {
			return Config{}, badField(mismatch.Field, "a %s, want a %s", mismatch.Value, mismatch.Type)
		}
		return Config{}, badField("", "%w", err)
	}
	c := Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, AdminListen: f.Console}
	if err := c.readLimits(&f.Limits); err != nil {
		return Config{}, err
	}
	var err error
	c.Seed, err = strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return Config{}, badField("seed", "%w", err)
	}
	// An invalid list is not an error: the list would be outdated anyway, and discovery has the current one.
	if len(f.Known) > 0 && string(f.Known) != "null" {
		c.InitialEndpoints, c.InitialEndpointsError = parseList(f.Known)
	}
	if err := c.readSettings(f.Settings); err != nil {
		return Config{}, err
	}
	c.Decision = c.Decision.Normalized()
	c.timing = timingFor(&c.Decision)
	return c, nil
}

// readLimits sets the limits of the process from the file.
func (c *Config) readLimits(f *limitsFile) error {
	c.Cores = min(f.Cores, maxCores)
	c.MemoryMB = int(min(f.MemoryMB, maxMemoryMB))
	c.Sockets = int(min(f.Sockets, maxSockets))
	switch {
	case c.Cores <= 0:
		return badField("limits.cores", "%v, must be above 0", f.Cores)
	case c.MemoryMB < minMemoryMB:
		return badField("limits.memory_mb", "%v, must be %d or more", f.MemoryMB, minMemoryMB)
	case c.Sockets < minSockets:
		return badField("limits.sockets", "%v, must be %d or more", f.Sockets, minSockets)
	}
	return nil
}

// readSettings sets the decision settings from their JSON object, and validates them. It converts them to lines, since
// the parser of package wire reads lines.
func (c *Config) readSettings(text json.RawMessage) error {
	tree, err := parseTree(text)
	if err != nil {
		return badField("settings", "%w", err)
	}
	c.Zones = textItems(tree["FailureDomains"])
	c.Kinds = textItems(tree["Kinds"])
	c.Names = Names{Classes: itemNames(tree["Services"]), Tenants: itemNames(tree["Tenants"])}
	var lines strings.Builder
	flattenSettings(&lines, "", tree)
	c.Decision, err = wire.ParseSettings(lines.String())
	if err == nil {
		err = c.Decision.Validate()
	}
	if bad := (*decision.SettingError)(nil); errors.As(err, &bad) {
		// Its line number refers to the flattened lines, not to the file, so it is not reported.
		return badField("settings."+bad.Field, "%s", bad.Reason)
	}
	if err != nil {
		return badField("settings", "%w", err)
	}
	if c.Decision.Capabilities.ConnectTimeout <= 0 {
		return badField("settings.Caps.ConnectTimeout", "must be above 0, or no connection to a backend succeeds")
	}
	for i, name := range c.Names.Classes {
		if first := slices.Index(c.Names.Classes, name); first < i {
			field := fmt.Sprintf("settings.Services.%d.Name", i)
			return badField(field, "%q is the name of Services.%d too", name, first)
		}
	}
	return nil
}

// parseTree parses a JSON object. Its numbers keep the form in which they are written.
func parseTree(text json.RawMessage) (map[string]any, error) {
	if len(text) == 0 {
		return nil, errors.New("none given")
	}
	var tree map[string]any
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	err := decoder.Decode(&tree)
	return tree, err
}

// textItems returns the items of a JSON list as texts; nil if value is no list.
func textItems(value any) []string {
	items, _ := value.([]any)
	var texts []string
	for _, item := range items {
		texts = append(texts, fmt.Sprint(item))
	}
	return texts
}

// itemNames returns the Name of each object in a JSON list; empty for an item without one.
func itemNames(value any) []string {
	items, _ := value.([]any)
	var names []string
	for _, item := range items {
		fields, _ := item.(map[string]any)
		name := ""
		if given := fields["Name"]; given != nil {
			name = fmt.Sprint(given)
		}
		names = append(names, name)
	}
	return names
}

// numberNames maps names, in both given and normalized form, to their numbers. If several names share a normalized
// form, the one that is given exactly in that form takes precedence, else the first.
func numberNames(normalized, given []string) map[string]int {
	numbers := map[string]int{}
	for _, names := range [2][]string{normalized, given} {
		for i, name := range slices.Backward(names) {
			numbers[name] = i
		}
	}
	return numbers
}

// flattenSettings writes a JSON value as path=value lines. A list of plain values becomes one line with the items
// joined by commas; a list of objects gets a line path.count with its length and lines under path.0, path.1 and so on.
func flattenSettings(to *strings.Builder, path string, value any) {
	switch v := value.(type) {
	case nil:
	case map[string]any:
		for key, item := range v {
			if key == "" || strings.ContainsAny(key, "=\r\n") { // an unknown key, which would corrupt the line
				continue
			}
			flattenSettings(to, strings.TrimPrefix(path+"."+key, "."), item)
		}
	case []any:
		flattenList(to, path, v)
	default:
		writeSetting(to, path, normalizeName(fmt.Sprint(v)))
	}
}

// flattenList writes a JSON list as lines, as described at flattenSettings.
func flattenList(to *strings.Builder, path string, list []any) {
	isObject := func(item any) bool {
		_, object := item.(map[string]any)
		return object
	}
	if slices.ContainsFunc(list, isObject) {
		writeSetting(to, path+".count", strconv.Itoa(len(list)))
		for i, item := range list {
			flattenSettings(to, fmt.Sprintf("%s.%d", path, i), item)
		}
		return
	}
	texts := make([]string, len(list))
	for i, item := range list {
		texts[i] = normalizeName(fmt.Sprint(item))
	}
	writeSetting(to, path, strings.Join(texts, ","))
}

// writeSetting writes one line. Writing to a strings.Builder can't fail.
func writeSetting(to *strings.Builder, path, value string) {
	_, _ = fmt.Fprintf(to, "%s=%s\n", path, value)
}

// nameReplacer replaces the characters that are separators in the lines that package wire parses.
var nameReplacer = strings.NewReplacer(" ", "_", ",", "_", "\n", "_", "\r", "_")

// normalizeName replaces the separators in a text by underscores, as in the lines that package wire parses.
func normalizeName(text string) string { return nameReplacer.Replace(text) }
