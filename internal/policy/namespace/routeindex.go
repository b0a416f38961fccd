package namespace

import (
	"slices"
	"strings"
)

// routeIndex finds matches by host pattern, then by path. The caller identifies each match by a number.
type routeIndex map[string]*pathTree

// add adds a match under a number.
func (x routeIndex) add(m *Match, id int) { getOrCreate(x, m.Host).add(m, id) }

// routeIndexFor returns the index of a file's routes, identified by their positions in File.Routes. It caches the
// index.
func (f *finder) routeIndexFor(file *File) routeIndex {
	index, ok := f.indexes[file]
	if !ok {
		index = routeIndex{}
		for i := range file.Routes {
			index.add(&file.Routes[i].Match, i)
		}
		f.indexes[file] = index
	}
	return index
}

// eachOuterHost calls f for a host pattern and for each pattern that contains it, the narrowest first.
func eachOuterHost(host string, f func(string)) {
	f(host)
	rest := strings.TrimPrefix(host, "*.")
	for {
		_, parent, ok := strings.Cut(rest, ".")
		if !ok {
			break
		}
		f("*." + parent)
		rest = parent
	}
	if host != "" {
		f("")
	}
}

// pathTree is a tree of path segments. It finds the matches whose path patterns contain a given one or are within it.
type pathTree struct {
	children   map[string]*pathTree // child nodes, by path segment
	childNames []string             // keys of children, sorted
	exact      matchBucket          // matches for exactly this path
	prefix     matchBucket          // matches for this path as a prefix
}

// eachSegment calls f with each segment of a path until f returns false. It returns true if f never returned false.
func (p pathPattern) eachSegment(f func(string) bool) bool {
	if p.isAny() {
		return true
	}
	for segment := range strings.SplitSeq(p.path[1:], "/") {
		if !f(segment) {
			return false
		}
	}
	return true
}

// add adds a match under a number.
func (t *pathTree) add(m *Match, id int) {
	pattern := m.pathPattern()
	pattern.eachSegment(func(segment string) bool {
		if t.children == nil {
			t.children = map[string]*pathTree{}
		}
		if t.children[segment] == nil {
			i, _ := slices.BinarySearch(t.childNames, segment)
			t.childNames = slices.Insert(t.childNames, i, segment)
		}
		t = getOrCreate(t.children, segment)
		return true
	})
	if pattern.exact {
		t.exact.add(m, id)
	} else {
		t.prefix.add(m, id)
	}
}

// eachIntersecting calls f for the matches whose paths intersect those of m and whose lists may intersect those of m,
// until f returns false. It may call f twice for the same match.
func (t *pathTree) eachIntersecting(m *Match, f func(int) bool) {
	node := t.descend(m, f)
	if node == nil {
		return
	}
	if m.pathPattern().exact {
		_ = node.prefix.each(m, f) && node.exact.each(m, f)
		return
	}
	node.eachBelow(m, f)
}

// eachContaining is like eachIntersecting, but only for the matches whose paths contain all paths of m.
func (t *pathTree) eachContaining(m *Match, f func(int) bool) {
	node := t.descend(m, f)
	if node == nil {
		return
	}
	_ = node.prefix.each(m, f) && m.pathPattern().exact && node.exact.each(m, f)
}

// descend calls f for the matches with a shorter prefix that contains all paths of m, and returns the node of m's path.
// It returns nil if there is no such node or if f returned false.
func (t *pathTree) descend(m *Match, f func(int) bool) *pathTree {
	node := t
	m.pathPattern().eachSegment(func(segment string) bool {
		if !node.prefix.each(m, f) {
			node = nil
			return false
		}
		node = node.children[segment]
		return node != nil
	})
	return node
}

// eachBelow calls f for all matches of a subtree that may intersect m, until f returns false. It returns true if f
// never returned false.
func (t *pathTree) eachBelow(m *Match, f func(int) bool) bool {
	if !t.prefix.each(m, f) || !t.exact.each(m, f) {
		return false
	}
	for _, name := range t.childNames {
		if !t.children[name].eachBelow(m, f) {
			return false
		}
	}
	return true
}

// matchBucket holds the matches with the same host and path patterns. Matches that list tenants are found by tenant,
// and others that list classes by class. This keeps searches fast when many teams have rules for the same path that
// differ only in their tenants.
type matchBucket struct {
	unlisted []int     // matches that list neither tenants nor classes
	byTenant listIndex // matches that list tenants
	byClass  listIndex // matches that list classes but no tenants
}

// listIndex finds matches by the values that they list.
type listIndex struct {
	byValue map[string][]int // numbers of the matches that list a value
	all     []int            // numbers of all matches
}

// add adds a match under a number.
func (b *matchBucket) add(m *Match, id int) {
	switch {
	case len(m.Tenants) > 0:
		b.byTenant.add(m.Tenants, id)
	case len(m.Classes) > 0:
		b.byClass.add(m.Classes, id)
	default:
		b.unlisted = append(b.unlisted, id)
	}
}

// each calls f for all matches that may intersect m, for some of them twice, until f returns false. It returns true if
// f never returned false.
func (b *matchBucket) each(m *Match, f func(int) bool) bool {
	return eachID(b.unlisted, f) && b.byTenant.each(m.Tenants, f) && b.byClass.each(m.Classes, f)
}

// add adds a match that lists the values.
func (x *listIndex) add(values []string, id int) {
	if x.byValue == nil {
		x.byValue = map[string][]int{}
	}
	for _, v := range values {
		x.byValue[v] = append(x.byValue[v], id)
	}
	x.all = append(x.all, id)
}

// each calls f for the matches that list at least one of the values, or for all matches if there are no values, until f
// returns false. It returns true if f never returned false.
func (x *listIndex) each(values []string, f func(int) bool) bool {
	if len(values) == 0 {
		return eachID(x.all, f)
	}
	for _, v := range values {
		if !eachID(x.byValue[v], f) {
			return false
		}
	}
	return true
}

// eachID calls f with each number until f returns false. It returns true if f never returned false.
func eachID(ids []int, f func(int) bool) bool {
	for _, id := range ids {
		if !f(id) {
			return false
		}
	}
	return true
}
