// Package capacity plays a fleet's control at the size that a machine holds: real stewards, some real proxies with clients and stand-in
// backends, and hollow proxies beside them, many to a process. A hollow proxy runs the control code of `serve` for policy and budgets on
// loopback connections of its own and holds its own copy of what it takes up; it has no listener, engine or backend. What is in force
// is seen, not believed: each proxy is asked how it decides a request of the route that was changed.
package capacity

import (
	"errors"
	"fmt"
	"os/exec"
	"runtime"
	"strings"
	"syscall"
	"time"

	"lapisspread/internal/policy/namespace"
)

// Flaws that a hollow proxy can be given, for the trial of the measuring.
const (
	FlawNothing = "nothing" // it takes nothing up
	FlawLate    = "late"    // it takes up LateBy after it was told
	FlawWrong   = "wrong"   // it takes up something else
	FlawLies    = "lies"    // it says that it has what it was offered, and decides by the old
)

// LateBy is by how much a proxy with FlawLate is late. Duties that stand still for 8 s are begun anew.
const LateBy = 4 * time.Second

// MostProcesses are started at most, this one included.
const MostProcesses = 200

// Settings of a run. Times are real ones.
type Settings struct {
	Proxies  int // in all, with the real ones
	Real     int
	Each     int // hollow ones to a process
	Services int
	Routes   int
	Tenants  int
	Teams    int // 0 is one for each 500 routes, 4 at least
	Budgets  int

	Every    time.Duration // between two changes
	Duration time.Duration // of the changes
	Rest     time.Duration // watched before the first change
	Settle   time.Duration // for which the last changes may take at most
	Start    time.Duration // in which all must have begun with one policy

	Watch  time.Duration // of the fleet's file; 0 is left out
	Enough int64         // likewise
	Rate   float64       // requests a second that each hollow proxy counts
	Bad    float64       // the mean share of bad ones among them; each proxy's own is drawn around it
	Seed   uint64
	Faults bool
	Flaws  map[int]string // by number of the hollow proxy

	Binary string                           // the proxy's program
	Child  func() *exec.Cmd                 // runs Child of this package
	Say    func(format string, args ...any) // how it goes
}

// Defaults are for a minute on 8 cores.
func Defaults() Settings {
	return Settings{Proxies: 300, Real: 2, Each: 30, Services: 100, Routes: 1000, Tenants: 10000, Budgets: 2, Every: 3 * time.Second, Duration: 15 * time.Second,
		Rest: 8 * time.Second, Settle: 15 * time.Second, Start: 4 * time.Minute, Rate: 160, Bad: .002, Seed: 1}
}

// Check tells what makes no sense, and fills in what is left out.
func (s *Settings) Check() error {
	var errs []error
	bad := func(wrong bool, format string, args ...any) {
		if wrong {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	if s.Teams == 0 {
		s.Teams = max(4, (s.Routes+499)/500)
	}
	bad(s.Proxies < 2 || s.Proxies > 10_000, "proxies: %d is not within 2 and 10000", s.Proxies)
	bad(s.Real < 0 || s.Real > 40, "real: %d is not within 0 and 40", s.Real)
	bad(s.Proxies-s.Real < 1, "real: %d leaves no hollow proxy", s.Real)
	bad(s.Each < 1 || s.Each > 500, "each: %d is not within 1 and 500", s.Each)
	bad(s.Teams < 1 || s.Teams > s.Routes, "teams: %d of %d routes", s.Teams, s.Routes)
	bad(s.Routes > 100_000, "routes: %d; 100000 are the most", s.Routes)
	bad(s.Services < 2*s.Teams || s.Services > 5000, "services: %d is not within twice the teams, %d, and 5000", s.Services, 2*s.Teams)
	bad(s.Tenants < 0 || s.Tenants > 1_000_000, "tenants: %d is not within 0 and 1000000", s.Tenants)
	bad(s.Budgets < 0 || s.Budgets > 200, "budgets: %d is not within 0 and 200", s.Budgets)
	bad(s.Every < 100*time.Millisecond, "changes-every: %v is under 100ms", s.Every)
	bad(s.Duration < s.Every || s.Duration > time.Hour, "duration: %v is not within one change, %v, and an hour", s.Duration, s.Every)
	bad(s.Rest < time.Second || s.Settle < time.Second || s.Start < time.Second, "rest, settle and start: a second at least")
	bad(s.Rate < 0 || s.Rate > 10_000, "rate: %v is not within 0 and 10000", s.Rate)
	for no := range s.Flaws {
		bad(no >= s.Proxies-s.Real, "flaws: there is no hollow proxy %d", no)
	}
	return errors.Join(errs...)
}

func (s *Settings) hollow() int { return s.Proxies - s.Real }

// children are the processes with hollow proxies, without the one that calibrates.
func (s *Settings) children() int { return (s.hollow() + s.Each - 1) / s.Each }

// processes are all: this one, stewards, real proxies and the two beside which control is measured, hollow ones, the calibrating one.
func (s *Settings) processes() int {
	n := 1 + stewards + s.children() + 1 + s.Real
	if s.Real > 0 {
		n += 2
	}
	return n
}

const stewards = 3

// Need is what a run takes, worked out before it starts.
type Need struct {
	Processes   int     `json:"processes"`
	PolicyBytes int     `json:"policy_bytes"`   // encoded
	FileBytes   int     `json:"file_bytes"`     // the longest of a team
	EachMB      float64 `json:"hollow_live_mb"` // measured on one: what it holds of the policy
	RoomMB      float64 `json:"hollow_room_mb"` // what each may hold at most, with garbage
	Collect     int     `json:"hollow_gogc"`    // so much garbage, in percent of what is alive, stands before a collection
	Folders     bool    `json:"folders_in_memory"`
	MemoryMB    float64 `json:"memory_mb"`
	LimitMB     float64 `json:"limit_mb"` // half of the machine's
	Files       int     `json:"files"`    // open in the process that has most
	FilesLimit  int     `json:"files_limit"`
}

func (n Need) String() string {
	return fmt.Sprintf("%d processes of %d; a policy of %.2f MB, files of %.0f KB at most; %.1f MB for each hollow proxy (room for %.1f), %.0f MB of %.0f MB in all; %d of %d open files",
		n.Processes, MostProcesses, float64(n.PolicyBytes)/1e6, float64(n.FileBytes)/1e3, n.EachMB, n.RoomMB, n.MemoryMB, n.LimitMB, n.Files, n.FilesLimit)
}

// leastRoom is by how many times what is alive a process's memory must be larger, for its collector to come round.
const (
	leastRoom    = 1.15
	leastCollect = 10
)

// TooLarge is a run that does not fit on this machine.
type TooLarge struct {
	What string
	Need Need
}

func (e TooLarge) Error() string {
	return fmt.Sprintf("it does not fit: %s; it would need %v", e.What, e.Need)
}

// Advice is what whoever runs it can do.
func (TooLarge) Advice() string {
	return "Ask for fewer proxies, or a smaller policy; more hollow ones to a process take fewer processes."
}

// Fits measures what one proxy holds of the site's policy and works out what the run needs. The error is TooLarge.
func (s *Settings) Fits() (Need, error) {
	n := Need{Processes: s.processes()}
	st := newSite(s)
	p, longest, err := st.policy(0)
	if err != nil {
		return n, err
	}
	n.FileBytes = longest
	text := p.Encode()
	n.PolicyBytes = len(text)
	before := heap()
	held := make([]*decides, 2)
	for i := range held {
		t, err := takenOf(p)
		if err != nil {
			return n, err
		}
		if held[i], err = decideBy(nil, t, nil); err != nil {
			return n, err
		}
	}
	n.EachMB = max(0, heap()-before) / float64(len(held)) / 1e6
	runtime.KeepAlive(held)
	runtime.KeepAlive(p)
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return n, err
	}
	n.LimitMB = float64(info.Totalram) * float64(info.Unit) / 2e6
	// A steward keeps policies with their files, as text and parsed. What is left is parted among the hollow ones: the collectors of their
	// processes come round the more often.
	mb := float64(len(text)) / 1e6
	others := float64(s.children()+1)*12 + stewards*(40+50*mb) + float64(s.Real+2)*(60+2.5*n.EachMB+.3*float64(s.Services)) + 150
	n.MemoryMB = others + float64(s.hollow())*(leastRoom*n.EachMB+.7)
	n.RoomMB = (n.LimitMB - others) / float64(s.hollow())
	if folder := 1.5 * mb; n.RoomMB-folder > 1.5*n.EachMB+.7 {
		n.RoomMB -= folder
		n.Folders = true
	}
	n.Collect = percentOf(n.RoomMB-.7, max(.1, n.EachMB))
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return n, err
	}
	n.FilesLimit = int(min(files.Cur, 1<<30))
	n.Files = max(200+3*s.Proxies, 200+6*s.Each, 500+5*s.Services+10*s.children()) // a steward with all proxies, a child, this process
	switch {
	case n.Processes > MostProcesses:
		return n, TooLarge{"too many processes", n}
	case n.MemoryMB > n.LimitMB:
		return n, TooLarge{"under half of the machine's memory", n}
	case n.Files > n.FilesLimit:
		return n, TooLarge{"too many open files", n}
	}
	return n, nil
}

// heap is what is alive, in bytes.
func heap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// policy is what the site's files come to after so many changes, and the length of the longest file.
func (t *site) policy(changes int) (*namespace.Policy, int, error) {
	numbers := make([]int, t.teams)
	for team := range numbers {
		numbers[team] = t.number(team, changes)
	}
	return t.policyOf(numbers)
}

// policyOf is what files come to, by their teams' numbers.
func (t *site) policyOf(numbers []int) (*namespace.Policy, int, error) {
	charter, err := namespace.ParseDeclaration("charter", []byte(t.charter()))
	if err != nil {
		return nil, 0, err
	}
	var all []*namespace.File
	longest := 0
	for team, number := range numbers {
		text := t.fileOf(team, number)
		longest = max(longest, len(text))
		n, err := namespace.Parse(teamName(team), []byte(text))
		if err != nil {
			return nil, 0, err
		}
		all = append(all, n)
	}
	out := namespace.Merge(charter, nil, all)
	if len(out.Withheld) > 0 {
		return nil, 0, fmt.Errorf("the site's own files conflict: %s", strings.TrimSpace(out.Withheld[0].Error()))
	}
	return out.Policy, longest, nil
}
