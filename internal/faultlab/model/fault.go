package model

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Fault is a trouble on the time line. Faults may overlap.
type Fault struct {
	Kind  string
	At    time.Duration
	For   time.Duration
	Share float64       // of the nodes that it strikes; 0 takes the kind's usual
	Size  float64       // how bad: times slower, times the work; 0 takes the kind's usual
	Class string        // heavy-tail: whose requests; the first class if empty
	Extra float64       // heavy-tail: their share
	Zone  string        // zone-loss: which; the first if empty
	Every time.Duration // restart-storm, rolling-restart: between two nodes; kill-proxy: between two proxies, 0 is all at once
	Model string        // only nodes of this model; all if empty
	From  string        // link: who connects, as patterns; all if empty. Names are proxy-0, node-0, register
	To    string        // link: to whom, likewise
	Way   string        // link: "there", "back"; both if empty
	Do    string        // link: one of LinkTroubles; state: one of StateTroubles
}

// LinkTroubles are what may be done to links: Size is a delay in ms, a rate or a number of bytes.
var LinkTroubles = []string{"delay", "rate", "silence", "refuse", "cut", "reset"}

// StateTroubles are what may befall a proxy's state folder: nothing of it is left; a bit of each file is turned; each file
// loses its last third; what stood there at the run's start stands there again.
var StateTroubles = []string{"remove", "flip", "tear", "old"}

// The kinds of fault.
const (
	Hang           = "hang"            // takes requests and answers none; they run when it ends
	BlackHole      = "black-hole"      // likewise, and they never run
	HeavyTail      = "heavy-tail"      // some requests of a class cost many times their work
	AllSlow        = "all-slow"        // every node is slower
	CutOff         = "cut-off"         // the network is silent both ways
	RestartStorm   = "restart-storm"   // nodes die without a word and come back cold, one soon after the other
	RollingRestart = "rolling-restart" // nodes drain, end and come back cold, one after the other
	RegisterStale  = "register-stale"  // the register tells nothing new
	ZoneLoss       = "zone-loss"       // all nodes of a zone are cut off
	ProbeOnly      = "probe-only"      // probes pass, requests hang
	KillProxy      = "kill-proxy"      // a proxy is killed and starts again
	UpgradeProxy   = "upgrade-proxy"   // a proxy ends in order and starts again
	RestartProxy   = "restart-proxy"   // likewise with nobody beside it: SIGTERM, SIGKILL, and a start after that
	ChangeServices = "change-services" // the proxies' file of services changes to and fro, told by SIGHUP; on sockets only
	StopProxy      = "stop-proxy"      // a proxy has no processor (SIGSTOP), and goes on as if nothing had been
	Link           = "link"            // ways between processes are broken; on sockets only
	RegisterBusy   = "register-busy"   // the register answers so many calls a second of all proxies, and turns the rest away; on sockets only
	RegisterLost   = "register-lost"   // the register has lost its store: lower numbers, and only a share of its list; on sockets only
	StateFolder    = "state"           // something befalls proxies' state folders; on sockets only
	SilentWatch    = "silent-watch"    // proxies' open watches of the register fall silent, once; a new call works
	MoveRegister   = "move-register"   // the register moves to another address, told by SIGHUP; on sockets only
)

type usual struct{ share, size, extra float64 }

var kinds = map[string]usual{
	Hang: {share: 0.15}, BlackHole: {share: 0.15}, HeavyTail: {size: 15, extra: 0.02}, AllSlow: {size: 2.1},
	CutOff: {share: 0.15}, RestartStorm: {share: 0.34}, RollingRestart: {share: 0.5}, RegisterStale: {}, ZoneLoss: {},
	ProbeOnly: {share: 0.15}, KillProxy: {share: 0.2}, UpgradeProxy: {share: 1},
	MoveRegister: {}, ChangeServices: {}, StopProxy: {share: 0.2}, Link: {}, RegisterBusy: {size: 4}, RegisterLost: {}, StateFolder: {share: 1},
	SilentWatch: {share: 0.5}, RestartProxy: {share: 1},
}

// atOnce tells whether a fault strikes at a moment, and has no length of its own; a watch without one stays silent for good.
func atOnce(kind string) bool {
	return slices.Contains([]string{RestartStorm, RollingRestart, KillProxy, UpgradeProxy, RestartProxy, MoveRegister, StateFolder, SilentWatch}, kind)
}

// Kinds are the names of all kinds of fault, sorted.
func Kinds() []string {
	var names []string
	for k := range kinds {
		names = append(names, k)
	}
	slices.Sort(names)
	return names
}

func (f *Fault) check(s *Spec) error {
	if _, ok := kinds[f.Kind]; !ok {
		return fmt.Errorf("kind: there is no %q; there are %s", f.Kind, strings.Join(Kinds(), ", "))
	}
	switch {
	case f.At < 0 || f.At > s.Duration:
		return fmt.Errorf("at: %v is not within the run of %v", f.At, s.Duration)
	case f.For < 0 || f.For == 0 && !atOnce(f.Kind) && f.Do != "reset":
		return fmt.Errorf("for: %v must be above 0", f.For)
	case f.Share < 0 || f.Share > 1:
		return fmt.Errorf("share: %v is not within 0 and 1", f.Share)
	case f.Extra < 0 || f.Extra > 1:
		return fmt.Errorf("extra: %v is not within 0 and 1", f.Extra)
	case f.Size < 0 || f.Size > 1000 && f.Kind != Link:
		return fmt.Errorf("size: %v is not within 0 and 1000", f.Size)
	case f.Kind == Link && !slices.Contains(LinkTroubles, f.Do):
		return fmt.Errorf("do: %q is none of %s", f.Do, strings.Join(LinkTroubles, ", "))
	case f.Kind == StateFolder && !slices.Contains(StateTroubles, f.Do):
		return fmt.Errorf("do: %q is none of %s", f.Do, strings.Join(StateTroubles, ", "))
	case f.Kind != Link && f.Kind != StateFolder && f.Do != "" || f.Kind != Link && f.From+f.To+f.Way != "":
		return fmt.Errorf("kind: %s takes no from, to, way or do", f.Kind)
	case f.Way != "" && f.Way != "both" && f.Way != "there" && f.Way != "back":
		return fmt.Errorf("way: %q is none of both, there, back", f.Way)
	case f.Do == "delay" && f.Size == 0 || f.Do == "rate" && f.Size == 0 || f.Do == "cut" && f.Size == 0:
		return fmt.Errorf("size: %s wants one", f.Do)
	}
	if f.Class != "" && !slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Name == f.Class }) {
		return fmt.Errorf("class: there is no %q", f.Class)
	}
	if f.Model != "" && !slices.ContainsFunc(s.Models, func(m Model) bool { return m.Name == f.Model }) {
		return fmt.Errorf("model: there is no %q", f.Model)
	}
	if f.Zone != "" && !slices.Contains(s.Zones, f.Zone) {
		return fmt.Errorf("zone: there is no %q", f.Zone)
	}
	return nil
}

// Op is what a step of the time line does.
type Op uint8

// The operations.
const (
	OpHang Op = iota // Flag: probes pass; Size above 0: what it took never runs
	OpUnhang
	OpSlow // of all nodes, Size times
	OpCut
	OpUncut
	OpDrain
	OpKill
	OpStart
	OpRegister  // Flag: it speaks
	OpHeavy     // Node is a class; Size times the work, of a share Extra
	OpKillProxy // Extra: seconds until it starts again; 0 is the usual time
	OpUpgradeProxy
	OpRestartProxy
	OpStopProxy
	OpGoOnProxy
	OpLink         // Node: the number of the fault; Flag: it begins
	OpRegisterBusy // Size: calls a second; Extra: seconds to come back after; Flag: it begins
	OpRegisterLost // Size: share of the list that is there; Flag: it begins
	OpState        // Node: a proxy; Do
	OpMoveRegister
	OpChangeServices // Size: how often it was changed before
	OpSilentWatch    // Node: a proxy; Flag: its open watch falls silent, else what that holds comes
)

// Step is one operation at its time.
type Step struct {
	At    time.Duration
	Op    Op
	Node  int // its number, a class or a proxy; -1 is all
	Size  float64
	Extra float64
	Flag  bool
	Do    string
}

// someProxies draws a share of the proxies, one at least.
func (s *Spec) someProxies(share float64, rng *rand.Rand) []int {
	return rng.Perm(s.Proxies)[:max(1, int(math.Round(share*float64(s.Proxies))))]
}

// DrainFor is how long a node drains before its process ends. News of it takes a second and a half at most.
const DrainFor = 4 * time.Second

// mostChanges bounds the changes of one fault.
const mostChanges = 10_000

// downFor is how long a process is away between its end and its next start.
const downFor = 700 * time.Millisecond

// Plan lays all faults of a spec out on one time line. Nodes struck by overlapping faults differ where there are
// enough of them, so that one fault's end does not end the other.
func Plan(s *Spec, f *Fleet) []Step {
	var steps []Step
	rng := s.Stream(2)
	add := func(at time.Duration, op Op, node int, size float64) {
		steps = append(steps, Step{At: at, Op: op, Node: node, Size: size})
	}
	busy := map[int]time.Duration{} // by node: when its last fault has passed
	model := -1                     // of the fault at hand
	take := func(at, until time.Duration, share float64, rng *rand.Rand) []int {
		order := rng.Perm(len(f.Nodes))
		order = slices.DeleteFunc(order, func(i int) bool { return model >= 0 && f.Nodes[i].Model != model })
		n := max(1, int(math.Round(share*float64(len(order)))))
		slices.SortStableFunc(order, func(a, b int) int {
			return cmp.Compare(max(0, busy[a]-at), max(0, busy[b]-at))
		})
		chosen := order[:min(n, len(order))]
		for _, i := range chosen {
			busy[i] = max(busy[i], until)
		}
		return chosen
	}
	for no, ft := range s.Faults {
		u := kinds[ft.Kind]
		if ft.Share == 0 {
			ft.Share = u.share
		}
		if ft.Size == 0 {
			ft.Size = u.size
		}
		if ft.Extra == 0 {
			ft.Extra = u.extra
		}
		model = slices.IndexFunc(s.Models, func(m Model) bool { return m.Name == ft.Model })
		end := ft.At + ft.For
		switch ft.Kind {
		case Hang, BlackHole, ProbeOnly:
			for _, i := range take(ft.At, end, ft.Share, rng) {
				size := 0.0
				if ft.Kind == BlackHole {
					size = 1
				}
				steps = append(steps, Step{At: ft.At, Op: OpHang, Node: i, Size: size, Flag: ft.Kind == ProbeOnly})
				add(end, OpUnhang, i, 0)
			}
		case HeavyTail:
			class := max(0, slices.IndexFunc(s.Classes, func(c Class) bool { return c.Name == ft.Class }))
			steps = append(steps, Step{At: ft.At, Op: OpHeavy, Node: class, Size: ft.Size, Extra: ft.Extra},
				Step{At: end, Op: OpHeavy, Node: class, Size: 1})
		case AllSlow:
			if model < 0 {
				add(ft.At, OpSlow, -1, ft.Size)
				add(end, OpSlow, -1, 1)
				break
			}
			for i, n := range f.Nodes {
				if n.Model == model {
					add(ft.At, OpSlow, i, ft.Size)
					add(end, OpSlow, i, 1)
				}
			}
		case CutOff:
			for _, i := range take(ft.At, end, ft.Share, rng) {
				add(ft.At, OpCut, i, 0)
				add(end, OpUncut, i, 0)
			}
		case ZoneLoss:
			zone := max(0, slices.Index(s.Zones, ft.Zone))
			for i, n := range f.Nodes {
				if n.Zone == zone {
					add(ft.At, OpCut, i, 0)
					add(end, OpUncut, i, 0)
				}
			}
		case RestartStorm:
			every := ft.Every
			if every == 0 {
				every = 300 * time.Millisecond
			}
			for k, i := range take(ft.At, ft.At+10*time.Second, ft.Share, rng) {
				at := ft.At + time.Duration(k)*every
				add(at, OpKill, i, 0)
				add(at+downFor, OpStart, i, 0)
			}
		case RollingRestart:
			every := ft.Every
			if every == 0 {
				every = 2 * time.Second
			}
			for k, i := range take(ft.At, ft.At+20*time.Second, ft.Share, rng) {
				at := ft.At + time.Duration(k)*every
				add(at, OpDrain, i, 0)
				add(at+DrainFor, OpKill, i, 0)
				add(at+DrainFor+downFor, OpStart, i, 0)
			}
		case RegisterStale:
			add(ft.At, OpRegister, -1, 0)
			steps = append(steps, Step{At: end, Op: OpRegister, Node: -1, Flag: true})
		case ChangeServices:
			every := ft.Every
			if every == 0 {
				every = 100 * time.Millisecond
			}
			n := 0
			for at := ft.At; at < end && n < mostChanges; at += every {
				add(at, OpChangeServices, -1, float64(n))
				n++
			}
		case MoveRegister:
			add(ft.At, OpMoveRegister, -1, 0)
		case KillProxy, UpgradeProxy, RestartProxy:
			op, every := map[string]Op{KillProxy: OpKillProxy, UpgradeProxy: OpUpgradeProxy, RestartProxy: OpRestartProxy}[ft.Kind], ft.Every
			if ft.Kind != KillProxy && every == 0 {
				every = 3 * time.Second
			}
			for k, i := range s.someProxies(ft.Share, rng) {
				steps = append(steps, Step{At: ft.At + time.Duration(k)*every, Op: op, Node: i, Extra: ft.For.Seconds()})
			}
		case StopProxy:
			for k, i := range s.someProxies(ft.Share, rng) {
				at := ft.At + time.Duration(k)*ft.Every
				add(at, OpStopProxy, i, 0)
				add(at+ft.For, OpGoOnProxy, i, 0)
			}
		case SilentWatch:
			for _, i := range s.someProxies(ft.Share, rng) {
				steps = append(steps, Step{At: ft.At, Op: OpSilentWatch, Node: i, Flag: true})
				if ft.For > 0 {
					add(end, OpSilentWatch, i, 0)
				}
			}
		case StateFolder:
			for _, i := range s.someProxies(ft.Share, rng) {
				steps = append(steps, Step{At: ft.At, Op: OpState, Node: i, Do: ft.Do})
			}
		case Link, RegisterBusy, RegisterLost:
			op := map[string]Op{Link: OpLink, RegisterBusy: OpRegisterBusy, RegisterLost: OpRegisterLost}[ft.Kind]
			size := ft.Size
			if ft.Kind == RegisterLost {
				size = ft.Share
			}
			steps = append(steps, Step{At: ft.At, Op: op, Node: no, Size: size, Extra: ft.Extra, Flag: true})
			if ft.Do != "reset" {
				add(end, op, no, size)
			}
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}
