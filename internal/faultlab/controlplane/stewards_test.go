// Package controlplane has real steward processes, breaks them, and counts what proxies' links let out meanwhile.
package controlplane

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/controlplane/client"
	"lapisspread/internal/faultlab/testbinary"
)

func TestMain(m *testing.M) {
	if path := os.Getenv("DRAW_BY"); path != "" {
		drawer(path, os.Getenv("DRAW_COUNT"))
		return
	}
	if path := os.Getenv("FOLLOW_BY"); path != "" {
		follower(path, os.Getenv("FOLLOW_COUNT"), os.Getenv("FOLLOW_STATE"))
		return
	}
	testbinary.Main(m)
}

// page is what a drawer shares with the test: a pipe would tell late.
type page struct{ out, granted atomic.Int64 }

func mapped(path string) (*page, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err := f.Truncate(4096); err != nil {
		return nil, err
	}
	mem, err := syscall.Mmap(int(f.Fd()), 0, 4096, syscall.PROT_READ|syscall.PROT_WRITE, syscall.MAP_SHARED)
	if err != nil {
		return nil, err
	}
	return (*page)(unsafe.Pointer(&mem[0])), nil
}

// drawer is a process that draws all it can as p2, and sends what is not over by then, until it is killed.
func drawer(path, count string) {
	f, err := api.Load(path)
	if err != nil {
		panic(err)
	}
	p, err := mapped(count)
	if err != nil {
		panic(err)
	}
	l := client.NewQuotaClient(client.Config{File: f, ProxyName: "p2"})
	go l.Run(context.Background())
	sight, err := l.ForService("", nil, nil)
	if err != nil {
		panic(err)
	}
	for {
		if permit, ok := sight.Acquire(0, 0, true); ok && !sight.Expired(permit) {
			p.out.Add(1)
			continue
		}
		p.granted.Store(int64(l.Status().Quotas["all"].Granted))
		time.Sleep(time.Millisecond)
	}
}

const (
	whole = 1000.0
	burst = 100.0
	floor = 100.0 // of p1, out of the whole
	lease = time.Second
)

// site is three stewards, each a process, and links that draw all they can.
type site struct {
	t      *testing.T
	dir    string
	path   string
	file   *api.Config
	client *http.Client
	run    [3]*exec.Cmd

	links map[string]*link
}

type link struct {
	*client.QuotaClient
	end func()
}

// process has p2 in a process of its own.
func (s *site) process() (*exec.Cmd, *page) {
	count := filepath.Join(s.dir, "count")
	p, err := mapped(count)
	s.must(err)
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), "DRAW_BY="+s.path, "DRAW_COUNT="+count)
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	s.must(c.Start())
	s.t.Cleanup(func() { _ = c.Process.Kill(); _ = c.Wait() })
	return c, p
}

// sample is how much was let out by all in turn, read between two moments.
type sample struct {
	from, to time.Duration
	n        int64
}

func newSite(t *testing.T) *site {
	s := &site{t: t, dir: t.TempDir(), client: &http.Client{Transport: &http.Transport{}}, links: map[string]*link{}}
	text := fmt.Sprintf("version = 1\nfleet = \"north\"\nlongest = %q\nstate = %q\n", lease, filepath.Join(s.dir, "proxies"))
	var held []net.Listener
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		s.must(err)
		held = append(held, l)
		text += fmt.Sprintf("[[stewards]]\nname = \"s%d\"\nnumber = %d\naddress = %q\n", i+1, i+1, l.Addr().String())
	}
	text += fmt.Sprintf("[[budgets]]\nname = \"all\"\nof = { counts = \"attempts\" }\nwhole = %f\nburst = %f\nlease = %q\nfloors = { p1 = %f }\n", whole, burst, lease, floor)
	s.path = filepath.Join(s.dir, "fleet.toml")
	s.must(os.WriteFile(s.path, []byte(text), 0o600))
	var err error
	s.file, err = api.Load(s.path)
	s.must(err)
	for i := range 3 {
		s.must(held[i].Close())
		s.start(i)
	}
	t.Cleanup(func() {
		for _, l := range s.links {
			l.end()
		}
		for i := range 3 {
			s.kill(i)
		}
		s.client.CloseIdleConnections()
	})
	return s
}

func (s *site) must(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

func (s *site) start(i int) {
	s.t.Helper()
	name := fmt.Sprint("s", i+1)
	c := exec.Command(testbinary.Proxy(s.t), "steward", "--fleet", s.path, "--name", name, "--state", filepath.Join(s.dir, name))
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	s.must(c.Start())
	s.run[i] = c
}

func (s *site) signal(i int, sig os.Signal) { s.must(s.run[i].Process.Signal(sig)) }

func (s *site) kill(i int) {
	if c := s.run[i]; c != nil {
		_ = c.Process.Kill()
		_ = c.Wait()
		s.run[i] = nil
	}
}

// foundAs founds the fleet under an epoch. The word may be given again: a disk that is slow takes longer than a call waits.
func (s *site) foundAs(epoch string) {
	s.t.Helper()
	s.until("the fleet is founded", func() bool {
		return exec.Command(testbinary.Proxy(s.t), "fleet", "found", s.path, "--epoch", epoch).Run() == nil
	})
}

// order runs an operator's command.
func (s *site) order(args ...string) string {
	s.t.Helper()
	out, err := exec.Command(testbinary.Proxy(s.t), append([]string{"fleet"}, args...)...).CombinedOutput()
	if err != nil {
		s.t.Fatalf("%v: %v: %s", args, err, out)
	}
	return string(out)
}

func (s *site) until(what string, is func() bool) {
	s.t.Helper()
	for end := time.Now().Add(60 * time.Second); !is(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			for name, l := range s.links {
				s.t.Logf("%s: %+v", name, l.Status())
			}
			s.t.Fatalf("in vain: %s", what)
		}
	}
}

func (s *site) leader(not int) (lead int) {
	s.t.Helper()
	s.until("a leader", func() bool {
		for i, o := range s.file.Servers {
			var st api.ServerStatus
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			err := api.Call(ctx, s.client, o.Address, api.PathStatus, nil, &st)
			cancel()
			if err == nil && st.Role == "StateLeader" && i != not {
				lead = i
				return true
			}
		}
		return false
	})
	return lead
}

// join starts a link of a name, under a key of the test's, and has it draw all it can.
func (s *site) join(key, name string) {
	l := client.NewQuotaClient(client.Config{File: s.file, ProxyName: name})
	sight, err := l.ForService("", nil, nil)
	s.must(err)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { l.Run(ctx) })
	running.Go(func() {
		for ctx.Err() == nil {
			if _, ok := sight.Acquire(0, 0, true); !ok {
				time.Sleep(time.Millisecond)
			}
		}
	})
	s.links[key] = &link{l, func() { cancel(); running.Wait() }}
}

func (s *site) leave(key string) {
	s.links[key].end()
	delete(s.links, key)
}

func (s *site) granted() (all float64) {
	for _, l := range s.links {
		b := l.Status().Quotas["all"]
		all += b.Granted + b.Floor
	}
	return all
}

// watch samples what the links let out until the function that it gives is called, which gives the worst: by how much any window had
// more than a rate and a burst allow.
func (s *site) watch(rate, burst float64, pages ...*page) (end func() (over float64, n int64)) {
	links := make([]*link, 0, len(s.links))
	for _, l := range s.links {
		links = append(links, l)
	}
	begun := time.Now()
	var all []sample
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() {
		for ctx.Err() == nil {
			one := sample{from: time.Since(begun)}
			for _, l := range links {
				one.n += l.Status().Quotas["all"].Admitted
			}
			for _, p := range pages {
				one.n += p.out.Load()
			}
			one.to = time.Since(begun)
			all = append(all, one)
			time.Sleep(20 * time.Millisecond)
		}
	})
	return func() (float64, int64) {
		cancel()
		running.Wait()
		return worst(all, rate, burst), all[len(all)-1].n - all[0].n
	}
}

// worst is by how much the fullest window has more than is allowed; below 0 is that none has.
func worst(all []sample, rate, burst float64) float64 {
	most := -1e9
	for i, a := range all {
		for _, b := range all[i+1:] {
			most = max(most, float64(b.n-a.n)-rate*(b.to-a.from).Seconds()-burst)
		}
	}
	return most
}

// The check convicts what is over in any window, however little was let out before and after.
func TestTheCheckConvicts(t *testing.T) {
	at := func(n ...int64) (all []sample) {
		for i, one := range n {
			all = append(all, sample{time.Duration(i) * time.Second, time.Duration(i)*time.Second + time.Millisecond, one})
		}
		return all
	}
	for _, c := range []struct {
		all  []sample
		over bool
	}{{at(0, 100, 200, 300), false}, {at(0, 0, 0, 111, 111), true}, {at(0, 0, 0, 109, 209), false}, {at(0, 105, 210, 315, 420), true}} {
		if got := worst(c.all, 100, 10) > 0; got != c.over {
			t.Errorf("%v: %v", c.all, got)
		}
	}
}

func (s *site) never(what string, end func() (float64, int64)) int64 {
	s.t.Helper()
	over, n := end()
	s.t.Logf("%s: %d let out, the fullest window is %.1f beside what is allowed", what, n, over)
	if over > 0 {
		s.t.Errorf("%s: a window has %.1f more than is allowed", what, over)
	}
	return n
}

func founded(t *testing.T) *site {
	s := newSite(t)
	s.until("the stewards listen", func() bool {
		_, errs := s.file.ServerStatuses(t.Context(), s.client)
		return errs[0] == nil && errs[1] == nil && errs[2] == nil
	})
	s.foundAs("1")
	s.order("set", s.path, "--wait", "60s")
	return s
}

// A proxy that is stopped past its lease, amid its sends, and woken.
func TestAProxyThatWasStoppedSpendsNothingOfOthers(t *testing.T) {
	s := founded(t)
	s.join("p1", "p1")
	p2, page := s.process()
	both := func() bool { return s.granted() == 550 && page.granted.Load() == 450 }
	s.until("both have their part", both)
	end := s.watch(whole, burst, page)
	for range 3 {
		s.must(p2.Process.Signal(syscall.SIGSTOP))
		s.until("who is there has all of it", func() bool { return s.granted() == whole })
		time.Sleep(lease)
		s.must(p2.Process.Signal(syscall.SIGCONT))
		s.until("both have their part again", both)
	}
	if n := s.never("a proxy stopped and woken", end); n < 1000 {
		t.Errorf("only %d were let out: it proves nothing", n)
	}
}

func TestNeverOverTheWholeAndAtLastAllOfIt(t *testing.T) {
	s := founded(t)
	s.join("p1", "p1")
	s.join("p2", "p2")
	all := func() bool { return s.granted() == whole }
	s.until("the whole is granted, with the floor", func() bool {
		return all() && s.links["p1"].Status().Quotas["all"].Floor == floor
	})
	s.until("status says so", func() bool {
		return strings.Contains(s.order("status", s.path), "budget all: 1000 of 1000 a second is out")
	})

	end := s.watch(whole, burst)
	lead := s.leader(-1)
	s.kill(lead)
	second := s.leader(lead)
	s.until("the whole is granted under another leader", all)
	s.start(lead)

	s.signal(second, syscall.SIGSTOP)
	third := s.leader(second)
	time.Sleep(3 * lease)
	s.until("the whole is granted while the leader is stopped", all)
	s.signal(second, syscall.SIGCONT)
	time.Sleep(2 * lease)
	s.until("the whole is granted once it was woken", all)
	s.until("all three speak", func() bool {
		st, _ := s.file.ServerStatuses(t.Context(), s.client)
		return len(st[0].UnconfirmedServers)+len(st[1].UnconfirmedServers)+len(st[2].UnconfirmedServers) == 0 && st[0].Applied > 0 && st[1].Applied > 0 && st[2].Applied > 0
	})
	s.kill(third)
	s.kill((third + 1) % 3)
	s.until("a minority grants nothing", func() bool { return s.granted() <= floor })
	if n := s.never("leaders killed and stopped", end); n < 100 {
		t.Errorf("only %d were let out: it proves nothing", n)
	}

	// Cut off from a majority p1 goes on with its floor, and a copy of it that was started by mistake adds nothing.
	s.join("copy", "p1")
	time.Sleep(lease) // what is left of leases
	end = s.watch(floor, burst*floor/whole)
	time.Sleep(2 * time.Second)
	if n := s.never("a floor, with a copy", end); n == 0 {
		t.Error("the floor gave nothing")
	}
	if r := s.links["copy"].Status(); r.FloorsClaimed || r.Quotas["all"].Floor > 0 {
		t.Errorf("the copy has the floor too: %+v", r)
	}
	end = s.watch(floor, burst*floor/whole)
	s.leave("p1") // as at an upgrade: the lock falls to the copy
	s.until("the copy has the floor", func() bool { return s.links["copy"].Status().Quotas["all"].Floor == floor })
	time.Sleep(time.Second)
	s.never("the floor falls to the copy", end)

	s.start(third)
	s.start((third + 1) % 3)
	end = s.watch(whole, burst)
	s.until("the whole is granted once the stewards are back", all)
	s.never("the stewards are back", end)
	for i := range 3 {
		s.signal(i, syscall.SIGTERM)
		if err := s.run[i].Wait(); err != nil {
			t.Errorf("a steward ended by SIGTERM: %v", err)
		}
		s.run[i] = nil
	}
}
