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

// Config is the configuration of a proxy. Paths of optional files are empty if the file is not used.
type Config struct {
	Name      string
	Listen    string // address for clients
	Discovery string // address of the discovery server

	AdminListen  string // address of the admin server; none if empty
	PassedSocket string // descriptor of the clients' listening socket; none if empty
	Services     string // path of the services and routes file; if empty there is a single service
	Admission    string // path of the admission control file; if empty there is no admission control
	Diameter     string // path of the Diameter file; if empty Diameter is disabled
	ListGuard    string // path of the endpoint list guard's file; if empty endpoint lists are used unchecked
	Fleet        string // path of the control-plane file; if empty quotas hold for this process alone
	StateDir     string // directory for state that outlives the process; if empty no state is kept

	Seed     uint64          // for random numbers
	Cores    float64         // CPU cores that the process may use
	MemoryMB int             // memory limit in MiB
	Sockets  int             // descriptors that the process may use
	Decision decision.Config // settings of package decision
	Zones    []string        // names by number
	Kinds    []string        // names of machine types by number
	Names    Names

	InitialEndpoints      List  // last endpoint list of this proxy, used until discovery sends one
	InitialEndpointsError error // why the configured list is invalid; nil if it is valid

	timing discoveryTiming
	// peerSockets is the number of descriptors that are kept for Diameter peers; Proxy.prepare sets it.
	peerSockets int
}

// Names are the names of classes and tenants as written in the configuration, by number. The names in Config.Decision
// are normalized.
type Names struct {
	Classes []string
	Tenants []string
}

// A ConfigError reports an invalid field of a configuration file and the reason.
type ConfigError struct {
	File  string
	Field string // path of the field in the file; empty if the error concerns the whole file
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

// badField makes a ConfigError for a field. readConfig adds the path of the file.
func badField(field, format string, args ...any) error {
	return &ConfigError{Field: field, Err: fmt.Errorf(format, args...)}
}

// LoadConfig reads the configuration at the start, from the file that BALANCER_CONFIG names and from other environment
// variables, which override the file. An error about the file's content is a *ConfigError.
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

// ReloadConfig reads the configuration again after the file was replaced. The file is then newer than the environment
// variables, so BALANCER_DISCOVERY is only used if the file has no discovery address. An error about the file's content
// is a *ConfigError.
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
