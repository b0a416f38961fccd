package namespace

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"lapisspread/internal/policy/merkle"
	"lapisspread/internal/route"
)

// A policy's items. Each rule is one, under its kind and name, as "service payouts"; if its name is of a namespace, that stands first,
// as "dispatch/route r1", so that what teams change together lies together in the tree. The value is its JSON as in the policy's encoding,
// but for the numbers of files: a namespace's number stands once, under "dispatch/number", for a new version of a file changes the
// sources of all its rules, and only the few that say something else shall go to the proxies. "form" is the policy's form.
const (
	formKey   = "form"
	numberKey = "number"
)

// Diff is what a change makes of the rules that requests are led by. What only comes from another version of a file is none.
type Diff struct {
	Routes        []PolicyRoute // new ones, and those that say something else, as they are now
	RemovedRoutes []string      // by name
	BlocksChanged bool          // some block was changed, added or removed
}

// itemKind is one of a policy's lists.
type itemKind interface {
	name() string
	// sources calls f with the source of each value of all rules. It must not change it.
	sources(p *Policy, f func(*Source))
	// items adds the list's items.
	items(p *Policy, add func(key string, v any) error) error
	// with puts a list with changes into next, in place of the one there, which stays as it is.
	with(next *Policy, c *itemChanges, d *Diff) error
}

// itemChanges is what becomes of a policy's items.
type itemChanges struct {
	set     map[string][]merkle.Item // by kind
	removed map[string][]string      // keys, by kind
	files   map[string]fileOrigin    // by namespace, as they are afterwards
	renewed []string                 // namespaces whose number is another than before
	touched map[string]bool          // namespaces of which a rule came or went, or the number
}

// fileOrigin is the file of a namespace that rules come from.
type fileOrigin struct {
	number uint64 // 0 is none
	from   int    // how often it stands as a source
}

// count enters that a namespace stands so often more as a source.
func (c *itemChanges) count(ns string, more int) {
	o := c.files[ns]
	o.from += more
	c.files[ns] = o
	c.touched[ns] = true
}

// list is one of a policy's lists, sorted by what tell gives.
type list[T any] struct {
	kind string
	of   func(*Policy) *[]T
	tell func(*T) string                        // the name, as in the key
	from func(v *T, own bool, f func(*Source))  // calls f with each source; own has v hold copies of them first
	note func(d *Diff, changed *T, gone string) // enters a change; changed is nil for one that is gone
}

func (l *list[T]) name() string { return l.kind }

// key is the key of a rule. A name that would be too long stands by its beginning and its hash.
func (l *list[T]) key(v *T) string {
	name := l.tell(v)
	if len(l.kind)+1+len(name) > merkle.MaxKeyBytes {
		sum := sha256.Sum256([]byte(name))
		return l.kind + " " + name[:64] + "..." + hex.EncodeToString(sum[:])
	}
	if ns, rest, ok := strings.Cut(name, "/"); ok && !strings.Contains(ns, " ") {
		return ns + "/" + l.kind + " " + rest
	}
	return l.kind + " " + name
}

// cutKey gives the kind of an item and its rule's name; of a number, its namespace.
func cutKey(key string) (kind, name string) {
	ns, rest, ok := strings.Cut(key, "/")
	if !ok || strings.Contains(ns, " ") {
		kind, name, _ = strings.Cut(key, " ")
		return kind, name
	}
	if rest == numberKey {
		return numberKey, ns
	}
	kind, name, _ = strings.Cut(rest, " ")
	return kind, ns + "/" + name
}

func numberOf(ns string) string { return ns + "/" + numberKey }

func (l *list[T]) sources(p *Policy, f func(*Source)) {
	all := *l.of(p)
	for i := range all {
		l.from(&all[i], false, f)
	}
}

func (l *list[T]) items(p *Policy, add func(string, any) error) error {
	all := *l.of(p)
	for i := range all {
		if i > 0 && l.tell(&all[i-1]) >= l.tell(&all[i]) {
			return InvalidItemError{l.key(&all[i]), errors.New("it is there twice, or out of order")}
		}
		v := all[i]
		l.from(&v, true, func(s *Source) { s.Number = 0 })
		if err := add(l.key(&v), &v); err != nil {
			return err
		}
	}
	return nil
}

func (l *list[T]) with(next *Policy, c *itemChanges, d *Diff) error {
	old := *l.of(next)
	type change struct {
		name string
		is   *T // nil: gone
	}
	var changes []change
	for _, i := range c.set[l.kind] {
		v := new(T)
		if err := strictJSON(i.Value, v); err != nil {
			return InvalidItemError{i.Key, err}
		}
		if l.key(v) != i.Key {
			return InvalidItemError{i.Key, fmt.Errorf("it holds the rule of %.100q", l.key(v))}
		}
		var err error
		l.from(v, false, func(s *Source) { // what was read is held by nobody else
			n := c.files[s.Namespace].number
			if s.Number != 0 || n == 0 {
				err = InvalidItemError{i.Key, fmt.Errorf("the number of the file of %q stands in the wrong place or nowhere", s.Namespace)}
			}
			s.Number = n
			c.count(s.Namespace, 1)
		})
		if err != nil {
			return err
		}
		changes = append(changes, change{l.tell(v), v})
	}
	for _, key := range c.removed[l.kind] {
		_, name := cutKey(key)
		at, there := slices.BinarySearchFunc(old, name, func(v T, name string) int { return strings.Compare(l.tell(&v), name) })
		if !there { // one with a name that is too long for a key, or none
			if at = slices.IndexFunc(old, func(v T) bool { return l.key(&v) == key }); at < 0 {
				continue
			}
		}
		changes = append(changes, change{name: l.tell(&old[at])})
	}
	slices.SortFunc(changes, func(a, b change) int { return strings.Compare(a.name, b.name) })
	list := old
	if len(changes) > 0 {
		list = make([]T, 0, len(old)+len(changes))
		rest := old
		for i, x := range changes {
			if i > 0 && changes[i-1].name == x.name {
				return InvalidItemError{l.kind + " " + x.name, errors.New("it is there twice")}
			}
			at, there := slices.BinarySearchFunc(rest, x.name, func(v T, name string) int { return strings.Compare(l.tell(&v), name) })
			list, rest = append(list, rest[:at]...), rest[at:]
			if there {
				l.from(&rest[0], false, func(s *Source) { c.count(s.Namespace, -1) })
				rest = rest[1:]
			}
			if x.is != nil {
				list = append(list, *x.is)
			}
			if l.note != nil {
				l.note(d, x.is, x.name)
			}
		}
		if list = append(list, rest...); len(list) == 0 {
			list = nil
		}
	}
	copied, stale := len(changes) > 0, false
	look := func(s *Source) {
		stale = stale || slices.Contains(c.renewed, s.Namespace) && s.Number != c.files[s.Namespace].number
	}
	for i := range list {
		if len(c.renewed) == 0 {
			break
		}
		stale = false
		if l.from(&list[i], false, look); !stale {
			continue
		}
		if !copied {
			list, copied = slices.Clone(list), true
		}
		l.from(&list[i], true, func(s *Source) { s.Number = c.files[s.Namespace].number })
	}
	*l.of(next) = list
	return nil
}

// fromValue goes through the sources of a value.
func fromValue[T comparable](v **Value[T], own bool, f func(*Source)) {
	if *v == nil {
		return
	}
	if own {
		*v = &Value[T]{(*v).Value, slices.Clone((*v).Sources)}
	}
	for i := range (*v).Sources {
		f(&(*v).Sources[i])
	}
}

var itemKinds = []itemKind{
	&list[PolicyService]{kind: "service", of: func(p *Policy) *[]PolicyService { return &p.Services },
		tell: func(v *PolicyService) string { return v.Name },
		from: func(v *PolicyService, own bool, f func(*Source)) {
			if own {
				v.Sources = slices.Clone(v.Sources)
			}
			for i := range v.Sources {
				f(&v.Sources[i])
			}
		}},
	&list[PolicyRoute]{kind: "route", of: func(p *Policy) *[]PolicyRoute { return &p.Routes },
		tell: func(v *PolicyRoute) string { return v.Name },
		from: func(v *PolicyRoute, _ bool, f func(*Source)) { f(&v.Source) },
		note: func(d *Diff, v *PolicyRoute, gone string) {
			if v != nil {
				d.Routes = append(d.Routes, *v)
			} else {
				d.RemovedRoutes = append(d.RemovedRoutes, gone)
			}
		}},
	&list[PolicyClass]{kind: "class", of: func(p *Policy) *[]PolicyClass { return &p.Classes },
		tell: func(v *PolicyClass) string { return v.Name },
		from: func(v *PolicyClass, own bool, f func(*Source)) {
			fromValue(&v.LatencyObjective, own, f)
			fromValue(&v.Deadline, own, f)
			fromValue(&v.Effect, own, f)
			fromValue(&v.PriorityWeight, own, f)
			fromValue(&v.LateFraction, own, f)
		}},
	&list[PolicyShare]{kind: "share", of: func(p *Policy) *[]PolicyShare { return &p.Shares },
		tell: func(v *PolicyShare) string { return v.Quota + " " + v.Namespace },
		from: func(v *PolicyShare, own bool, f func(*Source)) {
			fromValue(&v.Min, own, f)
			fromValue(&v.Cap, own, f)
			fromValue(&v.Weight, own, f)
		}},
	&list[PolicyBlock]{kind: "block", of: func(p *Policy) *[]PolicyBlock { return &p.Blocks },
		tell: func(v *PolicyBlock) string { return v.Name },
		from: func(v *PolicyBlock, _ bool, f func(*Source)) { f(&v.Source) },
		note: func(d *Diff, _ *PolicyBlock, _ string) { d.BlocksChanged = true }},
	&list[PolicyOverride]{kind: "order", of: func(p *Policy) *[]PolicyOverride { return &p.Overrides },
		tell: func(v *PolicyOverride) string { return v.Name },
		from: func(v *PolicyOverride, _ bool, f func(*Source)) { f(&v.Source) }},
	&list[PolicyStalenessBound]{kind: "staleness", of: func(p *Policy) *[]PolicyStalenessBound { return &p.StalenessBounds },
		tell: func(v *PolicyStalenessBound) string { return v.Route },
		from: func(v *PolicyStalenessBound, own bool, f func(*Source)) { fromValue(&v.MaxLevel, own, f) }},
}

// plainJSON gives a value as Encode does.
func plainJSON(v any) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(b.Bytes(), []byte("\n")), nil
}

// strictJSON reads a value that must be written as plainJSON does.
func strictJSON(text []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if again, err := plainJSON(v); err != nil || !bytes.Equal(again, text) {
		return errors.New("it is not in the one encoding that it has")
	}
	return nil
}

// origins are the files that rules come from, by namespace. Nobody changes them.
func (p *Policy) origins() (map[string]fileOrigin, error) {
	if p.files != nil {
		return p.files, nil
	}
	out := map[string]fileOrigin{}
	var err error
	for _, k := range itemKinds {
		k.sources(p, func(s *Source) {
			o := out[s.Namespace]
			if s.Number == 0 || o.from > 0 && o.number != s.Number {
				err = InvalidItemError{numberOf(s.Namespace), fmt.Errorf("its rules come from versions %d and %d of its file", o.number, s.Number)}
			}
			out[s.Namespace] = fileOrigin{s.Number, o.from + 1}
		})
	}
	return out, err
}

// Tree gives the policy's items as pieces; the root names its content. It is an error if a list is out of order or a namespace's
// rules come from two versions of its file, which Merge never gives.
func (p *Policy) Tree() (*merkle.Tree, error) {
	var all []merkle.Item
	add := func(key string, v any) error {
		text, err := plainJSON(v)
		if err != nil {
			return InvalidItemError{key, err}
		}
		all = append(all, merkle.Item{Key: key, Value: text})
		return nil
	}
	if err := add(formKey, p.Format); err != nil {
		return nil, err
	}
	files, err := p.origins()
	if err != nil {
		return nil, err
	}
	for _, ns := range slices.Sorted(maps.Keys(files)) {
		if err := add(numberOf(ns), files[ns].number); err != nil {
			return nil, err
		}
	}
	for _, k := range itemKinds {
		if err := k.items(p, add); err != nil {
			return nil, err
		}
	}
	return merkle.Build(all)
}

// FromTree reads a policy from its items. They must be the very ones that Tree gives, and its routes must compile. Errors are
// WrongItem, and those of package route.
func FromTree(t *merkle.Tree) (*Policy, error) {
	if _, there := t.Get(formKey); !there {
		return nil, InvalidItemError{formKey, errors.New("it is missing")}
	}
	p, _, err := (&Policy{Format: 1}).with(slices.Collect(t.Items()), nil)
	if err != nil {
		return nil, err
	}
	if err := p.compile(); err != nil {
		return nil, err
	}
	return p, nil
}

// With gives the policy with items set and without those removed, as FromTree of the outcome does, and what that makes of the rules
// that lead requests. It costs what changed, and the copying of the lists that do. The policy itself stays as it is.
func (p *Policy) With(set []merkle.Item, removed []string) (*Policy, *Diff, error) {
	next, d, err := p.with(set, removed)
	if err != nil {
		return nil, nil, err
	}
	table, err := p.Table()
	if err != nil {
		return nil, nil, fmt.Errorf("policy: %w", err)
	}
	if len(d.Routes) > 0 || len(d.RemovedRoutes) > 0 {
		rules := make([]route.Rule, len(d.Routes))
		for i := range d.Routes {
			rules[i] = d.Routes[i].rule()
		}
		if table, err = table.WithChanges(rules, d.RemovedRoutes); err != nil {
			return nil, nil, fmt.Errorf("policy: %w", err)
		}
	}
	next.table = table
	return next, d, nil
}

func (p *Policy) with(set []merkle.Item, removed []string) (*Policy, *Diff, error) {
	before, err := p.origins()
	if err != nil {
		return nil, nil, err
	}
	c := itemChanges{set: map[string][]merkle.Item{}, removed: map[string][]string{}, files: maps.Clone(before), touched: map[string]bool{}}
	number := func(ns string, n uint64) {
		o := c.files[ns]
		if o.number != n && o.from > 0 {
			c.renewed = append(c.renewed, ns)
		}
		c.files[ns] = fileOrigin{n, o.from}
		c.touched[ns] = true
	}
	known := map[string]bool{formKey: true, numberKey: true}
	for _, k := range itemKinds {
		known[k.name()] = true
	}
	for _, key := range removed {
		kind, name := cutKey(key)
		switch kind {
		case formKey:
			return nil, nil, InvalidItemError{key, errors.New("it is missing")}
		case numberKey:
			number(name, 0)
		default:
			c.removed[kind] = append(c.removed[kind], key)
		}
	}
	for _, i := range set {
		kind, name := cutKey(i.Key)
		switch {
		case !known[kind] || kind == formKey && i.Key != formKey || kind == numberKey && i.Key != numberOf(name):
			return nil, nil, InvalidItemError{i.Key, errors.New("this program knows no such rule")}
		case kind == formKey:
			if string(i.Value) != strconv.Itoa(p.Format) {
				return nil, nil, InvalidItemError{i.Key, fmt.Errorf("form %.20s; this program reads %d", i.Value, p.Format)}
			}
		case kind == numberKey:
			n, err := strconv.ParseUint(string(i.Value), 10, 64)
			if err != nil || n == 0 || strconv.FormatUint(n, 10) != string(i.Value) {
				return nil, nil, InvalidItemError{i.Key, fmt.Errorf("%.40q is no number of a file", i.Value)}
			}
			number(name, n)
		default:
			c.set[kind] = append(c.set[kind], i)
		}
	}
	next, d := *p, &Diff{}
	next.table, next.files = nil, c.files
	for _, k := range itemKinds {
		if err := k.with(&next, &c, d); err != nil {
			return nil, nil, err
		}
	}
	for _, ns := range slices.Sorted(maps.Keys(c.touched)) {
		switch o := c.files[ns]; {
		case o.number == 0 && o.from == 0:
			delete(c.files, ns)
		case o.number == 0:
			return nil, nil, InvalidItemError{numberOf(ns), errors.New("it is missing, and rules come from the file")}
		case o.from == 0:
			return nil, nil, InvalidItemError{numberOf(ns), errors.New("no rule comes from the file")}
		}
	}
	for i := range d.Routes {
		if err := weighted(&d.Routes[i].Route); err != nil {
			return nil, nil, err
		}
	}
	return &next, d, nil
}

// weighted wants all targets of a route to have their weights.
func weighted(r *Route) error {
	if slices.ContainsFunc(r.To, func(to Target) bool { return to.Weight == nil }) {
		return fmt.Errorf("policy: route %s: a target has no weight", r.Name)
	}
	return nil
}
