// Package namespace merges the rules of many teams into one policy, and finds where they conflict. It is pure: no
// I/O, no goroutine, no clock, and nothing hangs on the order in which files come.
//
// A charter says who owns which namespace and over what it may speak; one file for each namespace holds its rules.
// Each setting has one way to join (see the constants Set...): the strictest, all of them, the owner alone, or sums
// within the whole. A conflict holds back only the namespace that caused it. The design: docs/fleet-ownership-design.md.
package namespace

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"

	"lapisspread/internal/route"
	"lapisspread/internal/strictconfig"
)

// FileVersion is the form of charters and namespace files that this program reads.
const FileVersion = 1

// Declaration is who may speak over what.
type Declaration struct {
	Version     int                 `toml:"version"` // 1
	Quotas      []Quota             `toml:"budget"`
	Namespaces  []DeclaredNamespace `toml:"namespace"`
	Delegations []Delegation        `toml:"delegation"`

	limits        map[string]int64
	parts         map[string][]domainPart
	delegationsTo map[string][]*Delegation // by whom they are to
	depth         map[string]int
}

// Quota is a budget: how much of something the fleet has, in units that its name says.
type Quota struct {
	Name  string `toml:"name"`
	Limit int64  `toml:"whole"`
}

// DeclaredNamespace is a namespace with its team and its own domain. With no settings it has only what is delegated to it.
type DeclaredNamespace struct {
	Name  string `toml:"name"`
	Owner string `toml:"owner"`
	Domain
}

// Delegation lets To speak over a part of From's domain as well. Taken out of the charter, it is taken back.
type Delegation struct {
	From string `toml:"from"`
	To   string `toml:"to"`
	Domain
}

// domainPart is one part of a namespace's domain, with those whose delegations it came through; none for its own.
type domainPart struct {
	domain     *Domain
	delegators []string
}

// lines tells where each key of a TOML text stands, as "route[2].to" or "route[2]".
func lines(text []byte) map[string]int {
	out := map[string]int{}
	var p unstable.Parser
	p.Reset(text)
	count := map[string]int{}
	table := ""
	row, seen := 1, 0 // of the text so far; keys come in order
	for p.NextExpression() {
		e := p.Expression()
		var keys []string
		line := 0
		for it := e.Key(); it.Next(); {
			if line == 0 {
				if offset := int(it.Node().Raw.Offset); offset > seen {
					row += bytes.Count(text[seen:offset], []byte("\n"))
					seen = offset
				}
				line = row
			}
			keys = append(keys, string(it.Node().Data))
		}
		key := strings.Join(keys, ".")
		switch e.Kind {
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d]", key, count[key])
			count[key]++
			out[table] = line
		case unstable.Table:
			table = key
			out[table] = line
		case unstable.KeyValue:
			if table != "" {
				key = table + "." + key
			}
			out[key] = line
		}
	}
	return out
}

// keyError is a mistake at a key. The line is the key's, or that of the table it should be in.
func keyError(path string, where map[string]int, key string, err error) error {
	line, there := where[key]
	if i := strings.LastIndexByte(key, '.'); !there && i >= 0 {
		line = where[key[:i]]
	}
	return FileError{path, line, key, err}
}

// decode reads a text strictly. What is wrong carries file, line and key already.
func decode(path string, text []byte, v any) error {
	err := strictconfig.Decode(path, text, v)
	if err == nil {
		return nil
	}
	what, line := strings.TrimPrefix(err.Error(), path+":"), 0
	if n, rest, ok := strings.Cut(what, ": "); ok {
		if _, err := fmt.Sscanf(n, "%d", &line); err == nil {
			what = rest
		}
	}
	return FileError{Path: path, Line: line, Err: errors.New(strings.TrimSpace(what))}
}

// ParseDeclaration reads a charter and checks it whole. Errors are FileError, with DelegationCircle, DelegationTooWide or
// UnknownNamespace within where it is one.
func ParseDeclaration(path string, text []byte) (*Declaration, error) {
	c := &Declaration{}
	if err := decode(path, text, c); err != nil {
		return nil, err
	}
	if err := c.check(path, lines(text)); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Declaration) check(path string, where map[string]int) error {
	var errs []error
	bad := func(wrong bool, key string, err error) {
		if wrong {
			errs = append(errs, keyError(path, where, key, err))
		}
	}
	bad(c.Version != FileVersion, "version", fmt.Errorf("%d; this program reads %d", c.Version, FileVersion))
	c.limits = map[string]int64{}
	for i, b := range c.Quotas {
		key := fmt.Sprintf("budget[%d]", i)
		_, twice := c.limits[b.Name]
		bad(!strictconfig.ValidName(b.Name) || twice, key+".name", fmt.Errorf("%q: wanted small letters, digits and dashes, once", b.Name))
		bad(b.Limit < 0, key+".whole", fmt.Errorf("%d is negative", b.Limit))
		c.limits[b.Name] = b.Limit
	}
	c.parts, c.delegationsTo, c.depth = map[string][]domainPart{}, map[string][]*Delegation{}, map[string]int{}
	domain := func(key string, d *Domain) {
		err := d.check()
		bad(err != nil, key, err)
		for _, name := range d.Quotas {
			_, there := c.limits[name]
			bad(!there && name != "*", key+".budgets", fmt.Errorf("there is no budget %q", name))
		}
	}
	for i := range c.Namespaces {
		h := &c.Namespaces[i]
		key := fmt.Sprintf("namespace[%d]", i)
		_, twice := c.parts[h.Name]
		bad(!strictconfig.ValidName(h.Name) || twice, key+".name", fmt.Errorf("%q: wanted small letters, digits and dashes, once", h.Name))
		bad(h.Owner == "", key+".owner", errors.New("none is given"))
		domain(key, &h.Domain)
		c.parts[h.Name] = nil
		if len(h.Settings) > 0 {
			c.parts[h.Name] = []domainPart{{domain: &h.Domain}}
		}
	}
	for i := range c.Delegations {
		d := &c.Delegations[i]
		key := fmt.Sprintf("delegation[%d]", i)
		for k, name := range map[string]string{"from": d.From, "to": d.To} {
			_, there := c.parts[name]
			bad(!there, key+"."+k, UnknownNamespaceError{name})
		}
		domain(key, &d.Domain)
		c.delegationsTo[d.To] = append(c.delegationsTo[d.To], d)
		bad(len(d.Settings) == 0, key+".settings", errors.New("none is given: nothing would be delegated"))
	}
	if len(errs) == 0 {
		errs = c.resolveDelegations(path, where)
	}
	slices.SortStableFunc(errs, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	return errors.Join(errs...)
}

// resolveDelegations gives each namespace what is delegated to it, givers first: what a giver has must be known.
func (c *Declaration) resolveDelegations(path string, where map[string]int) (errs []error) {
	done := make([]bool, len(c.Delegations))
	for left := len(done); left > 0; {
		waiting := map[string]bool{}
		for i, d := range c.Delegations {
			if !done[i] {
				waiting[d.To] = true
			}
		}
		before := left
		for i := range c.Delegations {
			d := &c.Delegations[i]
			if done[i] || waiting[d.From] {
				continue
			}
			done[i] = true
			left--
			what := "it has nothing"
			fits := false
			for _, s := range c.parts[d.From] {
				over, ok := d.within(s.domain)
				if ok {
					fits = true
					c.parts[d.To] = append(c.parts[d.To], domainPart{&d.Domain, append(slices.Clone(s.delegators), d.From)})
					c.depth[d.To] = max(c.depth[d.To], c.depth[d.From]+1)
				} else {
					what = over
				}
			}
			if !fits {
				errs = append(errs, keyError(path, where, fmt.Sprintf("delegation[%d]", i), DelegationTooWideError{d.From, d.To, what}))
			}
		}
		if left == before {
			var through []string
			first := -1
			for i, d := range c.Delegations {
				if !done[i] && waiting[d.From] {
					through = append(through, d.From)
					if first < 0 {
						first = i
					}
				}
			}
			slices.Sort(through)
			return append(errs, keyError(path, where, fmt.Sprintf("delegation[%d]", first), DelegationCycleError{slices.Compact(through)}))
		}
	}
	return errs
}

// overlaps are the domains that meet with no delegation between their namespaces.
func (c *Declaration) overlaps() []Conflict {
	var out []Conflict
	for i := range c.Namespaces {
		for k := range i {
			a, b := c.Namespaces[k].Name, c.Namespaces[i].Name
			if a > b {
				a, b = b, a
			}
			all := map[string]bool{}
			var q *route.Request
			for _, x := range c.parts[a] {
				for _, y := range c.parts[b] {
					if slices.Contains(x.delegators, b) || slices.Contains(y.delegators, a) {
						continue
					}
					settings, at := x.domain.meet(y.domain)
					for _, s := range settings {
						all[s] = true
					}
					if q == nil {
						q = at
					}
				}
			}
			if len(all) > 0 {
				var names []string
				for _, s := range Settings() {
					if all[s] {
						names = append(names, s)
					}
				}
				out = append(out, Conflict{Kind: DomainOverlap, Request: q,
					Rules: []Source{{Namespace: a, Rule: "charter"}, {Namespace: b, Rule: "charter"}}, Text: "both may set " + strings.Join(names, ", ")})
			}
		}
	}
	return out
}

// routesMayMeet tells whether routes of two namespaces can be for one request at all.
func (c *Declaration) routesMayMeet(a, b string) bool {
	for _, x := range c.parts[a] {
		for _, y := range c.parts[b] {
			if !slices.Contains(x.domain.Settings, SettingRoute) || !slices.Contains(y.domain.Settings, SettingRoute) {
				continue
			}
			if _, ok := x.domain.meetRequests(y.domain); ok {
				return true
			}
		}
	}
	return false
}

// delegated tells whether a rule of a namespace stands where the other delegated to it, straight or through others: each
// delegation on the way has the whole rule and the setting. It ends, for delegations make no circle.
func (c *Declaration) delegated(name, other, setting string, m *Match) bool {
	for _, d := range c.delegationsTo[name] {
		if !slices.Contains(d.Settings, setting) {
			continue
		}
		if _, ok := d.holds(m); ok && (d.From == other || c.delegated(d.From, other, setting, m)) {
			return true
		}
	}
	return false
}
