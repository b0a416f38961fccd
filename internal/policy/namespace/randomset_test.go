package namespace

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// randomSetCount is the number of sets of files that the random tests use.
const randomSetCount = 1000

// The values of random rules. There are few of them, so that rules often match the same requests. A path that starts
// with an equals sign is exact; any other path is a prefix.
var (
	randomNames    = []string{"k", "l", "m", "n"}
	randomHosts    = []string{"", "a", "*.a", "b.a", "*.b.a", "b"}
	randomPaths    = []string{"", "=/x", "=/x/", "/", "/x", "/x/y"}
	randomMethods  = [][]string{nil, nil, {"GET"}, {"GET", "POST"}, {"POST"}}
	randomClasses  = [][]string{nil, nil, {"c"}}
	randomTenants  = [][]string{nil, nil, {"t"}, {"t", "u"}, {"u"}}
	randomServices = []string{"s", "r"}
	randomStart    = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

// randomQuota is the only quota of random declarations.
const randomQuota = "w"

// randomRules generates random declarations and files.
type randomRules struct{ *rand.Rand }

// pick returns a random element of a list.
func pick[T any](r randomRules, list []T) T { return list[r.IntN(len(list))] }

// domain returns a random domain with the given settings, all quotas and all zones.
func (r randomRules) domain(settings ...string) Domain {
	domain := Domain{Quotas: []string{anyName}, Zones: []string{anyName}, Settings: settings}
	if r.IntN(3) > 0 {
		domain.Hosts = slices.Compact([]string{pick(r, randomHosts[1:]), pick(r, randomHosts[1:])})
	}
	if r.IntN(3) == 0 {
		domain.PathPrefixes = []string{pick(r, randomPaths[3:])}
	}
	if r.IntN(5) == 0 {
		domain.Tenants = pick(r, randomTenants[2:])
	}
	return domain
}

// declaration generates declarations until one is valid. A namespace delegates only to later ones of randomNames.
func (r randomRules) declaration() *Declaration {
	for {
		d := &Declaration{Version: FileVersion, Quotas: []Quota{{randomQuota, 10}}}
		for i, name := range randomNames {
			n := DeclaredNamespace{Name: name, Owner: "o"}
			if i == 0 || r.IntN(3) == 0 {
				n.Domain = r.domain(SettingRoute, SettingBlock, SettingService, SettingQuota, SettingStaleness)
			}
			d.Namespaces = append(d.Namespaces, n)
		}
		for range r.IntN(5) {
			from := r.IntN(3)
			to := from + 1 + r.IntN(3-from)
			domain := r.domain(SettingRoute, SettingBlock, SettingService, SettingQuota)
			d.Delegations = append(d.Delegations, Delegation{randomNames[from], randomNames[to], domain})
		}
		if d.check("c", nil) != nil {
			continue
		}
		// Any namespace may set overrides, so that overrides of all namespaces can contradict each other. All names
		// are entered as delegators, so that these parts do not count as overlaps.
		for _, name := range randomNames {
			overrides := &Domain{Zones: []string{anyName}, Settings: []string{SettingOverride}}
			d.parts[name] = append(d.parts[name], domainPart{overrides, randomNames})
		}
		return d
	}
}

// match returns a random match.
func (r randomRules) match() Match {
	m := Match{Host: pick(r, randomHosts)}
	path := pick(r, randomPaths)
	if exact, ok := strings.CutPrefix(path, "="); ok {
		m.Path = exact
	} else {
		m.PathPrefix = path
	}
	m.Methods = slices.Clone(pick(r, randomMethods))
	m.Classes = slices.Clone(pick(r, randomClasses))
	m.Tenants = slices.Clone(pick(r, randomTenants))
	return m
}

// file generates files of a namespace until one is valid, and removes the rules outside the namespace's domain.
func (r randomRules) file(d *Declaration, name string, number uint64) *File {
	f := &File{Version: FileVersion, Name: name, Number: number, path: name}
	for i := range r.IntN(5) {
		to := []Target{{Service: pick(r, randomServices)}}
		f.Routes = append(f.Routes, Route{Name: fmt.Sprint("r", i), Match: r.match(), To: to})
	}
	for i := range r.IntN(3) {
		f.Blocks = append(f.Blocks, Block{Name: fmt.Sprint("b", i), Match: r.match()})
	}
	if r.IntN(2) == 0 {
		f.Overrides = []Override{r.override()}
	}
	f.Quotas = []QuotaShare{{Quota: randomQuota, Min: int64(1 + r.IntN(4))}}
	for _, s := range randomServices {
		if name == randomNames[0] || r.IntN(4) == 0 {
			f.Services = append(f.Services, Service{Name: s, Removed: r.IntN(20) == 0})
		}
	}
	if f.check() != nil {
		return r.file(d, name, number)
	}
	outsideDomain := map[string]bool{}
	for id := range d.rulesOutsideDomain(f) {
		outsideDomain[id] = true
	}
	return f.without(outsideDomain)
}

// override returns a random override that starts and ends within exhaustiveHours after randomStart.
func (r randomRules) override() Override {
	o := Override{
		Name:   "o",
		Server: pick(r, randomServices),
		Zone:   "1",
		Action: pick(r, []string{actionDetach, actionAttach}),
		From:   randomStart.Add(time.Duration(r.IntN(4)) * time.Hour),
		Until:  randomStart.Add(time.Duration(4+r.IntN(3)) * time.Hour),
	}
	if r.IntN(2) == 0 {
		o.Until = o.From.Add(time.Hour)
	}
	return o
}

// change generates the files that are submitted after a merge. At random, a namespace submits a new file, its accepted
// file without one of its routes, or nothing.
func (r randomRules) change(d *Declaration, accepted []*File) []*File {
	var submitted []*File
	for _, name := range randomNames {
		i := slices.IndexFunc(accepted, func(f *File) bool { return f.Name == name })
		switch r.IntN(3) {
		case 0:
			submitted = append(submitted, r.file(d, name, 2))
		case 1:
			if i < 0 || len(accepted[i].Routes) == 0 {
				continue
			}
			removed := accepted[i].Routes[r.IntN(len(accepted[i].Routes))]
			f := accepted[i].without(map[string]bool{removed.id(): true})
			f.Number = 2
			submitted = append(submitted, f)
		}
	}
	return submitted
}

// randomSets caches the random sets. Tests do not change them.
var randomSets [randomSetCount]struct {
	declaration *Declaration
	files       []*File
}

// randomSet returns a random declaration and one file of each of its namespaces, the same ones for each call with i.
func randomSet(i int) (*Declaration, []*File) {
	set := &randomSets[i]
	if set.declaration == nil {
		r := randomRules{rand.New(rand.NewPCG(uint64(i), 24))}
		set.declaration = r.declaration()
		for _, name := range randomNames {
			set.files = append(set.files, r.file(set.declaration, name, 1))
		}
	}
	return set.declaration, slices.Clone(set.files)
}
