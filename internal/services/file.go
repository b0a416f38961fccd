// Package services reads deploy/services.toml: which services one process serves, how requests are routed to them, and
// how they divide what the process has. File is the schema. Unknown keys are errors, and an error names the file, the
// line if there is one, and the key.
package services

import (
	"fmt"
	"time"

	"lapisspread/internal/route"
	"lapisspread/internal/strictconfig"
)

const (
	// Version is the format of the file that this program reads.
	Version = 1
	// MaxServices is the most services of one process.
	MaxServices = 256
	// maxFileBytes is the length of the longest file that is read.
	maxFileBytes = 16 << 20
)

// Values of keys that are left out.
const (
	defaultLendRatio    = 0.75
	defaultRecallDelay  = 3 * time.Second
	defaultShareCap     = 1
	defaultTargetWeight = 1
)

// Values of Class.Effect.
const (
	// EffectSafe is a class whose requests are idempotent.
	EffectSafe = "safe"
	// EffectUnsafe is a class whose requests must never run twice.
	EffectUnsafe = "unsafe"
)

// Values of Route.Sticky.
const (
	// StickyByKey divides requests by their key. It is the default.
	StickyByKey = "key"
	// StickyByTenant divides requests by their tenant.
	StickyByTenant = "tenant"
	// StickyByRequest divides requests one by one.
	StickyByRequest = "request"
)

// Duration is a duration in the file, such as "500ms".
type Duration = strictconfig.Duration

// File is the whole configuration.
type File struct {
	Version  int       `toml:"version"` // 1
	Default  string    `toml:"default"` // the service of requests that no route matches; left out, these get 404 or 421
	Services []Service `toml:"service"`
	Routes   []Route   `toml:"route"`
	Limits   Limits    `toml:"limits"`
}

// Service is a pool of servers with decisions of its own.
type Service struct {
	Name       string   `toml:"name"`
	Discovery  string   `toml:"discovery"` // host:port; left out, the endpoint list of the process's own discovery
	Kinds      []string `toml:"kinds"`     // kinds of machine that it uses of the endpoint list; left out, all
	Cells      []int    `toml:"cells"`     // cells that it uses of the endpoint list; left out, all
	Classes    []Class  `toml:"class"`     // left out, those of the process's settings
	Upstream   string   `toml:"upstream"`  // the protocol of its servers: "http", which is the default, or "diameter"
	Share      Share    `toml:"share"`
	RetryRatio float64  `toml:"repeats"` // retries as a part of first attempts, 0 to 1; left out, 0.1
}

// Class is a class of requests of a service.
type Class struct {
	Name             string   `toml:"name"`
	LatencyObjective Duration `toml:"aim"`     // an answer within it has the whole PriorityWeight
	Timeout          Duration `toml:"give_up"` // how long clients wait
	Effect           string   `toml:"effect"`  // EffectSafe or EffectUnsafe
	PriorityWeight   float64  `toml:"worth"`
	LateValue        float64  `toml:"late"` // part of PriorityWeight of a later answer, 0 to 1
}

// Share is a service's part of the process's limits. The minimums of all services sum to 1 at most.
type Share struct {
	Min    float64 `toml:"min"`    // part of the total, 0 to 1
	Cap    float64 `toml:"cap"`    // part of the total, 0 to 1; left out, 1
	Weight float64 `toml:"weight"` // for what is above all minimums; left out, 1
}

// Limits are those of the process, which its services divide.
type Limits struct {
	MaxInFlight    int64    `toml:"in_hand"`  // requests
	MaxBodyBytes   int64    `toml:"bytes"`    // of the bodies of requests in flight
	MaxAttemptRate float64  `toml:"attempts"` // requests and retries per second; left out, no limit
	LendRatio      float64  `toml:"lend"`     // part of an idle minimum that is lent; left out, 0.75
	RecallDelay    Duration `toml:"recall"`   // within which lent units come back; left out, 3s
}

// Route is a rule; see package route for the order of precedence.
type Route struct {
	Name       string   `toml:"name"`
	Host       string   `toml:"host"`
	Path       string   `toml:"path"`
	PathPrefix string   `toml:"path_prefix"`
	Methods    []string `toml:"methods"`
	Classes    []string `toml:"classes"`
	Tenants    []string `toml:"tenants"`
	Sticky     string   `toml:"sticky"` // by what its targets divide requests; left out, StickyByKey
	To         []Target `toml:"to"`
}

// Target is a service with its part of a route's requests.
type Target struct {
	Service string   `toml:"service"`
	Weight  *float64 `toml:"weight"` // left out, 1
}

// Config is a valid file and its routes.
type Config struct {
	File  *File
	Table *route.Table
}

// Load reads and checks a file.
func Load(path string) (*Config, error) {
	return strictconfig.Load(path, "the services", maxFileBytes, Parse)
}

// Parse reads and checks the text of a file; the path is for errors only.
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
