package namespace

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"lapisspread/internal/processquota"
	"lapisspread/internal/route"
)

// policyFormat is the format version of the policies that this program reads and writes.
const policyFormat = 1

// Policy holds the merged rules of all namespaces. All lists are sorted, so that it has a single encoding. It is
// immutable.
type Policy struct {
	Format          int                    `json:"form"` // format version; must be policyFormat
	Services        []PolicyService        `json:"services"`
	Routes          []PolicyRoute          `json:"routes"`
	Classes         []PolicyClass          `json:"classes"`
	Shares          []PolicyShare          `json:"shares"`
	Blocks          []PolicyBlock          `json:"blocks"`
	Overrides       []PolicyOverride       `json:"orders"`
	StalenessBounds []PolicyStalenessBound `json:"staleness"`

	// Values derived from the lists. Where they are nil, Table and origins compute them on each call.
	table *route.Table          // compiled routes; set by Decode, FromTree and With
	files map[string]fileOrigin // files that the rules come from, by namespace; set by FromTree and With
}

// PolicyService is a service that routes may lead to.
type PolicyService struct {
	Service
	Sources []Source `json:"from"`
}

// PolicyRoute is a route. Its name is namespace/name.
type PolicyRoute struct {
	Route
	Source Source `json:"from"`
}

// PolicyClass holds the merged settings of a class. A setting that no rule sets is nil.
type PolicyClass struct {
	Name             string                `json:"name"`
	LatencyObjective *Value[time.Duration] `json:"aim,omitempty"`
	Deadline         *Value[time.Duration] `json:"give_up,omitempty"`
	Effect           *Value[string]        `json:"effect,omitempty"`
	PriorityWeight   *Value[float64]       `json:"worth,omitempty"`
	LateFraction     *Value[float64]       `json:"late,omitempty"`
}

// PolicyShare is a namespace's merged share of a quota, in the quota's units. A value that no rule sets is nil.
type PolicyShare struct {
	Quota     string          `json:"budget"`
	Limit     int64           `json:"whole"` // limit of the quota
	Namespace string          `json:"namespace"`
	Min       *Value[int64]   `json:"min,omitempty"`
	Cap       *Value[int64]   `json:"cap,omitempty"`
	Weight    *Value[float64] `json:"weight,omitempty"`
}

// PolicyBlock is a block. Its name is namespace/name.
type PolicyBlock struct {
	Block
	Source Source `json:"from"`
}

// PolicyOverride is an override. Its name is namespace/name.
type PolicyOverride struct {
	Override
	Source Source `json:"from"`
}

// PolicyStalenessBound is the merged staleness bound of a route. Route is namespace/name.
type PolicyStalenessBound struct {
	Route    string         `json:"route"`
	MaxLevel *Value[string] `json:"bears"`
}

// Encode returns the only valid encoding of the policy: JSON without whitespace, with the fields in a fixed order.
func (p *Policy) Encode() []byte {
	text, err := encodeJSON(p)
	if err != nil {
		panic(err) // cannot happen: every value was checked when it was parsed
	}
	return text
}

// Hash returns the SHA-256 (FIPS 180-4) of the encoding in hexadecimal. The hash must resist collisions: the hashed
// content is written by teams that do not trust each other, and proxies install the policy that a hash identifies.
func (p *Policy) Hash() string {
	sum := sha256.Sum256(p.Encode())
	return hex.EncodeToString(sum[:])
}

// Decode decodes a policy and compiles its routes. It returns an error for any text that Encode does not produce, and
// for routes that do not compile.
func Decode(text []byte) (*Policy, error) {
	p := &Policy{}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(p); err != nil {
		return nil, fmt.Errorf("policy: %w", err)
	}
	if p.Format != policyFormat {
		// The text means: the policy has another format version than the one that this program reads.
		return nil, fmt.Errorf("policy: form %d; this program reads %d", p.Format, policyFormat)
	}
	for i := range p.Routes {
		if err := checkWeights(&p.Routes[i].Route); err != nil {
			return nil, err
		}
	}
	if !bytes.Equal(p.Encode(), text) {
		// The text means: the input differs from what Encode returns for the policy, for example in whitespace.
		return nil, errors.New("policy: not in the one encoding that a policy has")
	}
	if err := p.compile(); err != nil {
		return nil, err
	}
	return p, nil
}

// checkWeights returns an error if a target of a route has no weight.
func checkWeights(r *Route) error {
	if slices.ContainsFunc(r.To, func(to Target) bool { return to.Weight == nil }) {
		return fmt.Errorf("policy: route %s: a target has no weight", r.Name)
	}
	return nil
}

// QuotaShares returns the namespaces' shares of a quota, by namespace, as package processquota represents them. Units
// are those of the quota.
func (p *Policy) QuotaShares(quota string) map[string]processquota.Share {
	shares := map[string]processquota.Share{}
	for _, s := range p.Shares {
		if s.Quota != quota {
			continue
		}
		var share processquota.Share
		if s.Min != nil {
			share.Min = s.Min.Value
		}
		if s.Cap != nil {
			share.Cap = s.Cap.Value
		}
		if s.Weight != nil {
			share.Weight = s.Weight.Value
		}
		shares[s.Namespace] = share
	}
	return shares
}

// Rules returns the routes as package route represents them.
func (p *Policy) Rules() []route.Rule {
	rules := make([]route.Rule, len(p.Routes))
	for i := range p.Routes {
		rules[i] = p.Routes[i].rule()
	}
	return rules
}

// rule returns the route as package route represents it.
func (r *PolicyRoute) rule() route.Rule { return r.Match.rule(r.Name, r.targets()) }

// Table returns the compiled routes. It compiles them on each call, unless the policy is from Decode, FromTree or With,
// which compile them once. It returns an error of package route if the routes do not compile.
func (p *Policy) Table() (*route.Table, error) {
	if p.table != nil {
		return p.table, nil
	}
	return route.Compile(p.Rules(), "")
}

// compile compiles the routes and keeps the table. It is called before the policy is shared with other goroutines.
func (p *Policy) compile() error {
	table, err := p.Table()
	if err != nil {
		return fmt.Errorf("policy: %w", err)
	}
	p.table = table
	return nil
}

// Explanation says how a policy handles a request, and which rules determine this.
type Explanation struct {
	Verdict   route.Verdict
	Route     *PolicyRoute          // the route that the request takes; nil if no route matches
	Blocks    []PolicyBlock         // all blocks that match the request
	Class     *PolicyClass          // settings of the request's class; nil if no rule sets any
	Staleness *PolicyStalenessBound // staleness bound of the route; nil if no rule sets one
	Reasons   []route.Explanation   // why the route was chosen, and why each other one was not
}

// Explain returns how the policy handles a request. It examines all rules, so it is for questions of operators, not for
// the handling of requests.
func (p *Policy) Explain(request *route.Request) (Explanation, error) {
	table, err := p.Table()
	if err != nil {
		return Explanation{}, fmt.Errorf("policy: %w", err)
	}
	found, verdict := table.Lookup(request)
	out := Explanation{Verdict: verdict, Reasons: table.Explain(request)}
	if found != nil {
		out.Route = p.route(found.Name)
		out.Staleness = p.stalenessBound(found.Name)
	}
	if out.Blocks, err = p.matchingBlocks(request); err != nil {
		return Explanation{}, err
	}
	for i := range p.Classes {
		if p.Classes[i].Name == request.Class {
			out.Class = &p.Classes[i]
		}
	}
	return out, nil
}

// route returns the route with a name, which must exist.
func (p *Policy) route(name string) *PolicyRoute {
	i, _ := slices.BinarySearchFunc(p.Routes, name, func(r PolicyRoute, name string) int {
		return strings.Compare(r.Name, name)
	})
	return &p.Routes[i]
}

// stalenessBound returns the staleness bound of a route, or nil if it has none.
func (p *Policy) stalenessBound(routeName string) *PolicyStalenessBound {
	for i := range p.StalenessBounds {
		if p.StalenessBounds[i].Route == routeName {
			return &p.StalenessBounds[i]
		}
	}
	return nil
}

// matchingBlocks returns the blocks that match a request.
func (p *Policy) matchingBlocks(request *route.Request) ([]PolicyBlock, error) {
	var blocks []PolicyBlock
	for _, b := range p.Blocks {
		table, err := route.Compile([]route.Rule{b.probeRule(b.Name)}, "")
		if err != nil {
			return nil, fmt.Errorf("policy: %w", err)
		}
		if _, verdict := table.Lookup(request); verdict == route.Found {
			blocks = append(blocks, b)
		}
	}
	return blocks, nil
}
