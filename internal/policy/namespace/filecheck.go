package namespace

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"lapisspread/internal/route"
)

// fileChecker makes the checks of a file that need no declaration, and sorts the lists in which order has no meaning.
// In the texts of its errors, which must not change, "N are the most" means that N is the maximum, and "is there twice"
// that another rule of the file has the same kind and name.
type fileChecker struct {
	*File
	errs *keyErrors
}

// check checks the file, sorts its lists and sets ruleTexts and ruleKeys. It returns all errors, joined.
func (f *File) check() error {
	c := fileChecker{f, &keyErrors{path: f.path, lines: f.lines}}
	c.errs.addIf(f.Version != FileVersion, "version", "%d; this program reads %d", f.Version, FileVersion)
	c.errs.checkName("namespace", f.Name)
	c.errs.addIf(f.Number == 0, "number", "left out or 0")
	if total := f.Rules(); total > maxRules {
		c.errs.addIf(true, "", "%d rules; %d are the most", total, maxRules)
		return errors.Join(c.errs.list...)
	}
	f.ruleTexts = map[string]string{}
	f.ruleKeys = map[string]string{}
	c.checkServices()
	c.checkRoutes()
	c.checkClasses()
	c.checkQuotas()
	c.checkBlocks()
	c.checkOverrides()
	c.checkStalenessBounds()
	c.errs.addIf(f.countCombinations() > maxCombinations, "route",
		"they come to %d combinations of methods, classes and tenants; %d are the most",
		f.countCombinations(), maxCombinations)
	if len(c.errs.list) == 0 {
		c.checkContradictions()
	}
	return errors.Join(c.errs.list...)
}

// addRule adds a rule to ruleTexts and ruleKeys. The rule must be normalized already, because its text is compared with
// that of other versions.
func (c *fileChecker) addRule(key, id string, rule any) {
	text, err := json.Marshal(rule)
	if err != nil {
		c.errs.add(key, err)
	}
	_, duplicate := c.ruleTexts[id]
	c.errs.addIf(duplicate, key, "%s is there twice", id)
	c.ruleTexts[id] = string(text)
	c.ruleKeys[id] = key
}

func (c *fileChecker) checkStalenessLevel(key, level string) {
	c.errs.addIf(!slices.Contains(StalenessLevels(), level), key+".bears",
		"%q is none of %s", level, strings.Join(StalenessLevels(), ", "))
}

func (c *fileChecker) checkMatch(key string, m *Match) {
	if err := m.validate(); err != nil {
		c.errs.add(key, err)
	}
	for _, list := range m.lists() {
		slices.Sort(list)
	}
}

func (c *fileChecker) checkServices() {
	for i := range c.Services {
		s := &c.Services[i]
		key := fmt.Sprintf("service[%d]", i)
		c.errs.checkName(key+".name", s.Name)
		c.errs.addIf(s.Discovery != "" && !strings.Contains(s.Discovery, ":"), key+".discovery",
			"%q is no host:port", s.Discovery)
		c.errs.addIf(!slices.Contains([]string{"", "http", "diameter"}, s.Upstream), key+".upstream",
			"%q is neither http nor diameter", s.Upstream)
		slices.Sort(s.Kinds)
		slices.Sort(s.Cells)
		c.addRule(key, s.id(), s)
	}
}

func (c *fileChecker) checkRoutes() {
	for i := range c.Routes {
		r := &c.Routes[i]
		key := fmt.Sprintf("route[%d]", i)
		c.errs.checkName(key+".name", r.Name)
		c.checkMatch(key, &r.Match)
		c.errs.addIf(!slices.Contains([]string{"", "key", "tenant", "request"}, r.Sticky), key+".sticky",
			"%q is none of key, tenant, request", r.Sticky)
		if r.MaxStaleness != "" {
			c.checkStalenessLevel(key, r.MaxStaleness)
		}
		r.normalizeTargets()
		_, err := route.Compile([]route.Rule{(&Match{}).rule("", r.targets())}, "")
		c.errs.addIf(err != nil, key+".to", "no service, one twice, or weights that are negative or all 0")
		c.addRule(key, r.id(), r)
	}
}

// normalizeTargets sets the weight 1 where none is given, and sorts the targets by service.
func (r *Route) normalizeTargets() {
	for i := range r.To {
		if r.To[i].Weight == nil {
			weight := 1.0
			r.To[i].Weight = &weight
		}
	}
	slices.SortFunc(r.To, func(a, b Target) int { return strings.Compare(a.Service, b.Service) })
}

func (c *fileChecker) checkClasses() {
	for i := range c.Classes {
		class := &c.Classes[i]
		key := fmt.Sprintf("class[%d]", i)
		c.errs.addIf(class.Name == "", key+".name", "none is given")
		objective := time.Duration(class.LatencyObjective)
		deadline := time.Duration(class.Deadline)
		c.errs.addIf(objective < 0 || deadline < 0 || deadline > 0 && deadline < objective, key+".aim",
			"aim %v and give_up %v: wanted 0 < aim <= give_up", objective, deadline)
		c.errs.addIf(!slices.Contains([]string{"", effectSafe, effectUnsafe}, class.Effect), key+".effect",
			"%q is neither safe nor unsafe", class.Effect)
		weight := class.PriorityWeight
		c.errs.addIf(weight != nil && (!(*weight >= 0) || math.IsInf(*weight, 0)), key+".worth", "out of range")
		late := class.LateFraction
		c.errs.addIf(late != nil && !(*late >= 0 && *late <= 1), key+".late", "not within 0 and 1")
		c.addRule(key, class.id(), class)
	}
}

func (c *fileChecker) checkQuotas() {
	for i := range c.Quotas {
		s := &c.Quotas[i]
		key := fmt.Sprintf("budget[%d]", i)
		if s.Namespace == c.Name {
			s.Namespace = ""
		}
		c.errs.addIf(s.Min < 0 || s.Cap < 0 || s.Cap > 0 && s.Cap < s.Min, key+".min",
			"min %d and cap %d: wanted 0 <= min <= cap", s.Min, s.Cap)
		c.errs.addIf(!(s.Weight >= 0) || math.IsInf(s.Weight, 0), key+".weight", "%v", s.Weight)
		c.errs.addIf(s.Namespace != "" && (s.Min != 0 || s.Weight != 0), key+".for",
			"for another namespace only a cap may be set")
		c.addRule(key, s.id(), s)
	}
}

func (c *fileChecker) checkBlocks() {
	for i := range c.Blocks {
		b := &c.Blocks[i]
		key := fmt.Sprintf("block[%d]", i)
		c.errs.checkName(key+".name", b.Name)
		c.checkMatch(key, &b.Match)
		c.addRule(key, b.id(), b)
	}
}

func (c *fileChecker) checkOverrides() {
	for i := range c.Overrides {
		o := &c.Overrides[i]
		key := fmt.Sprintf("order[%d]", i)
		c.errs.checkName(key+".name", o.Name)
		c.errs.addIf(o.Server == "" || o.Zone == "", key+".server", "server or zone is not given")
		c.errs.addIf(o.Action != actionDetach && o.Action != actionAttach, key+".do",
			"%q is neither detach nor attach", o.Action)
		// A time without an offset would depend on the machine's time zone, so that the policy's hash would, too.
		c.errs.addIf(o.From.Location() == time.Local || o.Until.Location() == time.Local, key+".from",
			"a time needs its offset, as 2026-12-01T06:00:00Z")
		o.From = o.From.UTC()
		o.Until = o.Until.UTC()
		c.errs.addIf(!o.Until.IsZero() && !o.From.Before(o.Until), key+".until", "it is not after from")
		c.addRule(key, o.id(), o)
	}
}

func (c *fileChecker) checkStalenessBounds() {
	for i := range c.StalenessBounds {
		b := &c.StalenessBounds[i]
		key := fmt.Sprintf("staleness[%d]", i)
		if !strings.Contains(b.Route, "/") {
			b.Route = c.Name + "/" + b.Route
		}
		c.checkStalenessLevel(key, b.MaxLevel)
		c.addRule(key, b.id(), b)
	}
}

// checkContradictions finds routes of equal precedence and overrides that contradict each other within the file.
func (c *fileChecker) checkContradictions() {
	rules := make([]route.Rule, len(c.Routes))
	for i := range c.Routes {
		rules[i] = c.Routes[i].rule(c.Routes[i].Name, c.Routes[i].targets())
	}
	if _, err := route.Compile(rules, ""); err != nil {
		// The first invalid route is the last one of the shortest prefix of the list that does not compile.
		firstInvalid := sort.Search(len(rules), func(i int) bool {
			_, err := route.Compile(rules[:i+1], "")
			return err != nil
		})
		_, message, _ := strings.Cut(err.Error(), ": ")
		message, _, _ = strings.Cut(message, "\n")
		c.errs.add(fmt.Sprintf("route[%d]", firstInvalid), errors.New(message))
	}
	for i := range c.Overrides {
		for j := range i {
			if _, ok := c.Overrides[i].contradicts(&c.Overrides[j]); ok {
				c.errs.addIf(true, fmt.Sprintf("order[%d]", i), "contradicts order[%d] %q", j, c.Overrides[j].Name)
			}
		}
	}
}
