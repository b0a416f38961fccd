package namespace

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"lapisspread/internal/strictconfig"
)

// FileVersion is the format version of declarations and policy files that this program reads.
const FileVersion = 1

// declarationRule is Source.Rule of a conflict that comes from the declaration, not from a rule of a file.
const declarationRule = "charter"

// Declaration is the ownership declaration: it says which namespace may set what.
type Declaration struct {
	Version     int                 `toml:"version"` // format version; must be FileVersion
	Quotas      []Quota             `toml:"budget"`
	Namespaces  []DeclaredNamespace `toml:"namespace"`
	Delegations []Delegation        `toml:"delegation"`

	limits        map[string]int64         // limit of each quota, by the quota's name
	parts         map[string][]domainPart  // parts of each namespace's domain: its own one and the delegated ones
	delegationsTo map[string][]*Delegation // delegations to each namespace, by the name of the delegate
	depth         map[string]int           // number of delegations on the longest path from a root to a namespace
}

// Quota is a limited amount that the namespaces share, such as attempts. Its name says the unit of the limit.
type Quota struct {
	Name  string `toml:"name"`
	Limit int64  `toml:"whole"`
}

// DeclaredNamespace is a namespace with its owner and its own domain. If the domain lists no settings, the namespace
// has only what is delegated to it.
type DeclaredNamespace struct {
	Name  string `toml:"name"`
	Owner string `toml:"owner"`
	Domain
}

// Delegation lets namespace To set rules about a part of From's domain. From may still set rules about it, too.
type Delegation struct {
	From string `toml:"from"`
	To   string `toml:"to"`
	Domain
}

// ParseDeclaration parses a declaration in TOML and checks it. Path is only used in errors. It returns one or several
// joined FileErrors, which may wrap a DelegationCycleError, a DelegationTooWideError or an UnknownNamespaceError.
func ParseDeclaration(path string, text []byte) (*Declaration, error) {
	d := &Declaration{}
	if err := decodeFile(path, text, d); err != nil {
		return nil, err
	}
	if err := d.check(path, keyLines(text)); err != nil {
		return nil, err
	}
	return d, nil
}

// check checks a declaration and computes the parts of all domains. Lines has the line of each key; errors
// include it.
func (d *Declaration) check(path string, lines map[string]int) error {
	errs := &keyErrors{path: path, lines: lines}
	errs.addIf(d.Version != FileVersion, "version", "%d; this program reads %d", d.Version, FileVersion)
	d.checkQuotas(errs)
	d.checkNamespaces(errs)
	d.checkDelegations(errs)
	if len(errs.list) == 0 {
		d.resolveDelegations(errs)
	}
	slices.SortStableFunc(errs.list, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	return errors.Join(errs.list...)
}

// checkUniqueName adds an error if a name is invalid or already used.
func (e *keyErrors) checkUniqueName(key, name string, used bool) {
	invalid := !strictconfig.ValidName(name) || used
	// "Once" in the text means that no other entry of the same kind may have the name.
	e.addIf(invalid, key, "%q: wanted small letters, digits and dashes, once", name)
}

// checkQuotas checks the quotas and sets limits.
func (d *Declaration) checkQuotas(errs *keyErrors) {
	d.limits = map[string]int64{}
	for i, quota := range d.Quotas {
		key := fmt.Sprintf("budget[%d]", i)
		_, used := d.limits[quota.Name]
		errs.checkUniqueName(key+".name", quota.Name, used)
		errs.addIf(quota.Limit < 0, key+".whole", "%d is negative", quota.Limit)
		d.limits[quota.Name] = quota.Limit
	}
}

// checkNamespaces checks the namespaces and enters their own domains in parts.
func (d *Declaration) checkNamespaces(errs *keyErrors) {
	d.parts = map[string][]domainPart{}
	for i := range d.Namespaces {
		n := &d.Namespaces[i]
		key := fmt.Sprintf("namespace[%d]", i)
		_, used := d.parts[n.Name]
		errs.checkUniqueName(key+".name", n.Name, used)
		errs.addIf(n.Owner == "", key+".owner", "none is given")
		d.checkDomain(errs, key, &n.Domain)
		d.parts[n.Name] = nil
		if len(n.Settings) > 0 {
			d.parts[n.Name] = []domainPart{{domain: &n.Domain}}
		}
	}
}

// checkDelegations checks each delegation by itself and sets delegationsTo.
func (d *Declaration) checkDelegations(errs *keyErrors) {
	d.delegationsTo = map[string][]*Delegation{}
	d.depth = map[string]int{}
	for i := range d.Delegations {
		delegation := &d.Delegations[i]
		key := fmt.Sprintf("delegation[%d]", i)
		for field, name := range map[string]string{"from": delegation.From, "to": delegation.To} {
			if _, ok := d.parts[name]; !ok {
				errs.add(key+"."+field, UnknownNamespaceError{name})
			}
		}
		d.checkDomain(errs, key, &delegation.Domain)
		d.delegationsTo[delegation.To] = append(d.delegationsTo[delegation.To], delegation)
		errs.addIf(len(delegation.Settings) == 0, key+".settings", "none is given: nothing would be delegated")
	}
}

// checkDomain checks a domain, and that the declaration defines the quotas that it lists.
func (d *Declaration) checkDomain(errs *keyErrors, key string, domain *Domain) {
	if err := domain.validate(); err != nil {
		errs.add(key, err)
	}
	for _, name := range domain.Quotas {
		_, ok := d.limits[name]
		errs.addIf(!ok && name != anyName, key+".budgets", "there is no budget %q", name)
	}
}
