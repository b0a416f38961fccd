package namespace

import (
	"slices"
	"strings"
)

// routeIndex finds matches by host pattern, then by path. Matches are named by numbers.
type routeIndex map[string]*pathTree

func (x routeIndex) add(m *Match, id int) { getOrCreate(x, m.Host).add(m, id) }

// routeIndexFor returns the index of a file's routes, named by their places in the file.
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

// eachOuterHost calls f for a host pattern and for each that contains it.
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

// pathTree is a tree of path segments: it finds the patterns that contain a path pattern and those within it.
type pathTree struct {
	children   map[string]*pathTree
	childNames []string // of children, sorted
	exact      matchBucket
	prefix     matchBucket
}

// eachSegment calls f with each segment of a path until it returns false. It reports whether f never did.
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

// eachIntersecting calls f for the matches whose paths intersect those of m, and that may intersect it otherwise, until
// f returns false. It may call f twice for one match.
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

// eachContaining is like eachIntersecting, but only for the matches whose paths contain all of m's.
func (t *pathTree) eachContaining(m *Match, f func(int) bool) {
	node := t.descend(m, f)
	if node == nil {
		return
	}
	_ = node.prefix.each(m, f) && m.pathPattern().exact && node.exact.each(m, f)
}

// descend calls f for the matches whose paths strictly contain those of m, and returns the node of m's path. It returns
// nil if there is none or if f returned false.
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

// eachBelow calls f for all matches of a subtree that may intersect m.
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

// matchBucket holds matches of one host pattern and path pattern. Those that list tenants, or else classes, are found
// by them: many teams have rules for one path that only their tenants tell apart.
type matchBucket struct {
	unlisted []int // neither tenants nor classes
	byTenant listIndex
	byClass  listIndex
}

// listIndex finds matches by the values that they list.
type listIndex struct {
	byValue map[string][]int
	all     []int
}

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

// each calls f for all matches that may intersect m, some of them twice, until f returns false.
func (b *matchBucket) each(m *Match, f func(int) bool) bool {
	return eachID(b.unlisted, f) && b.byTenant.each(m.Tenants, f) && b.byClass.each(m.Classes, f)
}

func (x *listIndex) add(values []string, id int) {
	if x.byValue == nil {
		x.byValue = map[string][]int{}
	}
	for _, v := range values {
		x.byValue[v] = append(x.byValue[v], id)
	}
	x.all = append(x.all, id)
}

// each calls f for the matches that list some of the values; no values are any.
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

func eachID(ids []int, f func(int) bool) bool {
	for _, id := range ids {
		if !f(id) {
			return false
		}
	}
	return true
}
