package namespace

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"lapisspread/internal/strictconfig"
)

// FileVersion is the version of the format of declarations and files that this program reads.
const FileVersion = 1

// declarationRule stands for the declaration as the source of a conflict.
const declarationRule = "charter"

// Declaration says which namespace may set what.
type Declaration struct {
	Version     int                 `toml:"version"` // FileVersion
	Quotas      []Quota             `toml:"budget"`
	Namespaces  []DeclaredNamespace `toml:"namespace"`
	Delegations []Delegation        `toml:"delegation"`

	limits        map[string]int64         // of quotas
	parts         map[string][]domainPart  // domains by namespace, with what is delegated to it
	delegationsTo map[string][]*Delegation // by delegate
	depth         map[string]int           // delegations on the longest way from a root
}

// Quota is how much of something the fleet has, in units that its name says.
type Quota struct {
	Name  string `toml:"name"`
	Limit int64  `toml:"whole"`
}

// DeclaredNamespace is a namespace with its owner and its own domain. With no settings it has only what is delegated
// to it.
type DeclaredNamespace struct {
	Name  string `toml:"name"`
	Owner string `toml:"owner"`
	Domain
}

// Delegation lets To set rules about a part of From's domain, as From may still do.
type Delegation struct {
	From string `toml:"from"`
	To   string `toml:"to"`
	Domain
}

// ParseDeclaration parses a declaration and checks it. Its errors are a FileError, which may wrap a
// DelegationCycleError, a DelegationTooWideError or an UnknownNamespaceError.
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

// check checks a declaration, and works out the parts of all domains.
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

// checkUniqueName adds a fault if a name is not plain or is used twice.
func (e *keyErrors) checkUniqueName(key, name string, used bool) {
	fault := !strictconfig.ValidName(name) || used
	e.addIf(fault, key, "%q: wanted small letters, digits and dashes, once", name)
}

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

func (d *Declaration) checkDomain(errs *keyErrors, key string, domain *Domain) {
	if err := domain.validate(); err != nil {
		errs.add(key, err)
	}
	for _, name := range domain.Quotas {
		_, ok := d.limits[name]
		errs.addIf(!ok && name != anyName, key+".budgets", "there is no budget %q", name)
	}
}
