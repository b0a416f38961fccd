package route

import (
	"encoding/binary"
	"slices"
)

// hostRules are the rules of one host.
type hostRules struct {
	exact  sharedMap[*pathRules]
	prefix sharedMap[*pathRules]
	any    *pathRules
	madeBy *revision
}

// isEmpty reports whether a host has no rules.
func (h *hostRules) isEmpty() bool { return h.any == nil && h.exact.count == 0 && h.prefix.count == 0 }

// ownedBy returns rules that a revision may change: these, or a copy.
func (h *hostRules) ownedBy(rev *revision) *hostRules {
	switch {
	case h == nil:
		return &hostRules{madeBy: rev}
	case h.madeBy == rev:
		return h
	}
	return &hostRules{exact: h.exact.share(), prefix: h.prefix.share(), any: h.any, madeBy: rev}
}

// pathRules are the rules of one host and path, grouped by their other criteria in the order of precedence.
type pathRules struct {
	groups []ruleGroup
	madeBy *revision
}

// ruleGroup is the rules with the same criteria, by criteria.key.
type ruleGroup struct {
	criteria criteria
	rules    sharedMap[*Rule]
}

// ownedBy returns rules that a revision may change: these, or a copy.
func (p *pathRules) ownedBy(rev *revision) *pathRules {
	switch {
	case p == nil:
		return &pathRules{madeBy: rev}
	case p.madeBy == rev:
		return p
	}
	next := &pathRules{groups: make([]ruleGroup, len(p.groups)), madeBy: rev}
	for i := range p.groups {
		g := &p.groups[i]
		next.groups[i] = ruleGroup{criteria: g.criteria, rules: g.rules.share()}
	}
	return next
}

// groupIndex returns the index of the group with some criteria, or where it belongs.
func (p *pathRules) groupIndex(c criteria) (index int, found bool) {
	return slices.BinarySearchFunc(p.groups, c, func(g ruleGroup, c criteria) int {
		return int(c) - int(g.criteria)
	})
}

// criteria are what a rule matches beside host and path. The greater value has precedence.
type criteria uint8

const (
	byMethod criteria = 1 << iota
	byClass
	byTenant
)

// criteria returns what a rule matches beside host and path.
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

// key returns the key of a group's rules for some values. Of one criterion it is the value itself, as single. Of
// several it is all values, each but the last after its length; these are appended to buffer and returned as joined.
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

// eachKey calls visit with the key of each combination of values that a rule matches, until visit returns false.
func (r *Rule) eachKey(visit func(key string) bool) {
	c := r.criteria()
	var buffer []byte
	for _, method := range orEmpty(r.Methods) {
		for _, class := range orEmpty(r.Classes) {
			for _, tenant := range orEmpty(r.Tenants) {
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

// orEmpty returns one empty value for a criterion that a rule does not have.
func orEmpty(values []string) []string {
	if len(values) == 0 {
		return []string{""}
	}
	return values
}

// hostMap returns the map that a rule's host is in, and its key; nil for a rule of any host.
func (t *Table) hostMap(r *Rule) (hosts *sharedMap[*hostRules], key string) {
	if suffix, ok := r.hostSuffix(); ok {
		return &t.suffixes, suffix
	}
	if r.Host == "" {
		return nil, ""
	}
	return &t.hosts, r.Host
}

// pathMap returns the map that a rule's path is in, and its key; nil for a rule of any path.
func (h *hostRules) pathMap(r *Rule) (paths *sharedMap[*pathRules], key string) {
	switch {
	case r.Path != "":
		return &h.exact, r.Path
	case r.PathPrefix != "":
		return &h.prefix, r.PathPrefix
	}
	return nil, ""
}

// pathRulesOf returns the rules of a rule's host and path, for a revision to change.
func (t *Table) pathRulesOf(rev *revision, r *Rule) *pathRules {
	h := t.hostRulesOf(rev, r)
	paths, key := h.pathMap(r)
	if paths == nil {
		h.any = h.any.ownedBy(rev)
		return h.any
	}
	existing, _ := paths.get(key)
	owned := existing.ownedBy(rev)
	if owned != existing {
		paths.set(rev, key, owned)
	}
	return owned
}

// hostRulesOf returns the rules of a rule's host, for a revision to change.
func (t *Table) hostRulesOf(rev *revision, r *Rule) *hostRules {
	hosts, key := t.hostMap(r)
	if hosts == nil {
		t.any = t.any.ownedBy(rev)
		return t.any
	}
	existing, _ := hosts.get(key)
	owned := existing.ownedBy(rev)
	if owned != existing {
		hosts.set(rev, key, owned)
	}
	return owned
}

// add puts a rule into the index. It returns a rule that it ties with, or nil.
func (t *Table) add(rev *revision, r *Rule) (tie *Rule) {
	p := t.pathRulesOf(rev, r)
	c := r.criteria()
	i, found := p.groupIndex(c)
	if !found {
		p.groups = slices.Insert(p.groups, i, ruleGroup{criteria: c})
	}
	rules := &p.groups[i].rules
	r.eachKey(func(key string) bool {
		if tie, _ = rules.get(key); tie == nil {
			rules.set(rev, key, r)
		}
		return tie == nil
	})
	return tie
}

// remove takes a rule out of the index, and all levels that are empty without it. The rule must be in the index.
func (t *Table) remove(rev *revision, r *Rule) {
	p := t.pathRulesOf(rev, r)
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
	h := t.hostRulesOf(rev, r)
	if paths, key := h.pathMap(r); paths != nil {
		paths.remove(rev, key)
	} else {
		h.any = nil
	}
	if hosts, key := t.hostMap(r); hosts != nil && h.isEmpty() {
		hosts.remove(rev, key)
	}
}
