// Package model models the fleet that a proxy stands in front of: nodes in cells, the register, the network,
// the clients and what goes wrong with them. It does no input or output, starts no goroutine and reads no clock:
// time is a span since the start of a run, chance comes from seeds. What drives it (in virtual time or on
// sockets) tells it what arrives and asks it when something next happens.
//
// The defaults are the ranges that the operators publish of their own fleet.
package model

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// Range is a span of values from which one is drawn, evenly.
type Range struct{ Lo, Hi float64 }

// Draw takes a value from the range.
func (r Range) Draw(rng *rand.Rand) float64 { return r.Lo + (r.Hi-r.Lo)*rng.Float64() }

// DrawMs takes a value of a range that is in milliseconds.
func (r Range) DrawMs(rng *rand.Rand) time.Duration { return Ms(r.Draw(rng)) }

// Ms is a number of milliseconds.
func Ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// Millis is the inverse of Ms.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Spec describes a whole world. Times named Ms are in milliseconds, work in milliseconds of a core of speed 1.
type Spec struct {
	Seed     uint64
	Duration time.Duration // of the arrivals; what is in hand then is played to its end
	Zones    []string
	Proxies  int
	Nodes    int
	Models   []Model
	Cells    Cells
	Conns    Conns
	Cold     Cold
	Probe    Range // work of a probe, ms
	Classes  []Class
	Tenants  []Tenant
	Load     Load
	Clients  Clients
	Register Register
	Net      Net
	Faults   []Fault
}

// Model is a kind of machine.
type Model struct {
	Name      string
	Share     float64 // of the nodes
	Cores     int
	Speed     Range
	Slots     Range // requests in work at once
	Room      Range // requests that may wait
	Crowd     Range // share of its capacity lost for each CrowdFrom requests in hand beyond CrowdFrom
	CrowdFrom Range
	ErrorRate Range // share of requests that end in an error after they ran
}

// Cells says how nodes share bottlenecks.
type Cells struct {
	Size    Range // nodes
	Limited float64
	Limit   Range // of the nodes' capacity together
}

// Conns says what connections cost a node.
type Conns struct {
	Cap            Range   // per core
	Handshake      Range   // work, ms
	Accepts        float64 // connections a second that a node lets in; 0 is no bound
	Rtts           Range   // round trips
	FullTax        Range   // share of the capacity that a full table takes
	ConnectTimeout time.Duration
	Idle           time.Duration
}

// Cold says how a node starts.
type Cold struct {
	From     Range // share of its capacity
	For      Range // ms until it is warm
	Fall     time.Duration
	Multiple float64 // of what it can do in Fall, over which it falls over
}

// Class is a kind of request.
type Class struct {
	Name   string
	Share  float64
	Work   Range // mean work, ms; one value is drawn for a world
	CV     Range // of the work, log-normal
	Wait   Range // mean wait on others, ms
	Aim    time.Duration
	GiveUp time.Duration
	Safe   bool // may be repeated; else it must never run twice
	Worth  float64
	Late   float64 // share of the worth that an answer after the aim earns
	Host   string  // that its requests name, on sockets; the usual one if empty
}

// Tenant is a co-operative.
type Tenant struct {
	Name  string
	Share float64 // that it pays for
	Usage Range   // of that share
}

// Load is the rate of first tries.
type Load struct {
	Rate  float64 // a second, where the curve is 1
	Curve []Point // by time; linear between, level before the first and after the last
	Skew  float64 // by how much more than its even part the first zone gets, as a share of it
	Quota float64 // of Rate that all tenants' shares together come to
}

// Point is a place on a curve.
type Point struct {
	At    time.Duration
	Value float64
}

// Clients says how clients behave.
type Clients struct {
	Retries   int     // at most
	Backoff   Range   // ms before the first retry, doubling
	TryShare  Range   // of the give-up time, after which a try is given up
	Honour    float64 // share that keep to Retry-After
	Impatient float64 // share that leave before their time is up
}

// Register says how late news is, in ms.
type Register struct {
	Start  Range // of a start, and of a drain that was asked for
	Death  Range // of a process that ended
	Silent Range // of a machine that says nothing more
	Spread Range // between proxies
}

// Net is the network between proxies and nodes, one way, in ms.
type Net struct {
	Same, Cross Range
	Jitter      float64 // share of the way
}

// Default is the operators' fleet on a usual day: nine nodes, three proxies, 160 requests a second.
func Default() Spec {
	return Spec{
		Seed: 1, Duration: 30 * time.Second, Zones: []string{"nyarugenge", "kacyiru"}, Proxies: 3, Nodes: 9,
		Models: []Model{
			{Name: "std-1", Share: 0.35, Cores: 1, Speed: Range{0.85, 1.1}, Slots: Range{6, 13}, Room: Range{8, 16},
				Crowd: Range{0.1, 0.18}, CrowdFrom: Range{20, 35}, ErrorRate: Range{0, 0.001}},
			{Name: "slow-1", Share: 0.65, Cores: 1, Speed: Range{0.64, 0.86}, Slots: Range{6, 13}, Room: Range{8, 18},
				Crowd: Range{0.1, 0.17}, CrowdFrom: Range{20, 35}, ErrorRate: Range{0, 0.001}},
		},
		Cells: Cells{Size: Range{4, 8}, Limited: 0.38, Limit: Range{0.42, 0.7}},
		Conns: Conns{Cap: Range{600, 900}, Handshake: Range{0.65, 1.5}, Rtts: Range{1, 3}, FullTax: Range{0.06, 0.15},
			ConnectTimeout: 75 * time.Millisecond, Idle: time.Minute},
		Cold:  Cold{From: Range{0.34, 0.5}, For: Range{3200, 8700}, Fall: time.Second, Multiple: 3},
		Probe: Range{0.17, 0.34},
		Classes: []Class{
			{"driver-position", 0.38, Range{11, 19}, Range{0.4, 0.7}, Range{10, 19}, 250 * time.Millisecond, time.Second, true, 2, 0.2, ""},
			{"ride-accept", 0.29, Range{17, 31}, Range{0.2, 0.6}, Range{8.3, 16}, 150 * time.Millisecond, 750 * time.Millisecond, false, 3, 0.5, ""},
			{"trip-close", 0.20, Range{22, 39}, Range{0.25, 0.75}, Range{32, 59}, 500 * time.Millisecond, time.Second, false, 10, 0.3, ""},
			{"driver-payout", 0.13, Range{22, 40}, Range{0.25, 0.75}, Range{32, 60}, 500 * time.Millisecond, 2 * time.Second, false, 10, 0.25, ""},
		},
		Tenants: []Tenant{{"umurava-taxi", 0.68, Range{0.6, 1.2}}, {"inzira-moto", 0.19, Range{0.6, 1.4}}, {"kivu-cabs", 0.13, Range{0.7, 1.3}}},
		Load:    Load{Rate: 160, Skew: 0.4, Quota: 1.25},
		Clients: Clients{Retries: 2, Backoff: Range{7.5, 60}, TryShare: Range{0.5, 0.8}, Honour: 0.3, Impatient: 0.02},
		Register: Register{Start: Range{260, 1500}, Death: Range{2300, 4600}, Silent: Range{4400, 14000},
			Spread: Range{98, 460}},
		Net: Net{Same: Range{0.13, 0.35}, Cross: Range{0.7, 1.3}, Jitter: 0.2},
	}
}

// Bounds on a world: a slip of the hand should say so, not fill the machine.
const (
	MostNodes   = 5000
	MostProxies = 512
	MostRate    = 1e6
	MostLength  = 24 * time.Hour
)

// Check tells what makes no sense, each fault with the field's name, or gives nil.
func (s *Spec) Check() error {
	var errs []error
	bad := func(wrong bool, format string, args ...any) {
		if wrong {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	bad(s.Duration <= 0 || s.Duration > MostLength, "duration: %v is not above 0 and at most %v", s.Duration, MostLength)
	bad(len(s.Zones) == 0, "zones: none given")
	bad(s.Proxies < max(1, len(s.Zones)) || s.Proxies > MostProxies, "proxies: %d, wanted from one a zone to %d", s.Proxies, MostProxies)
	bad(s.Nodes < len(s.Zones) || s.Nodes > MostNodes, "nodes: %d, wanted from one a zone to %d", s.Nodes, MostNodes)
	bad(s.Load.Rate <= 0 || s.Load.Rate > MostRate, "rate: %v a second, wanted above 0 and at most %v", s.Load.Rate, MostRate)
	bad(s.Conns.Accepts < 0 || s.Conns.Handshake.Lo < 0, "conns: accepts or handshake is negative")
	bad(len(s.Models) == 0, "models: none given")
	bad(len(s.Classes) == 0, "classes: none given")
	for i, c := range s.Classes {
		bad(c.Aim <= 0 || c.GiveUp < c.Aim, "classes[%d] %q: aim %v and give_up %v: wanted 0 < aim <= give_up", i, c.Name, c.Aim, c.GiveUp)
		bad(c.Share < 0 || c.Work.Lo <= 0 || c.Work.Hi < c.Work.Lo, "classes[%d] %q: share or work is out of range", i, c.Name)
	}
	for i := 1; i < len(s.Load.Curve); i++ {
		bad(s.Load.Curve[i].At <= s.Load.Curve[i-1].At, "curve[%d]: %v does not come after %v", i, s.Load.Curve[i].At, s.Load.Curve[i-1].At)
	}
	for i, p := range s.Load.Curve {
		bad(p.Value < 0 || p.Value > 100, "curve[%d]: a factor of %v is not within 0 and 100", i, p.Value)
	}
	for i := range s.Faults {
		if err := s.Faults[i].check(s); err != nil {
			errs = append(errs, fmt.Errorf("faults[%d]: %w", i, err))
		}
	}
	return errors.Join(errs...)
}

// Capacity is the rate of requests that the mean fleet of the spec can serve, without bottlenecks.
func (s *Spec) Capacity() float64 {
	var speed, work, shares float64
	for _, m := range s.Models {
		speed += m.Share * float64(m.Cores) * (m.Speed.Lo + m.Speed.Hi) / 2
	}
	for _, c := range s.Classes {
		work += c.Share * (c.Work.Lo + c.Work.Hi) / 2
		shares += c.Share
	}
	return speed * float64(s.Nodes) * 1000 / (work / shares)
}

// A process that is ended in order has until its SIGKILL the longest deadline, counted as longestTerm where that is longer, and
// lastTerm. New connections come to it for some time after SIGTERM; on those that stay open, requests come up to SIGKILL.
const (
	longestTerm = 3 * time.Second
	lastTerm    = 700 * time.Millisecond
)

// NewAfterTerm is for how long new connections come to a process after SIGTERM, ms.
var NewAfterTerm = Range{200, 400}

// KillAfter is how long after SIGTERM a process gets SIGKILL.
func (s *Spec) KillAfter() time.Duration {
	var longest time.Duration
	for _, c := range s.Classes {
		longest = max(longest, c.GiveUp)
	}
	return min(longest, longestTerm) + lastTerm
}

// Stream gives a source of chance of its own for one purpose, so that what one part draws does not move the others.
func (s *Spec) Stream(purpose uint64) *rand.Rand {
	return rand.New(rand.NewPCG(s.Seed, 0x9e3779b97f4a7c15*(purpose+1)))
}

// ProxyZone is the zone of a proxy: they take turns.
func (s *Spec) ProxyZone(proxy int) int { return proxy % len(s.Zones) }
