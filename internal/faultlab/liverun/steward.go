package liverun

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/faultlab/linkfault"
	"lapisspread/internal/faultlab/loopbackaddr"
)

func stewardName(no int) string { return fmt.Sprintf("s%d", no+1) }

// steward is a steward's place: a process or none.
type steward struct {
	r     *Run
	no    int
	addr  string
	state string
	other atomic.Pointer[string] // who answers proxies in its place; nil is itself

	mu     sync.Mutex
	proc   *process // the last one
	over   bool     // no more are started
	starts int      // processes that were started
}

// startStewards starts all stewards and has them divide the budgets.
func (r *Run) startStewards(ctx context.Context) error {
	o := r.opts.Fleet
	if o == nil {
		return nil
	}
	for no := range o.Stewards {
		at, err := loopbackaddr.Addr()
		if err != nil {
			return fmt.Errorf("steward %d: an address: %w", no, err)
		}
		s := &steward{r: r, no: no, addr: at, state: filepath.Join(r.tmp, "steward-"+stewardName(no))}
		r.stewards = append(r.stewards, s)
	}
	for no := range r.spec.Proxies {
		for _, s := range r.stewards {
			if err := r.paths.toSteward(fmt.Sprintf("proxy-%d", no), s, s.seen); err != nil {
				return err
			}
		}
	}
	for _, from := range r.stewards {
		for _, s := range r.stewards {
			if from != s {
				if err := r.paths.toSteward(from.name(), s, func() string { return s.addr }); err != nil {
					return err
				}
			}
		}
	}
	if err := r.writeFleet(); err != nil {
		return err
	}
	for _, s := range r.stewards {
		if err := s.start(); err != nil {
			return err
		}
	}
	f, err := r.operatorsFile()
	if err != nil {
		return err
	}
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	if err := until(ctx, stewardsWait, "the stewards are founded", func() error { return f.Bootstrap(ctx, client, 1) }); err != nil {
		return err
	}
	if err := until(ctx, stewardsWait+o.Longest, "budgets are set", func() error { _, err := f.SetQuotas(ctx, client, 0, nil); return err }); err != nil {
		return err
	}
	r.newSpending()
	return nil
}

// stewardsWait is how long stewards may take for what needs a leader.
const stewardsWait = 30 * time.Second

// until does something again until it works.
func until(ctx context.Context, most time.Duration, what string, do func() error) error {
	end := time.Now().Add(most)
	for {
		err := do()
		if err == nil {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("not within %v: %s: %w", most, what, err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// toSteward lays a link.
func (p *paths) toSteward(from string, s *steward, target func() string) error {
	l, err := p.fabric.Link(from, s.name(), net.IPv4(127, 0, 0, 1), target)
	p.stewards[[2]string{from, s.name()}] = l
	return err
}

// writeFleet writes the fleet's file for each process, as that one reaches the stewards, and for the operator.
func (r *Run) writeFleet() error {
	write := func(who, state string, at func(s *steward) string) error {
		var all []string
		for _, s := range r.stewards {
			all = append(all, at(s))
		}
		path := filepath.Join(r.tmp, "fleet-"+who+".toml")
		if err := os.WriteFile(path+".new", []byte(r.fleetText(state, all)), 0o600); err != nil {
			return err
		}
		return os.Rename(path+".new", path)
	}
	by := func(from string) func(s *steward) string {
		return func(s *steward) string {
			if l := r.paths.stewards[[2]string{from, s.name()}]; l != nil {
				return l.Addr()
			}
			return s.addr
		}
	}
	errs := []error{write("operator", "", by("operator"))}
	for no := range r.spec.Proxies {
		errs = append(errs, write(fmt.Sprint(no), filepath.Join(r.tmp, fmt.Sprintf("state-%d", no)), by(fmt.Sprintf("proxy-%d", no))))
	}
	for _, s := range r.stewards {
		errs = append(errs, write(s.name(), "", by(s.name())))
	}
	return errors.Join(errs...)
}

// operatorsFile is the file of an operator, who reaches all stewards, whatever the fabric does.
func (r *Run) operatorsFile() (*api.Config, error) {
	return api.Load(filepath.Join(r.tmp, "fleet-operator.toml"))
}

func (s *steward) name() string { return fmt.Sprintf("steward-%d", s.no) }

// seen is who answers proxies.
func (s *steward) seen() string {
	if other := s.other.Load(); other != nil {
		return *other
	}
	return s.addr
}

// start starts a process in the place, which must be empty.
func (s *steward) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		return errors.New("the run is over")
	}
	p := &process{done: make(chan struct{})}
	binary := Alternate(s.r.opts.Binary, s.r.opts.OtherBinary, s.no+s.starts)
	s.starts++
	p.cmd = exec.Command(binary, "steward", "--fleet", filepath.Join(s.r.tmp, "fleet-"+s.name()+".toml"), "--name", stewardName(s.no),
		"--state", s.state, "--listen", s.addr)
	p.cmd.Env = append(os.Environ(), s.r.opts.Env...)
	if err := s.r.launch(p, func() { s.ended(p) }); err != nil {
		return fmt.Errorf("steward %d: %w", s.no, err)
	}
	s.proc = p
	return nil
}

// ended notes the end of a process. One that was not told to end is a problem of the run.
func (s *steward) ended(p *process) {
	s.mu.Lock()
	expected := p.expected || s.over
	s.mu.Unlock()
	if !expected {
		s.r.mu.Lock()
		s.r.problem("steward %d ended by itself: %v%s", s.no, p.err, p.lastLines())
		s.r.mu.Unlock()
	}
}

// kill is SIGKILL. It returns once the process has ended.
func (s *steward) kill() {
	s.mu.Lock()
	p := s.proc
	p.expected = true
	s.mu.Unlock()
	_ = p.cmd.Process.Kill() // it may have ended
	<-p.done
}

func (s *steward) signal(sig os.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.proc.cmd.Process.Signal(sig) // it may have ended
}

// endStewards ends all in order.
func (r *Run) endStewards() {
	var all sync.WaitGroup
	for _, s := range r.stewards {
		s.mu.Lock()
		s.over = true
		p := s.proc
		s.mu.Unlock()
		if p == nil {
			continue
		}
		all.Go(func() {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Signal(syscall.SIGTERM)
			select {
			case <-p.done:
			case <-time.After(killAfter):
				_ = p.cmd.Process.Kill()
				<-p.done
			}
		})
	}
	all.Wait()
}

// Stewards are the numbers of all stewards.
func (f *Fleet) Stewards() []int {
	all := make([]int, len(f.r.stewards))
	for i := range all {
		all[i] = i
	}
	return all
}

// KillSteward ends stewards by SIGKILL.
func (f *Fleet) KillSteward(stewards ...int) {
	var all sync.WaitGroup
	for _, no := range stewards {
		all.Go(f.r.stewards[no].kill)
	}
	all.Wait()
}

// StartSteward starts stewards again that were killed.
func (f *Fleet) StartSteward(stewards ...int) error {
	var errs []error
	for _, no := range stewards {
		errs = append(errs, f.r.stewards[no].start())
	}
	return errors.Join(errs...)
}

// StopSteward takes the processor from stewards, GoOnSteward gives it back.
func (f *Fleet) StopSteward(stewards ...int) {
	for _, no := range stewards {
		f.r.stewards[no].signal(syscall.SIGSTOP)
	}
}

// GoOnSteward gives stewards their processor back.
func (f *Fleet) GoOnSteward(stewards ...int) {
	for _, no := range stewards {
		f.r.stewards[no].signal(syscall.SIGCONT)
	}
}

// KeepStore keeps a copy of the store of a steward that is killed; OldStore puts it in place of what stands there by then.
func (f *Fleet) KeepStore(no int) error {
	s := f.r.stewards[no]
	if err := os.RemoveAll(s.state + ".older"); err != nil {
		return err
	}
	return os.CopyFS(s.state+".older", os.DirFS(s.state))
}

// OldStore puts back what KeepStore has kept. The steward must be killed.
func (f *Fleet) OldStore(no int) error {
	if err := f.LoseStore(no); err != nil {
		return err
	}
	s := f.r.stewards[no]
	return os.CopyFS(s.state, os.DirFS(s.state+".older"))
}

// LoseStore removes the store of a steward that is killed.
func (f *Fleet) LoseStore(no int) error { return os.RemoveAll(f.r.stewards[no].state) }

// CutStewards holds all that goes from some processes to some stewards, such as "proxy-0" to "steward-*", in one direction or
// both, until end is called.
func (f *Fleet) CutStewards(from, to string, way linkfault.Way) (end func() error, err error) {
	return f.r.paths.fabric.Apply(linkfault.Rule{From: from, To: to, Way: way, Trouble: linkfault.Trouble{Silent: true}})
}

// Apart cuts stewards off from all processes, in both directions, until end is called.
func (f *Fleet) Apart(stewards ...int) (end func() error, err error) {
	var ends []func() error
	end = func() error {
		var errs []error
		for _, e := range ends {
			errs = append(errs, e())
		}
		return errors.Join(errs...)
	}
	for _, no := range stewards {
		name := f.r.stewards[no].name()
		for _, rule := range []linkfault.Rule{{To: name}, {From: name}} {
			rule.Silent = true
			e, err := f.r.paths.fabric.Apply(rule)
			if err != nil {
				return end, errors.Join(err, end())
			}
			ends = append(ends, e)
		}
	}
	return end, nil
}

// Answers has somebody else, who listens at an address, answer the proxies in place of a steward; empty is itself again.
func (f *Fleet) Answers(no int, addr string) {
	s := f.r.stewards[no]
	if addr == "" {
		s.other.Store(nil)
	} else {
		s.other.Store(&addr)
	}
	f.r.paths.fabric.Reset("proxy-*", s.name())
}

// statuses asks all stewards how they stand, over ways that nothing is done to; nil is one that gave no answer.
func (f *Fleet) statuses() ([]*api.ServerStatus, error) {
	file, err := f.r.operatorsFile()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(f.ctx, time.Second)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	out := make([]*api.ServerStatus, len(file.Servers))
	var all sync.WaitGroup
	for i, s := range file.Servers {
		all.Go(func() {
			var st api.ServerStatus
			if api.CallWithTimeout(ctx, client, s.Address, api.PathStatus, nil, &st) == nil {
				out[i] = &st
			}
		})
	}
	all.Wait()
	return out, nil
}

// stand is how stewards and proxies say that they stand, to be put behind an error; empty without stewards.
func (f *Fleet) stand() string {
	if len(f.r.stewards) == 0 {
		return ""
	}
	var b strings.Builder
	all, err := f.statuses()
	for no, s := range all {
		text, _ := json.Marshal(s) // it can always be
		fmt.Fprintf(&b, "\nsteward %d: %s", no, text)
	}
	if err != nil {
		fmt.Fprintf(&b, "\nstewards: %v", err)
	}
	for _, no := range f.All() {
		text, err := call(f.r.proxies[no].newest().console, "FLEET")
		head, _, _ := strings.Cut(text, "\n")
		fmt.Fprintf(&b, "\nproxy %d: %s %v", no, head, err)
	}
	return b.String()
}

// leading is the leader with the highest term of those who answer; nil is none.
func (f *Fleet) leading() (at int, led *api.ServerStatus, err error) {
	all, err := f.statuses()
	for i, s := range all {
		if s != nil && s.Name == s.LeaderName && (led == nil || s.Term > led.Term) {
			at, led = i, s
		}
	}
	return at, led, err
}

// Leader waits until a steward leads, and tells which one.
func (f *Fleet) Leader() (no int, err error) {
	err = f.Await("a steward that leads", func() bool {
		at, led, err := f.leading()
		no = at
		return err == nil && led != nil
	})
	return no, err
}

// WaitGranted waits until so many units of a budget are out, at least or at most, by the book of whoever leads.
func (f *Fleet) WaitGranted(budget string, least, most float64) error {
	return f.Await(fmt.Sprintf("%s: between %v and %v units granted", budget, least, most), func() bool {
		_, led, err := f.leading()
		if err != nil || led == nil {
			return false
		}
		for _, b := range led.Quotas {
			if b.Name == budget {
				return b.Granted >= least && b.Granted <= most
			}
		}
		return false
	})
}

// NextLeader waits until a steward other than this one leads, by the word of those that answer.
func (f *Fleet) NextLeader(but int) error {
	return f.Await(fmt.Sprintf("a steward other than %d that leads", but), func() bool {
		at, led, err := f.leading()
		return err == nil && led != nil && at != but
	})
}

// Leaderless waits until all stewards answer and each seeks votes in vain: none leads, none has word of one that does.
func (f *Fleet) Leaderless() error {
	return f.Await("stewards that all seek votes in vain", func() bool {
		all, err := f.statuses()
		return err == nil && !slices.ContainsFunc(all, func(s *api.ServerStatus) bool { return s == nil || !strings.HasSuffix(s.Role, "Candidate") })
	})
}

// Ended waits until these proxies hold no grant of a budget any more, by what FLEET tells of each. Floors are none.
func (f *Fleet) Ended(budget string, proxies ...int) error {
	for _, no := range proxies {
		var failed error
		if err := f.Await(fmt.Sprintf("proxy %d: the end of its grant of %s", no, budget), func() bool {
			var granted float64
			granted, failed = f.held(no, budget)
			return failed == nil && granted == 0
		}); err != nil {
			return errors.Join(err, failed)
		}
	}
	return nil
}

// held is what FLEET tells of a proxy's grant of a budget: units a second.
func (f *Fleet) held(no int, budget string) (float64, error) {
	text, err := call(f.r.proxies[no].newest().console, "FLEET")
	if err != nil {
		return 0, fmt.Errorf("proxy %d: its console: %w", no, err)
	}
	var told struct {
		Budgets map[string]struct{ Granted float64 }
	}
	head, _, _ := strings.Cut(text, "\n")
	if err := json.Unmarshal([]byte(head), &told); err != nil {
		return 0, fmt.Errorf("proxy %d: FLEET tells %q: %w", no, text, err)
	}
	b, ok := told.Budgets[budget]
	if !ok {
		return 0, fmt.Errorf("proxy %d: FLEET tells %q, and nothing of %s", no, text, budget)
	}
	return b.Granted, nil
}

// SetWhole changes the whole of a budget, by an operator who reaches all stewards. It returns once that is committed; a lower
// one is judged from when the last grant of before must have ended.
func (f *Fleet) SetWhole(budget string, units, burst float64) error {
	r := f.r
	at := -1
	r.mu.Lock()
	for i := range r.opts.Fleet.Budgets {
		if r.opts.Fleet.Budgets[i].Name == budget {
			at = i
		}
	}
	if at < 0 {
		r.mu.Unlock()
		return fmt.Errorf("there is no budget %q", budget)
	}
	b := &r.opts.Fleet.Budgets[at]
	lower, lease := units < b.Limit, time.Duration(b.LeaseDuration)
	b.Limit, b.Burst = units, burst
	if !lower {
		r.spending.Change(at, judgedWhole(r.now(), units, burst))
	}
	err := r.writeFleet()
	r.mu.Unlock()
	if err != nil {
		return err
	}
	file, err := r.operatorsFile()
	if err != nil {
		return err
	}
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	if err := until(f.ctx, stewardsWait, "budgets are set", func() error { _, err := file.SetQuotas(f.ctx, client, 0, nil); return err }); err != nil {
		return err
	}
	if lower {
		r.mu.Lock()
		r.spending.Change(at, judgedWhole(r.now()+lease, units, burst))
		r.mu.Unlock()
	}
	return nil
}

// FoundAnew is the operator's word that the fleet begins anew under an epoch, and its budgets under a version that no proxy can
// know yet: stewards that lost their stores don't know which they told.
func (f *Fleet) FoundAnew(epoch uint64) error {
	file, err := f.r.operatorsFile()
	if err != nil {
		return err
	}
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	if err := until(f.ctx, stewardsWait, "the stewards are founded anew", func() error { return file.Bootstrap(f.ctx, client, epoch) }); err != nil {
		return err
	}
	return until(f.ctx, stewardsWait+f.r.opts.Fleet.Longest, "budgets are set", func() error { _, err := file.SetQuotas(f.ctx, client, 1000*epoch, nil); return err })
}
