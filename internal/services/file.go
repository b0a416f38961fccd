// Package services reads deploy/services.toml, which configures the services of one process, how requests are routed to
// them, and how they share the process's limits. File is the schema. Unknown keys are errors. An error names the file,
// the line if there is one, and the key.
package services

import (
	"fmt"
	"time"

	"lapisspread/internal/route"
	"lapisspread/internal/strictconfig"
)

const (
	// Version is the only version of the file's format that this program reads.
	Version = 1
	// MaxServices is the maximum number of services of one process.
	MaxServices = 256
	// maxFileBytes is the maximum size of a file in bytes.
	maxFileBytes = 16 << 20
)

// Defaults of keys that are left out.
const (
	defaultLendRatio    = 0.75
	defaultRecallDelay  = 3 * time.Second
	defaultShareCap     = 1
	defaultTargetWeight = 1
)

// Values of Class.Effect.
const (
	// EffectSafe means that the requests of a class are idempotent.
	EffectSafe = "safe"
	// EffectUnsafe means that a request of a class must never be executed twice.
	EffectUnsafe = "unsafe"
)

// Values of Route.Sticky.
const (
	// StickyByKey sends all requests with the same key to the same target. It is the default.
	StickyByKey = "key"
	// StickyByTenant sends all requests of a tenant to the same target.
	StickyByTenant = "tenant"
	// StickyByRequest chooses the target of each request independently.
	StickyByRequest = "request"
)

// Duration is a duration in the file, for example "500ms".
type Duration = strictconfig.Duration

// File is the schema of the file.
type File struct {
	Version  int       `toml:"version"` // 1
	Default  string    `toml:"default"` // service if no route matches; if left out, the reply is 404 or 421
	Services []Service `toml:"service"`
	Routes   []Route   `toml:"route"`
	Limits   Limits    `toml:"limits"`
}

// Service is a pool of backends with its own classes, limits and load balancing.
type Service struct {
	Name       string   `toml:"name"`
	Discovery  string   `toml:"discovery"` // host:port; if left out, the process's own discovery service
	Kinds      []string `toml:"kinds"`     // machine kinds whose endpoints it uses; if left out, all
	Cells      []int    `toml:"cells"`     // cells whose endpoints it uses; if left out, all
	Classes    []Class  `toml:"class"`     // if left out, the classes of the process's settings
	Upstream   string   `toml:"upstream"`  // the protocol of its backends: "http", the default, or "diameter"
	Share      Share    `toml:"share"`
	RetryRatio float64  `toml:"repeats"` // maximum ratio of retries to first attempts, 0 to 1; if left out, 0.1
}

// Class is a class of requests of a service.
type Class struct {
	Name             string   `toml:"name"`
	LatencyObjective Duration `toml:"aim"`     // a response within this time has the full PriorityWeight as its value
	Timeout          Duration `toml:"give_up"` // how long clients wait for a response
	Effect           string   `toml:"effect"`  // EffectSafe or EffectUnsafe
	PriorityWeight   float64  `toml:"worth"`   // value of a response within LatencyObjective; 0 or more
	LateValue        float64  `toml:"late"`    // share of PriorityWeight that a later response is worth, 0 to 1
}

// Share is a service's part of the process's limits. The sum of Min over all services is at most 1.
type Share struct {
	Min    float64 `toml:"min"`    // part of the total, 0 to 1
	Cap    float64 `toml:"cap"`    // part of the total, 0 to 1; if left out, 1
	Weight float64 `toml:"weight"` // for dividing what remains of the total above all minimums; if left out, 1
}

// Limits are the limits of the process, which its services share.
type Limits struct {
	MaxInFlight    int64    `toml:"in_hand"`  // requests in flight
	MaxBodyBytes   int64    `toml:"bytes"`    // sum over the bodies of all requests in flight
	MaxAttemptRate float64  `toml:"attempts"` // first attempts and retries per second; if left out, no limit
	LendRatio      float64  `toml:"lend"`     // part of a service's unused minimum that others may use; if left out, 0.75
	RecallDelay    Duration `toml:"recall"`   // time within which others return units of a minimum; if left out, 3s
}

// Route is a routing rule; see package route for the order of precedence.
type Route struct {
	Name       string   `toml:"name"`
	Host       string   `toml:"host"`
	Path       string   `toml:"path"`
	PathPrefix string   `toml:"path_prefix"`
	Methods    []string `toml:"methods"`
	Classes    []string `toml:"classes"`
	Tenants    []string `toml:"tenants"`
	Sticky     string   `toml:"sticky"` // how requests are divided among the targets; if left out, StickyByKey
	To         []Target `toml:"to"`     // services that get the requests
}

// Target is a service that gets a part of a route's requests, in proportion to Weight.
type Target struct {
	Service string   `toml:"service"`
	Weight  *float64 `toml:"weight"` // if left out, 1
}

// Config is a valid file with its compiled routes.
type Config struct {
	File  *File
	Table *route.Table
}

// Load reads and checks a file. Errors name the file, the line if there is one, and the key.
func Load(path string) (*Config, error) {
	return strictconfig.Load(path, "the services", maxFileBytes, Parse)
}

// Parse reads and checks the text of a file; path is used in errors only.
func Parse(path string, text []byte) (*Config, error) {
	f := &File{Limits: Limits{
		LendRatio:   defaultLendRatio,
		RecallDelay: Duration(defaultRecallDelay),
	}}
	if err := strictconfig.Decode(path, text, f); err != nil {
		return nil, err
	}
	table, err := f.validate()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &Config{File: f, Table: table}, nil
}
