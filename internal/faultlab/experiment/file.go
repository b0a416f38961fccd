// Package experiment reads experiments from TOML files and compares their variants. The schema is File; a key
// that it does not have is an error with its line.
package experiment

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/faultlab/model"
	"lapisspread/internal/strictconfig"
)

// Span is a time in the file.
type Span = strictconfig.Duration

// File is an experiment. What is left out is as on the operators' usual day: see world.Default.
type File struct {
	Name     string    `toml:"name"`     // letters, digits and dashes
	About    string    `toml:"about"`    // one line for people
	Duration Span      `toml:"duration"` // of the load; 30s if left out
	Seeds    []uint64  `toml:"seeds"`    // one run of each variant for each; [1] if left out
	World    World     `toml:"world"`
	Curve    []Point   `toml:"curve"` // factors on the rate over time, linear between
	Faults   []Fault   `toml:"fault"`
	Classes  []Class   `toml:"class"` // replace the usual ones, all or none
	Models   []Model   `toml:"model"` // likewise
	Variants []Variant `toml:"variant"`
	Sweep    *Sweep    `toml:"sweep"` // for faultlab overload
	Floods   []Flood   `toml:"flood"` // for variants that name one, on sockets
	Fleet    *Fleet    `toml:"fleet"` // what all proxies share, and who divides it, on sockets
}

// Fleet is budgets over the whole fleet: see live.FleetOptions. Drawn faults come about so long apart; none if left out.
type Fleet struct {
	Stewards int         `toml:"stewards"` // 3 if left out
	Longest  Span        `toml:"longest"`
	Tokens   bool        `toml:"tokens"` // the nodes know tokens
	Drawn    Span        `toml:"drawn"`
	Budgets  []api.Quota `toml:"budgets"`
}

// Flood is connections of which nothing good comes: see live.Flood.
type Flood struct {
	Name        string `toml:"name"`
	Kind        string `toml:"kind"`
	Connections int    `toml:"connections"` // in all
	Addresses   int    `toml:"addresses"`   // that they come from; 1 if left out
	Shared      bool   `toml:"shared"`      // from the address that the clients have, where these share one
	At          Span   `toml:"at"`
	For         Span   `toml:"for"`
}

// Sweep raises the rate of one class past what the machines that serve it can do, and holds its proxies to a budget of
// repeats.
type Sweep struct {
	Class   string    `toml:"class"`
	Model   string    `toml:"model"`   // the machines that serve it, and nothing else
	Loads   []float64 `toml:"loads"`   // times what these can do
	Repeats float64   `toml:"repeats"` // further attempts, as a share of the requests that proxies take; 0.1 if left out
}

// World is the size of things.
type World struct {
	Zones   []string `toml:"zones"`
	Proxies int      `toml:"proxies"`
	Nodes   int      `toml:"nodes"`
	Rate    float64  `toml:"rate"`  // first tries a second where the curve is 1
	Load    float64  `toml:"load"`  // instead of rate: as a share of what the mean fleet can serve
	Skew    *float64 `toml:"skew"`  // by how much more than its part the first zone gets
	Quota   *float64 `toml:"quota"` // of the rate, that the tenants' shares come to
	// Accepts is how many connections a second a node lets in, no bound if left out; Handshake what each costs it.
	Accepts   float64 `toml:"accepts"`
	Handshake float64 `toml:"handshake_ms"`
	// Stragglers are clients of a kind of their own, on sockets only.
	HalfOpen int `toml:"half_open"` // connections on which nothing ever comes
	Slow     int `toml:"slow"`      // clients that take two seconds over a head
	// Sockets is how many descriptors each proxy is told it has; 1024 if left out. Clients says from where requests come:
	// "pool" (a front layer that keeps its connections; so if left out), "own" (each client from an address of its own, on
	// a connection that it keeps), "shared" (likewise, all behind one address). On sockets only.
	Sockets int    `toml:"sockets"`
	Clients string `toml:"clients"`
	// Memory is how many MiB each proxy is told it has; 64 if left out. On sockets only.
	Memory int `toml:"memory"`
	Crowd  int `toml:"crowd"` // clients that are "own" or "shared"; 500 if left out
}

// Point is a place on the load curve.
type Point struct {
	At     Span    `toml:"at"`
	Factor float64 `toml:"factor"`
}

// Fault is a trouble on the time line: see world.Fault for the kinds and what each takes.
type Fault struct {
	Kind  string  `toml:"kind"`
	At    Span    `toml:"at"`
	For   Span    `toml:"for"`
	Share float64 `toml:"share"`
	Size  float64 `toml:"size"`
	Class string  `toml:"class"`
	Extra float64 `toml:"extra"`
	Zone  string  `toml:"zone"`
	Every Span    `toml:"every"`
	Model string  `toml:"model"` // only nodes of this model
	From  string  `toml:"from"`
	To    string  `toml:"to"`
	Way   string  `toml:"way"`
	Do    string  `toml:"do"`
}

// Class is a kind of request. Work and wait are means in milliseconds.
type Class struct {
	Name   string  `toml:"name"`
	Share  float64 `toml:"share"`
	Work   float64 `toml:"work_ms"`
	Wait   float64 `toml:"wait_ms"`
	Aim    Span    `toml:"aim"`
	GiveUp Span    `toml:"give_up"`
	Safe   bool    `toml:"safe"`
	Worth  float64 `toml:"worth"`
	Late   float64 `toml:"late"`
	Host   string  `toml:"host"` // on sockets: what its requests name
}

// Model is a kind of machine, of one core.
type Model struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	Speed float64 `toml:"speed"`
}

// Variant is one way to run the experiment. The first is what the others are held against.
type Variant struct {
	Name   string   `toml:"name"`
	Policy string   `toml:"policy"` // "module", or a plain policy: see faultlab policies
	Binary string   `toml:"binary"` // on sockets: the proxy's program; the one of this tree if left out
	Args   []string `toml:"args"`   // its arguments; ["serve"] if left out
	Load   float64  `toml:"load"`   // times the experiment's rate; 1 if left out
	Calm   bool     `toml:"calm"`   // without the faults
	// Services are files of several services, for the proxy to serve; their texts stand here, the first for the start
	// and each in turn for change-services. On sockets only.
	Services  []string `toml:"services"`
	Flood     string   `toml:"flood"`     // on sockets: the one of this name
	Admission string   `toml:"admission"` // the text of the file by which the proxy admits connections; none is as without
	Comeback  string   `toml:"comeback"`  // the text of the file of coming back; none is as without
	Many      int      `toml:"many"`      // in place of services: so many, which share the servers and the requests evenly
}

// Load reads an experiment's file.
func Load(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the experiment: %w", err)
	}
	return Parse(path, text)
}

// Parse reads an experiment. Errors name the file, the line where there is one, and the key.
func Parse(path string, text []byte) (*File, error) {
	f := &File{}
	if err := strictconfig.Decode(path, text, f); err != nil {
		return nil, err
	}
	if err := f.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

func (f *File) check() error {
	if f.Duration == 0 {
		f.Duration = Span(30 * time.Second)
	}
	if len(f.Seeds) == 0 {
		f.Seeds = []uint64{1}
	}
	if len(f.Variants) == 0 {
		f.Variants = []Variant{{Name: "module", Policy: "module"}}
	}
	for _, r := range f.Name {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' {
			return fmt.Errorf("name: %q may hold small letters, digits and dashes only", f.Name)
		}
	}
	if f.Name == "" {
		return errors.New("name: missing")
	}
	if f.World.Rate != 0 && f.World.Load != 0 {
		return errors.New("world: rate and load are both given; one of them says how much comes")
	}
	if f.World.HalfOpen < 0 || f.World.HalfOpen > 2000 || f.World.Slow < 0 || f.World.Slow > 2000 {
		return errors.New("world: half_open and slow must be within 0 and 2000")
	}
	if err := f.checkFloods(); err != nil {
		return err
	}
	seen := map[string]bool{}
	for i, v := range f.Variants {
		switch {
		case v.Name == "":
			return fmt.Errorf("variant[%d]: name: missing", i)
		case seen[v.Name]:
			return fmt.Errorf("variant[%d]: name: %q is there twice", i, v.Name)
		case v.Many < 0 || v.Many > mostMany || v.Many > 0 && len(v.Services) > 0:
			return fmt.Errorf("variant[%d]: many: %d must be within 0 and %d, and not beside services", i, v.Many, mostMany)
		case v.Load < 0:
			return fmt.Errorf("variant[%d]: load: %v is negative", i, v.Load)
		}
		seen[v.Name] = true
	}
	for i := range f.Variants {
		if v := &f.Variants[i]; v.Many > 0 {
			v.Services, v.Many = []string{manyServices(v.Many)}, 0
		}
	}
	if err := f.checkSweep(); err != nil {
		return err
	}
	if f.Fleet != nil {
		if n := f.Fleet.Stewards; n < 0 || n > 9 || len(f.Fleet.Budgets) == 0 {
			return fmt.Errorf("fleet: %d stewards and %d budgets; wanted up to 9 and one at least", n, len(f.Fleet.Budgets))
		}
	}
	s := f.Spec(f.Seeds[0], 1)
	return s.Check()
}

func (f *File) checkFloods() error {
	switch f.World.Clients {
	case "", "pool", "own", "shared":
	default:
		return fmt.Errorf("world: clients: %q is none of pool, own, shared", f.World.Clients)
	}
	if m := f.World.Memory; m != 0 && (m < 16 || m > 4096) {
		return errors.New("world: memory must be within 16 and 4096")
	}
	if w := &f.World; w.Sockets != 0 && (w.Sockets < 64 || w.Sockets > 1<<16) || w.Crowd < 0 || w.Crowd > 5000 {
		return errors.New("world: sockets must be within 64 and 65536, crowd within 0 and 5000")
	}
	names := map[string]bool{"": true}
	for i := range f.Floods {
		fl := &f.Floods[i]
		if fl.Addresses == 0 {
			fl.Addresses = 1
		}
		switch {
		case fl.Name == "" || names[fl.Name]:
			return fmt.Errorf("flood[%d]: name: missing or there twice", i)
		case !slices.Contains(FloodKinds, fl.Kind):
			return fmt.Errorf("flood[%d] %q: kind: %q is none of %s", i, fl.Name, fl.Kind, strings.Join(FloodKinds, ", "))
		case fl.Connections < 1 || fl.Connections > mostFlood:
			return fmt.Errorf("flood[%d] %q: connections: %d is not within 1 and %d", i, fl.Name, fl.Connections, mostFlood)
		case fl.Addresses < 1 || fl.Addresses > 1<<20:
			return fmt.Errorf("flood[%d] %q: addresses: %d is not within 1 and %d", i, fl.Name, fl.Addresses, 1<<20)
		case fl.For <= 0 || fl.At < 0:
			return fmt.Errorf("flood[%d] %q: at or for is missing or negative", i, fl.Name)
		}
		names[fl.Name] = true
	}
	for i, v := range f.Variants {
		if !names[v.Flood] {
			return fmt.Errorf("variant[%d] %q: flood: there is none of the name %q", i, v.Name, v.Flood)
		}
	}
	return nil
}

// FloodKinds are what a flood's connections do: say nothing; send half a head and then nothing; send a head a byte at a
// time; ask for the proxy's health again and again and never read; name a tenant and a class that there is not; connect and
// go at once; send very many short fields and no end of the head; send a body of 64 KiB but for its last byte; send half of
// a body of 10 MB.
var FloodKinds = []string{
	"silent", "half-head", "slow-head", "slow-read", "tenants", "churn", "many-fields", "half-body", "half-upload",
}

// mostFlood bounds a flood's connections.
const mostFlood = 200_000

// FloodNamed gives a flood by its name, nil for none.
func (f *File) FloodNamed(name string) *Flood {
	for i := range f.Floods {
		if f.Floods[i].Name == name {
			return &f.Floods[i]
		}
	}
	return nil
}

func (f *File) checkSweep() error {
	w := f.Sweep
	if w == nil {
		return nil
	}
	if w.Repeats == 0 {
		w.Repeats = 0.1
	}
	switch {
	case !slices.ContainsFunc(f.Classes, func(c Class) bool { return c.Name == w.Class && c.Work > 0 }):
		return fmt.Errorf("sweep: class: %q is no class of the file that takes work", w.Class)
	case !slices.ContainsFunc(f.Models, func(m Model) bool { return m.Name == w.Model }):
		return fmt.Errorf("sweep: model: %q is no model of the file", w.Model)
	case len(w.Loads) == 0 || slices.Min(w.Loads) <= 0 || slices.Max(w.Loads) > 20:
		return fmt.Errorf("sweep: loads: %v: wanted some, above 0 and at most 20", w.Loads)
	case !(w.Repeats > 0 && w.Repeats <= 1):
		return fmt.Errorf("sweep: repeats: %v is not within 0 and 1", w.Repeats)
	}
	return nil
}

// At gives the experiment with the swept class at such a rate that its machines are asked for so many times what they
// can do, and that rate. The other classes come at their rates as ever; those that name the same host are served by the
// same machines.
func (f *File) At(load float64, seed uint64) (at *File, rate float64, err error) {
	s := f.Spec(seed, 1)
	can := 0.0 // ms of work a second
	for _, n := range model.Build(&s).Nodes {
		if s.Models[n.Model].Name == f.Sweep.Model {
			can += 1000 * n.Speed * float64(n.Cores)
		}
	}
	out := *f
	out.Classes = slices.Clone(f.Classes)
	var shares, total float64
	var swept *Class
	for i, c := range out.Classes {
		shares += c.Share
		if c.Name == f.Sweep.Class {
			swept = &out.Classes[i]
		}
	}
	left := load * can
	for i := range out.Classes {
		c := &out.Classes[i]
		c.Share *= s.Load.Rate / shares // now its rate
		if c != swept && c.Host == swept.Host {
			left -= c.Share * c.Work
		}
	}
	if left <= 0 {
		return nil, 0, fmt.Errorf("sweep: at %.2f times, the other classes of its host ask for all of what its machines can do", load)
	}
	rate = left / swept.Work
	swept.Share = rate
	for _, c := range out.Classes {
		total += c.Share
	}
	for i := range out.Classes {
		out.Classes[i].Share /= total
	}
	out.World.Rate, out.World.Load = total, 0
	return &out, rate, nil
}

// mostMany is how many services a variant may have made.
const mostMany = 250

// manyServices is a file of so many services that share all servers and split the requests evenly.
func manyServices(n int) string {
	var services, targets strings.Builder
	for i := range n {
		fmt.Fprintf(&services, "[[service]]\nname = \"s-%d\"\n", i)
		fmt.Fprintf(&targets, "{ service = \"s-%d\" }, ", i)
	}
	return fmt.Sprintf("version = 1\n%s[[route]]\nname = \"all\"\nsticky = \"request\"\nto = [%s]\n", services.String(), targets.String())
}

// Spec is the world of a seed, at so many times the file's rate.
func (f *File) Spec(seed uint64, load float64) model.Spec {
	s := model.Default()
	s.Seed, s.Duration = seed, time.Duration(f.Duration)
	w := &f.World
	if len(w.Zones) > 0 {
		s.Zones = w.Zones
	}
	if w.Proxies != 0 {
		s.Proxies = w.Proxies
	}
	if w.Nodes != 0 {
		s.Nodes = w.Nodes
	}
	if len(f.Classes) > 0 {
		s.Classes = nil
		for _, c := range f.Classes {
			s.Classes = append(s.Classes, model.Class{Name: c.Name, Share: c.Share, Work: model.Range{Lo: c.Work, Hi: c.Work},
				CV: model.Range{Lo: 0.5, Hi: 0.5}, Wait: model.Range{Lo: c.Wait, Hi: c.Wait}, Aim: time.Duration(c.Aim),
				GiveUp: time.Duration(c.GiveUp), Safe: c.Safe, Worth: c.Worth, Late: c.Late, Host: c.Host})
		}
	}
	if len(f.Models) > 0 {
		usual := s.Models[0]
		s.Models = nil
		for _, m := range f.Models {
			k := usual
			k.Name, k.Share, k.Speed = m.Name, m.Share, model.Range{Lo: m.Speed, Hi: m.Speed}
			s.Models = append(s.Models, k)
		}
	}
	if w.Rate != 0 {
		s.Load.Rate = w.Rate
	}
	if w.Load != 0 {
		s.Load.Rate = w.Load * s.Capacity()
	}
	if load > 0 {
		s.Load.Rate *= load
	}
	if w.Accepts != 0 {
		s.Conns.Accepts = w.Accepts
	}
	if w.Handshake != 0 {
		s.Conns.Handshake = model.Range{Lo: w.Handshake, Hi: w.Handshake}
	}
	if w.Skew != nil {
		s.Load.Skew = *w.Skew
	}
	if w.Quota != nil {
		s.Load.Quota = *w.Quota
	}
	for _, p := range f.Curve {
		s.Load.Curve = append(s.Load.Curve, model.Point{At: time.Duration(p.At), Value: p.Factor})
	}
	for _, t := range f.Faults {
		s.Faults = append(s.Faults, model.Fault{Kind: t.Kind, At: time.Duration(t.At), For: time.Duration(t.For), Share: t.Share, Size: t.Size,
			Class: t.Class, Extra: t.Extra, Zone: t.Zone, Every: time.Duration(t.Every), Model: t.Model,
			From: t.From, To: t.To, Way: t.Way, Do: t.Do})
	}
	return s
}

// Stretch plays the experiment in another duration: all its times follow.
func (f *File) Stretch(d time.Duration) {
	if d <= 0 || time.Duration(f.Duration) == d {
		return
	}
	by := float64(d) / float64(f.Duration)
	scale := func(s *Span) { *s = Span(float64(*s) * by) }
	for i := range f.Curve {
		scale(&f.Curve[i].At)
	}
	for i := range f.Faults {
		scale(&f.Faults[i].At)
		scale(&f.Faults[i].For)
		scale(&f.Faults[i].Every)
	}
	for i := range f.Floods {
		scale(&f.Floods[i].At)
		scale(&f.Floods[i].For)
	}
	f.Duration = Span(d)
}
