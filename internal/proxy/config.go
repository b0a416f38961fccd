package proxy

import (
	"errors"
	"fmt"
	"net"
	"os"

	"lapisspread/decision"
)

// Environment variables that the configuration is read from.
const (
	envConfig       = "BALANCER_CONFIG" // path of the configuration file
	envName         = "BALANCER_NAME"
	envListen       = "BALANCER_LISTEN"
	envDiscovery    = "BALANCER_DISCOVERY"
	envAdminListen  = "BALANCER_CONSOLE"
	envPassedSocket = "BALANCER_PASSED_SOCKET"
	envStateDir     = "TMPDIR"
)

// Config is all that a proxy is told at its start. Optional files are empty if not used.
type Config struct {
	Name      string
	Listen    string // address for clients
	Discovery string // address of discovery

	AdminListen  string // address for operators; none if empty
	PassedSocket string // descriptor of the clients' listening socket; none if empty
	Services     string // file of several services; there is one if empty
	Admission    string // file of admission control; all connections are admitted if empty
	Diameter     string // file of Diameter; none is spoken if empty
	ListGuard    string // file of the list guard; endpoint lists are used as they come if empty
	Fleet        string // file of the control plane; quotas hold for this process alone if empty
	StateDir     string // directory for what outlives the process; nothing does if empty

	Seed     uint64
	Cores    float64
	MemoryMB int
	Sockets  int             // descriptors that the process may use
	Decision decision.Config // settings of the decisions
	Zones    []string        // names by number
	Kinds    []string        // names of machine types by number
	Names    Names

	InitialEndpoints      List  // the endpoint list as this proxy last had it
	InitialEndpointsError error // why that list can't be used; nil if it can

	timing discoveryTiming
}

// Names are the names of classes and tenants as the configuration gives them, by number. Those in Config.Decision are
// normalized.
type Names struct {
	Classes []string
	Tenants []string
}

// A ConfigError says which field of which file can't be used, and why.
type ConfigError struct {
	File  string
	Field string // path of the field in the file; empty if the error is of the whole file
	Err   error
}

// Error returns the file, the field and the reason.
func (e *ConfigError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("configuration %s: %v", e.File, e.Err)
	}
	return fmt.Sprintf("configuration %s: %s: %v", e.File, e.Field, e.Err)
}

// Unwrap returns the reason.
func (e *ConfigError) Unwrap() error { return e.Err }

// badField makes a ConfigError whose file is set later.
func badField(field, format string, args ...any) error {
	return &ConfigError{Field: field, Err: fmt.Errorf(format, args...)}
}

// LoadConfig reads the configuration at the start. Environment variables override what the file says. An error about
// the file's content is a *ConfigError.
func LoadConfig(getenv func(string) string) (Config, error) {
	c, path, err := readConfig(getenv)
	if err != nil {
		return Config{}, err
	}
	for name, field := range map[string]*string{
		envName:        &c.Name,
		envListen:      &c.Listen,
		envDiscovery:   &c.Discovery,
		envAdminListen: &c.AdminListen,
	} {
		if v := getenv(name); v != "" {
			*field = v
		}
	}
	c.PassedSocket = getenv(envPassedSocket)
	c.StateDir = getenv(envStateDir)
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

// ReloadConfig reads the configuration again after the file was replaced. The file is newer than the environment
// variables then: these only stand in for what it doesn't say. An error about the file's content is a *ConfigError.
func ReloadConfig(getenv func(string) string) (Config, error) {
	c, path, err := readConfig(getenv)
	if err != nil {
		return Config{}, err
	}
	if c.Discovery == "" {
		c.Discovery = getenv(envDiscovery)
	}
	if err := checkAddr(path, "discovery", c.Discovery); err != nil {
		return Config{}, err
	}
	return c, nil
}

// CheckConfig reads the configuration at path as LoadConfig would. It opens nothing but the file. The error is a
// *ConfigError; so is InitialEndpointsError.
func CheckConfig(path string, getenv func(string) string) (Config, error) {
	c, err := LoadConfig(func(name string) string {
		if name == envConfig {
			return path
		}
		return getenv(name)
	})
	if err == nil && c.InitialEndpointsError != nil {
		c.InitialEndpointsError = &ConfigError{File: path, Field: "known", Err: c.InitialEndpointsError}
	}
	return c, err
}

// readConfig reads the configuration file, and returns its path too.
func readConfig(getenv func(string) string) (Config, string, error) {
	path := getenv(envConfig)
	if path == "" {
		return Config{}, "", errors.New("BALANCER_CONFIG is not set")
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

// checkAddr returns an error unless an address has a valid port.
func checkAddr(path, field, addr string) error {
	if addr == "" {
		return &ConfigError{File: path, Field: field, Err: errors.New("must be given")}
	}
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		return &ConfigError{File: path, Field: field, Err: err}
	}
	if _, err := net.LookupPort("tcp", port); err != nil || port == "" {
		return &ConfigError{File: path, Field: field, Err: fmt.Errorf("%q has no port", addr)}
	}
	return nil
}
