package diameter

import (
	_ "embed"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"

	"lapisspread/internal/strictconfig"
)

//go:embed base.toml
var baseText []byte

// Definition is an AVP as the dictionary has it.
type Definition struct {
	Name   string   `toml:"name"`
	Code   uint32   `toml:"code"`
	Vendor uint32   `toml:"vendor"` // 0 is the IETF's
	Format Format   `toml:"format"`
	May    bool     `toml:"may"`    // sent without the M flag; else with it
	Values []uint32 `toml:"values"` // of an enumerated one; none is any
}

func (d *Definition) flags() AVPFlags {
	var f AVPFlags
	if !d.May {
		f |= Mandatory
	}
	if d.Vendor != 0 {
		f |= VendorFlag
	}
	return f
}

// Command is a command as the dictionary has it: its request's and its answer's rules (section 3.2's CCF).
type Command struct {
	Name    string `toml:"name"`
	Code    uint32 `toml:"code"`
	App     uint32 `toml:"application"`
	Request []Rule `toml:"request"`
	Answer  []Rule `toml:"answer"`
}

// Rule says how often an AVP stands in a command. What no rule is for may stand there, however often ("* [ AVP ]").
type Rule struct {
	AVP   string `toml:"avp"`
	Least int    `toml:"least"`
	Most  int    `toml:"most"` // 0 is any number
	def   *Definition
}

type dictionaryFile struct {
	Version  int          `toml:"version"`
	AVPs     []Definition `toml:"avp"`
	Commands []Command    `toml:"command"`
}

// Dictionary is what AVPs and commands there are. It does not change once it is made.
type Dictionary struct {
	byCode   map[[2]uint32]*Definition
	byName   map[string]*Definition
	commands map[[2]uint32]*Command // by application and code
}

// Base is the dictionary of the base protocol and of what a claim uses of credit control.
func Base() *Dictionary { return base() }

var base = sync.OnceValue(func() *Dictionary {
	d := &Dictionary{}
	if err := d.add("base.toml", baseText); err != nil {
		panic(err) // it is embedded: a build that has it wrong passes no test
	}
	return d
})

// With adds a site's file to a dictionary, which itself stays as it is. Errors name the file, the line where there is
// one, and the AVP or command. What is there cannot be defined anew.
func (d *Dictionary) With(path string) (*Dictionary, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the dictionary: %w", err)
	}
	out := &Dictionary{byCode: map[[2]uint32]*Definition{}, byName: map[string]*Definition{}, commands: map[[2]uint32]*Command{}}
	for k, v := range d.byCode {
		out.byCode[k], out.byName[v.Name] = v, v
	}
	for k, v := range d.commands {
		out.commands[k] = v
	}
	if err := out.add(path, text); err != nil {
		return nil, err
	}
	return out, nil
}

func (d *Dictionary) add(path string, text []byte) error {
	var f dictionaryFile
	if err := strictconfig.Decode(path, text, &f); err != nil {
		return err
	}
	if f.Version != 1 {
		return fmt.Errorf("%s: version: %d; this program reads 1", path, f.Version)
	}
	if d.byCode == nil {
		d.byCode, d.byName, d.commands = map[[2]uint32]*Definition{}, map[string]*Definition{}, map[[2]uint32]*Command{}
	}
	var errs []error
	for i := range f.AVPs {
		a := &f.AVPs[i]
		key := [2]uint32{a.Vendor, a.Code}
		switch {
		case a.Name == "" || a.Code == 0:
			errs = append(errs, fmt.Errorf("avp[%d] %q: name or code is missing", i, a.Name))
		case d.byName[a.Name] != nil || d.byCode[key] != nil:
			errs = append(errs, fmt.Errorf("avp[%d] %q: its name, or code %d of vendor %d, is there already", i, a.Name, a.Code, a.Vendor))
		case len(a.Values) > 0 && a.Format != Enumerated:
			errs = append(errs, fmt.Errorf("avp[%d] %q: values: only an enumerated one has them", i, a.Name))
		default:
			d.byCode[key], d.byName[a.Name] = a, a
		}
	}
	for i := range f.Commands {
		c := &f.Commands[i]
		key := [2]uint32{c.App, c.Code}
		if c.Name == "" || c.Code == 0 || c.Code > longestField || d.commands[key] != nil {
			errs = append(errs, fmt.Errorf("command[%d] %q: name or code is missing, or the command is there already", i, c.Name))
			continue
		}
		for _, rules := range [][]Rule{c.Request, c.Answer} {
			for k := range rules {
				r := &rules[k]
				if r.def = d.byName[r.AVP]; r.def == nil {
					errs = append(errs, fmt.Errorf("command[%d] %q: there is no AVP %q", i, c.Name, r.AVP))
				}
				if r.Least < 0 || r.Most < 0 || r.Most > 0 && r.Least > r.Most {
					errs = append(errs, fmt.Errorf("command[%d] %q: %s: least %d and most %d", i, c.Name, r.AVP, r.Least, r.Most))
				}
			}
		}
		d.commands[key] = c
	}
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// AVP gives an AVP's definition, nil if there is none.
func (d *Dictionary) AVP(vendor, code uint32) *Definition { return d.byCode[[2]uint32{vendor, code}] }

// Named gives the definition of a name. Danger: it must be there, as those that this program asks for are; it panics
// otherwise.
func (d *Dictionary) Named(name string) *Definition {
	def := d.byName[name]
	if def == nil {
		panic(fmt.Sprintf("diameter: no AVP %q in the dictionary", name))
	}
	return def
}

// Lookup gives the definition of a name, nil if there is none.
func (d *Dictionary) Lookup(name string) *Definition { return d.byName[name] }

// CommandNamed gives a command by its name, nil if there is none. Where two have the same, it is that of the lowest
// application.
func (d *Dictionary) CommandNamed(name string) *Command {
	var found *Command
	for _, c := range d.commands {
		if c.Name == name && (found == nil || c.App < found.App) {
			found = c
		}
	}
	return found
}

// Missing is the error that an AVP is not there and should be.
func (d *Dictionary) Missing(def *Definition) *Error {
	return failed(MissingAVP, missing(def), "%s is missing", def.Name)
}

// Command gives a command of an application, nil if there is none. The base protocol's are of application 0.
func (d *Dictionary) Command(app, code uint32) *Command { return d.commands[[2]uint32{app, code}] }

// Check tells whether a message that Parse has found good keeps to the rules of its command: known command and
// application, no unknown AVP that must be understood, values of their formats, each AVP as often as it may be there.
// The error is the first in the order of the message; what is missing comes last (section 7.1.5).
func (d *Dictionary) Check(m Message) error {
	h := m.Header()
	c := d.Command(h.App, h.Command)
	if c == nil {
		for key := range d.commands {
			if key[0] == h.App {
				return &Error{Code: CommandUnsupported, What: fmt.Sprintf("command %d of application %d", h.Command, h.App)}
			}
		}
		return &Error{Code: ApplicationUnsupport, What: fmt.Sprintf("application %d", h.App)}
	}
	rules := c.Answer
	if h.IsRequest() {
		rules = c.Request
	}
	if !h.IsRequest() && h.Flags&ErrorFlag != 0 {
		rules = nil // an answer to a protocol error is of another form (section 7.2)
	}
	var counts [64]int
	if err := d.checkAVPs(m.AVPs(), rules, counts[:], 0); err != nil {
		return err
	}
	for i, r := range rules {
		if counts[min(i, len(counts)-1)] < r.Least {
			return failed(MissingAVP, missing(r.def), "%s: %s is missing", c.Name, r.AVP)
		}
	}
	return nil
}

func (d *Dictionary) checkAVPs(w Cursor, rules []Rule, counts []int, depth int) error {
	for w.Next() {
		a := w.AVP
		def := d.AVP(a.Vendor, a.Code)
		if def == nil {
			if a.Flags&Mandatory != 0 {
				return failed(AVPUnsupported, a.raw, "AVP %d of vendor %d must be understood and is not known", a.Code, a.Vendor)
			}
			continue
		}
		if err := a.Check(def.Format); err != nil {
			return err
		}
		if len(def.Values) > 0 {
			if v, err := a.Uint32(); err != nil || !slices.Contains(def.Values, v) {
				return failed(InvalidAVPValue, a.raw, "%s: %d is none of its values", def.Name, v)
			}
		}
		if def.Format == Grouped && def.Code != failedAVP && depth < MostDepth {
			if err := d.checkAVPs(Walk(a.Data), nil, nil, depth+1); err != nil {
				return err
			}
		}
		for i := range rules {
			if r := &rules[i]; r.def == def && i < len(counts) {
				if counts[i]++; r.Most > 0 && counts[i] > r.Most {
					return failed(AVPOccursTooManyTimes, a.raw, "%s is there more than %d times", def.Name, r.Most)
				}
				break
			}
		}
	}
	return w.Err()
}
