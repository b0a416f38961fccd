package route

import (
	"encoding/binary"
	"slices"
)

// hostRules are the rules of one host, or of one host suffix, by path.
type hostRules struct {
	exact     sharedMap[*pathRules] // by path
	prefix    sharedMap[*pathRules] // by path prefix
	anyPath   *pathRules            // nil if there are none
	createdBy *revision
}

// isEmpty reports whether there are no rules for the host.
func (h *hostRules) isEmpty() bool {
	return h.anyPath == nil && h.exact.count == 0 && h.prefix.count == 0
}

// writableIn returns host rules that the revision may change: h itself if the revision created it, else a copy. A nil h
// counts as empty.
func (h *hostRules) writableIn(rev *revision) *hostRules {
	switch {
	case h == nil:
		return &hostRules{createdBy: rev}
	case h.createdBy == rev:
		return h
	}
	return &hostRules{exact: h.exact.shallowCopy(), prefix: h.prefix.shallowCopy(), anyPath: h.anyPath, createdBy: rev}
}

// pathRules are the rules of one host and path, grouped by their other criteria in the order of precedence.
type pathRules struct {
	groups    []ruleGroup
	createdBy *revision
}

// ruleGroup holds the rules that have the same criteria, by the keys that criteria.key returns.
type ruleGroup struct {
	criteria criteria
	rules    sharedMap[*Rule]
}

// writableIn returns path rules that the revision may change: p itself if the revision created it, else a copy. A nil p
// counts as empty.
func (p *pathRules) writableIn(rev *revision) *pathRules {
	switch {
	case p == nil:
		return &pathRules{createdBy: rev}
	case p.createdBy == rev:
		return p
	}
	next := &pathRules{groups: make([]ruleGroup, len(p.groups)), createdBy: rev}
	for i := range p.groups {
		g := &p.groups[i]
		next.groups[i] = ruleGroup{criteria: g.criteria, rules: g.rules.shallowCopy()}
	}
	return next
}

// groupIndex returns the index of the group with the given criteria or, if there is none, the index at which to insert
// it.
func (p *pathRules) groupIndex(c criteria) (index int, found bool) {
	return slices.BinarySearchFunc(p.groups, c, func(g ruleGroup, c criteria) int {
		return int(c) - int(g.criteria)
	})
}

// criteria is the set of properties that a rule matches besides host and path. The greater value has precedence.
type criteria uint8

const (
	byMethod criteria = 1 << iota
	byClass
	byTenant
)

// criteria returns the set of properties that a rule matches besides host and path.
func (r *Rule) criteria() criteria {
	var c criteria
	if len(r.Methods) > 0 {
		c |= byMethod
	}
	if len(r.Classes) > 0 {
		c |= byClass
	}
	if len(r.Tenants) > 0 {
		c |= byTenant
	}
	return c
}

// key returns the key of a rule in its ruleGroup for the given values. For no criterion or one, the key is the empty
// string or the value itself, and is returned as single. For several criteria, the key is the concatenation of their
// values, each preceded by its length except the tenant; it is appended to buffer and returned as joined.
func (c criteria) key(method, class, tenant string, buffer []byte) (single string, joined []byte) {
	switch c {
	case 0:
		return "", nil
	case byMethod:
		return method, nil
	case byClass:
		return class, nil
	case byTenant:
		return tenant, nil
	}
	if c&byMethod != 0 {
		buffer = append(binary.AppendUvarint(buffer, uint64(len(method))), method...)
	}
	if c&byClass != 0 {
		buffer = append(binary.AppendUvarint(buffer, uint64(len(class))), class...)
	}
	if c&byTenant != 0 {
		buffer = append(buffer, tenant...)
	}
	return "", buffer
}

// eachKey calls visit with the key of each combination of methods, classes and tenants of a rule, until visit returns
// false.
func (r *Rule) eachKey(visit func(key string) bool) {
	c := r.criteria()
	var buffer []byte
	for _, method := range valuesOrEmpty(r.Methods) {
		for _, class := range valuesOrEmpty(r.Classes) {
			for _, tenant := range valuesOrEmpty(r.Tenants) {
				key, joined := c.key(method, class, tenant, buffer[:0])
				if joined != nil {
					key = string(joined)
					buffer = joined
				}
				if !visit(key) {
					return
				}
			}
		}
	}
}

// valuesOrEmpty returns the values of a criterion, or one empty value if the rule does not have the criterion.
func valuesOrEmpty(values []string) []string {
	if len(values) == 0 {
		return []string{""}
	}
	return values
}

// hostMap returns the map for a rule's host, and the key in it; hosts is nil if the rule matches any host.
func (t *Table) hostMap(r *Rule) (hosts *sharedMap[*hostRules], key string) {
	if suffix, ok := r.hostSuffix(); ok {
		return &t.suffixes, suffix
	}
	if r.Host == "" {
		return nil, ""
	}
	return &t.hosts, r.Host
}

// pathMap returns the map for a rule's path, and the key in it; paths is nil if the rule matches any path.
func (h *hostRules) pathMap(r *Rule) (paths *sharedMap[*pathRules], key string) {
	switch {
	case r.Path != "":
		return &h.exact, r.Path
	case r.PathPrefix != "":
		return &h.prefix, r.PathPrefix
	}
	return nil, ""
}

// writablePathRules returns the path rules for a rule's host and path, which the revision may change. It creates them
// if there are none.
func (t *Table) writablePathRules(rev *revision, r *Rule) *pathRules {
	h := t.writableHostRules(rev, r)
	paths, key := h.pathMap(r)
	if paths == nil {
		h.anyPath = h.anyPath.writableIn(rev)
		return h.anyPath
	}
	existing, _ := paths.get(key)
	writable := existing.writableIn(rev)
	if writable != existing {
		paths.set(rev, key, writable)
	}
	return writable
}

// writableHostRules returns the host rules for a rule's host, which the revision may change. It creates them if there
// are none.
func (t *Table) writableHostRules(rev *revision, r *Rule) *hostRules {
	hosts, key := t.hostMap(r)
	if hosts == nil {
		t.anyHost = t.anyHost.writableIn(rev)
		return t.anyHost
	}
	existing, _ := hosts.get(key)
	writable := existing.writableIn(rev)
	if writable != existing {
		hosts.set(rev, key, writable)
	}
	return writable
}

// add adds a rule to the index and returns nil. If an existing rule has the same precedence and one request can match
// both, it returns the existing rule, and the index may have only some of the entries of the added rule.
func (t *Table) add(rev *revision, r *Rule) (conflict *Rule) {
	p := t.writablePathRules(rev, r)
	c := r.criteria()
	i, found := p.groupIndex(c)
	if !found {
		p.groups = slices.Insert(p.groups, i, ruleGroup{criteria: c})
	}
	rules := &p.groups[i].rules
	r.eachKey(func(key string) bool {
		if conflict, _ = rules.get(key); conflict == nil {
			rules.set(rev, key, r)
		}
		return conflict == nil
	})
	return conflict
}

// remove removes a rule from the index, and then each level that is empty. The rule must be in the index.
func (t *Table) remove(rev *revision, r *Rule) {
	p := t.writablePathRules(rev, r)
	i, _ := p.groupIndex(r.criteria())
	rules := &p.groups[i].rules
	r.eachKey(func(key string) bool {
		rules.remove(rev, key)
		return true
	})
	if rules.count > 0 {
		return
	}
	p.groups = slices.Delete(p.groups, i, i+1)
	if len(p.groups) > 0 {
		return
	}
	h := t.writableHostRules(rev, r)
	if paths, key := h.pathMap(r); paths != nil {
		paths.remove(rev, key)
	} else {
		h.anyPath = nil
	}
	if hosts, key := t.hostMap(r); hosts != nil && h.isEmpty() {
		hosts.remove(rev, key)
	}
}
