package staleness

import "time"

// Report is what a proxy reports of its view to a control-plane server.
type Report struct {
	Proxy       string
	Incarnation uint64        // of the process; each incarnation has its own clock
	Clock       time.Duration // the proxy's monotonic clock
	Sources     []SourceClaim
	Routes      []RouteClaim
}

// SourceClaim is a proxy's claim about a source: it holds Version, which was current at most MaxAge ago.
type SourceClaim struct {
	Source  string
	Version uint64
	MaxAge  time.Duration
	Known   bool // whether MaxAge is known
}

// RouteClaim is a proxy's claim about a route.
type RouteClaim struct {
	Route      string
	Level      Level
	Confidence float64 // the probability that acting on the route's list is right
}
