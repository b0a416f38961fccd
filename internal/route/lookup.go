package route

import (
	"slices"
	"strings"
)

// Verdict is the result of a lookup.
type Verdict uint8

// The verdicts, each but Found with the HTTP status code of the response in parentheses (RFC 9110, section 15.5).
const (
	Found         Verdict = iota // a rule matches, or there is a fallback
	NoRoute                      // no rule matches (404)
	UnknownHost                  // no rule matches the host (421)
	AmbiguousPath                // the path can be interpreted in two ways; see UnambiguousPath (400)
)

// String returns the verdict as text for operators and for error responses.
func (v Verdict) String() string {
	return [...]string{"found", "no route", "no rule is for that host", "a path that may be read in two ways"}[v]
}

// Lookup returns the rule for a request, which may be the fallback; it is nil unless the verdict is Found. It allocates
// nothing.
func (t *Table) Lookup(q *Request) (*Rule, Verdict) {
	if !UnambiguousPath(q.Path) {
		return nil, AmbiguousPath
	}
	var buffer hostBuffer
	host := normalizeHost(&buffer, q.Host)
	knownHost := false
	if h := t.hosts.getBytes(host); h != nil {
		knownHost = true
		if r := h.find(q); r != nil {
			return r, Found
		}
	}
	if t.suffixes.count > 0 {
		for rest := host; ; {
			dot := slices.Index(rest, '.')
			if dot < 0 {
				break
			}
			rest = rest[dot+1:]
			if h := t.suffixes.getBytes(rest); h != nil {
				knownHost = true
				if r := h.find(q); r != nil {
					return r, Found
				}
			}
		}
	}
	if r := t.anyHost.find(q); r != nil {
		return r, Found
	}
	if t.fallback != nil {
		return t.fallback, Found
	}
	if !knownHost && t.anyHost.isEmpty() {
		return nil, UnknownHost
	}
	return nil, NoRoute
}

// find returns the host's matching rule of the highest precedence: it tries the exact path, then prefixes from the
// longest to the shortest, then the rules for any path. It returns nil if none matches.
func (h *hostRules) find(q *Request) *Rule {
	if p, _ := h.exact.get(q.Path); p != nil {
		if r := p.find(q); r != nil {
			return r
		}
	}
	if h.prefix.count > 0 {
		for rest := q.Path; rest != ""; {
			if rest != "/" {
				rest = strings.TrimSuffix(rest, "/")
			}
			if p, _ := h.prefix.get(rest); p != nil {
				if r := p.find(q); r != nil {
					return r
				}
			}
			if rest == "/" {
				break
			}
			rest = rest[:strings.LastIndexByte(rest, '/')+1]
		}
	}
	if h.anyPath != nil {
		return h.anyPath.find(q)
	}
	return nil
}

// keyBufferBytes is the maximum length of a joined key for which a lookup allocates no memory.
const keyBufferBytes = 128

// find returns the matching rule of the highest precedence for a host and path; nil if none matches.
func (p *pathRules) find(q *Request) *Rule {
	var buffer [keyBufferBytes]byte
	for i := range p.groups {
		g := &p.groups[i]
		single, joined := g.criteria.key(q.Method, q.Class, q.Tenant, buffer[:0])
		var r *Rule
		if joined != nil {
			r = g.rules.getBytes(joined)
		} else {
			r, _ = g.rules.get(single)
		}
		if r != nil {
			return r
		}
	}
	return nil
}
