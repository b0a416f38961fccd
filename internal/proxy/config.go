package proxy

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"

	"lapisspread/decision"
	"lapisspread/internal/wire"
)

// Config is all that a proxy is told at its start.
type Config struct {
	Name, Listen, Discovery string

	Console      string // the second address; none if empty
	PassedSocket string // the descriptor of the clients' listening socket; none if empty
	Services     string // the file of several services; there is one if empty
	Admission    string // the file of who is admitted; whoever comes if empty
	Diameter     string // the file of Diameter; none is spoken if empty
	Comeback     string // the file of coming back; lists are believed as they come, and asked for at once, if empty
	Fleet        string // the file of the fleet; no budget beyond this process holds if empty
	StateDir     string // what outlives this process is kept there; nothing is if empty

	Seed     uint64
	Cores    float64
	MemoryMB int
	Sockets  int
	Known    List            // the backends as this proxy last had them
	Module   decision.Config // the settings
	Zones    []string        // their names, by number
	Kinds    []string        // of machine, likewise
	Names    Names           // of classes and tenants as they are told, which the module's may not be
	KnownBad error           // why the list that was known could not be read; nil is none

	pace pace // of the calls for the list, by the settings
}

// Names are those of classes and tenants as the configuration tells them, by number.
type Names struct{ Classes, Tenants []string }

// A ConfigError says which field of which file can't be served, and why.
type ConfigError struct {
	File, Field string // Field is a path in the file, or empty
	Err         error
}

func (e *ConfigError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("configuration %s: %v", e.File, e.Err)
	}
	return fmt.Sprintf("configuration %s: %s: %v", e.File, e.Field, e.Err)
}

func (e *ConfigError) Unwrap() error { return e.Err }

func badField(field, format string, args ...any) error {
	return &ConfigError{Field: field, Err: fmt.Errorf(format, args...)}
}

// file is the form of config.json. Numbers may be written as whole ones or not.
type file struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Console   string `json:"console"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  float64 `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// Least limits that a proxy can work within, and the most that it makes use of.
const (
	leastSockets  = 64
	leastMemoryMB = 16
	mostSockets   = 1 << 20
	mostMemoryMB  = 1 << 20
	mostCores     = 1 << 10
)

// readConfig reads the file that BALANCER_CONFIG names, and tells its path.
func readConfig(getenv func(string) string) (Config, string, error) {
	path := getenv("BALANCER_CONFIG")
	if path == "" {
		return Config{}, "", fmt.Errorf("BALANCER_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, path, fmt.Errorf("reading the configuration: %w", err)
	}
	c, err := parseConfig(text)
	if bad := (*ConfigError)(nil); errors.As(err, &bad) {
		bad.File = path
	}
	return c, path, err
}

// checkAddr tells whether calls can be made to an address.
func checkAddr(path, field, addr string) error {
	if addr == "" {
		return &ConfigError{path, field, errors.New("must be given")}
	}
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		return &ConfigError{path, field, err}
	}
	if _, err := net.LookupPort("tcp", port); err != nil || port == "" {
		return &ConfigError{path, field, fmt.Errorf("%q has no port", addr)}
	}
	return nil
}

// ReloadConfig reads the file again, after it was replaced. What it says then is newer than the variables,
// which are as they were at the start; they stand in for what it does not say.
func ReloadConfig(getenv func(string) string) (Config, error) {
	c, path, err := readConfig(getenv)
	if err != nil {
		return Config{}, err
	}
	if c.Discovery == "" {
		c.Discovery = getenv("BALANCER_DISCOVERY")
	}
	if err := checkAddr(path, "discovery", c.Discovery); err != nil {
		return Config{}, err
	}
	return c, nil
}

// LoadConfig reads the file at the start; the other variables go before what it says.
func LoadConfig(getenv func(string) string) (Config, error) {
	c, path, err := readConfig(getenv)
	if err != nil {
		return Config{}, err
	}
	for name, field := range map[string]*string{"BALANCER_NAME": &c.Name, "BALANCER_LISTEN": &c.Listen,
		"BALANCER_DISCOVERY": &c.Discovery, "BALANCER_CONSOLE": &c.Console} {
		if v := getenv(name); v != "" {
			*field = v
		}
	}
	c.PassedSocket, c.StateDir = getenv("BALANCER_PASSED_SOCKET"), getenv("TMPDIR")
	if c.PassedSocket == "" {
		if err := checkAddr(path, "listen", c.Listen); err != nil {
			return Config{}, err
		}
	}
	if err := checkAddr(path, "discovery", c.Discovery); err != nil {
		return Config{}, err
	}
	return c, nil
}

// parseConfig reads the text of a configuration. An error is a *ConfigError without its file.
func parseConfig(text []byte) (Config, error) {
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		if odd := (*json.UnmarshalTypeError)(nil); errors.As(err, &odd) && odd.Field != "" {
			return Config{}, badField(odd.Field, "a %s, want a %s", odd.Value, odd.Type)
		}
		return Config{}, badField("", "%w", err)
	}
	c := Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Console: f.Console, Cores: min(f.Limits.Cores, mostCores),
		MemoryMB: int(min(f.Limits.MemoryMB, mostMemoryMB)), Sockets: int(min(f.Limits.Sockets, mostSockets))}
	switch {
	case c.Cores <= 0:
		return Config{}, badField("limits.cores", "%v, must be above 0", f.Limits.Cores)
	case c.MemoryMB < leastMemoryMB:
		return Config{}, badField("limits.memory_mb", "%v, must be %d or more", f.Limits.MemoryMB, leastMemoryMB)
	case c.Sockets < leastSockets:
		return Config{}, badField("limits.sockets", "%v, must be %d or more", f.Limits.Sockets, leastSockets)
	}
	var err error
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return Config{}, badField("seed", "%w", err)
	}
	// A bad list is no reason not to serve: what is known is old anyhow, and discovery is asked for all of it.
	if len(f.Known) > 0 && string(f.Known) != "null" {
		if c.Known, err = parseList(f.Known); err != nil {
			c.Known, c.KnownBad = List{}, err
		}
	}
	if err := c.readSettings(f.Settings); err != nil {
		return Config{}, err
	}
	c.Module = c.Module.Normalized()
	c.pace = paceFor(&c.Module)
	return c, nil
}

// readSettings brings the nested settings to the lines that the wire's parser reads, and has the decision module
// look at them.
func (c *Config) readSettings(text json.RawMessage) error {
	var tree map[string]any
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	if err := decoder.Decode(&tree); err != nil {
		if len(text) == 0 {
			err = errors.New("none given")
		}
		return badField("settings", "%w", err)
	}
	texts := func(key string) (texts []string) {
		items, _ := tree[key].([]any)
		for _, item := range items {
			texts = append(texts, fmt.Sprint(item))
		}
		return texts
	}
	names := func(key string) (names []string) {
		items, _ := tree[key].([]any)
		for _, item := range items {
			fields, _ := item.(map[string]any)
			name := ""
			if told := fields["Name"]; told != nil {
				name = fmt.Sprint(told)
			}
			names = append(names, name)
		}
		return names
	}
	c.Zones, c.Kinds, c.Names = texts("FailureDomains"), texts("Kinds"), Names{names("Services"), names("Tenants")}
	var lines strings.Builder
	flatten(&lines, "", tree)
	var err error
	if c.Module, err = wire.ParseSettings(lines.String()); err == nil {
		err = c.Module.Validate()
	}
	if bad := (*decision.SettingError)(nil); errors.As(err, &bad) { // its line is none of the file's
		return badField("settings."+bad.Field, "%s", bad.Reason)
	}
	if err != nil {
		return badField("settings", "%w", err)
	}
	// Danger: without it every connection would time out at once, and every request be refused.
	if c.Module.Capabilities.ConnectTimeout <= 0 {
		return badField("settings.Caps.ConnectTimeout", "must be above 0: no connection to a backend could come up")
	}
	// Danger: a request would go by the rules of either of them.
	for i, name := range c.Names.Classes {
		if first := slices.Index(c.Names.Classes, name); first < i {
			return badField(fmt.Sprintf("settings.Services.%d.Name", i), "%q is the name of Services.%d too", name, first)
		}
	}
	return nil
}

// numbered gives the numbers of names. Two may differ by no more than what plain does to them; then the one that is told
// in just that form is meant.
func numbered(plained, told []string) map[string]int {
	numbers := map[string]int{}
	for _, names := range [2][]string{plained, told} {
		for i, name := range slices.Backward(names) {
			numbers[name] = i
		}
	}
	return numbers
}

// flatten writes a value as path=value lines: lists of plain values joined by commas, lists of objects
// with their length under .count.
func flatten(to *strings.Builder, path string, value any) {
	switch v := value.(type) {
	case nil:
	case map[string]any:
		for key, item := range v {
			if key == "" || strings.ContainsAny(key, "=\r\n") { // none that is known, and no line of its own
				continue
			}
			flatten(to, strings.TrimPrefix(path+"."+key, "."), item)
		}
	case []any:
		if slices.ContainsFunc(v, func(item any) bool { _, nested := item.(map[string]any); return nested }) {
			fmt.Fprintf(to, "%s.count=%d\n", path, len(v))
			for i, item := range v {
				flatten(to, fmt.Sprintf("%s.%d", path, i), item)
			}
			return
		}
		items := make([]string, len(v))
		for i, item := range v {
			items[i] = plain(fmt.Sprint(item))
		}
		fmt.Fprintf(to, "%s=%s\n", path, strings.Join(items, ","))
	default:
		fmt.Fprintf(to, "%s=%s\n", path, plain(fmt.Sprint(v)))
	}
}

// plain is a text as the settings' lines give it.
func plain(text string) string {
	return strings.NewReplacer(" ", "_", ",", "_", "\n", "_", "\r", "_").Replace(text)
}

// CheckConfig reads the configuration at path as the start would, with the variables that getenv gives. It opens
// nothing but the file. The error is a *ConfigError; so is KnownBad.
func CheckConfig(path string, getenv func(string) string) (Config, error) {
	c, err := LoadConfig(func(name string) string {
		if name == "BALANCER_CONFIG" {
			return path
		}
		return getenv(name)
	})
	if err == nil && c.KnownBad != nil {
		c.KnownBad = &ConfigError{path, "known", c.KnownBad}
	}
	return c, err
}
