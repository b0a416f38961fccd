package controlplane

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
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

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/controlplane/client"
	"lapisspread/internal/policy/rollout"
	"lapisspread/internal/policy/store"
)

// policyText is the file of a team: so many routes below its own path, one of which changes with each number.
func policyText(team string, number int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "version = 1\nnamespace = %q\nnumber = %d\n[[service]]\nname = \"s-%s\"\n", team, number, team)
	for i := range 40 {
		path := fmt.Sprintf("/%s/%d", team, i)
		if i == 0 {
			path += fmt.Sprintf("/of/%d", number)
		}
		fmt.Fprintf(&b, "[[route]]\nname = \"r%d\"\nhost = \"%s.org\"\npath_prefix = %q\nto = [{ service = \"s-%s\" }]\n", i, team, path, team)
	}
	return b.String()
}

var teams = []string{"alpha", "beta", "gamma", "delta", "epsilon"}

func charterOf() string {
	text := "version = 1\n"
	for _, n := range teams {
		text += fmt.Sprintf("[[namespace]]\nname = %q\nowner = \"o\"\nhosts = [\"%s.org\"]\nsettings = [\"route\", \"service\"]\n", n, n)
	}
	return text
}

// edge is a proxy's link with the policy, in the test's process, over a way of its own; its judge sees all that it takes up.
type edge struct {
	*client.PolicyClient
	name string
	way  *way
	end  func()

	mu     sync.Mutex
	last   rollout.Version
	crimes []string
}

// way is a proxy's link to the stewards: it may be cut, slow, and damage answers.
type way struct {
	http.RoundTripper
	cut    atomic.Bool
	slow   atomic.Int64 // nanoseconds that each answer takes longer
	damage atomic.Int64 // of a hundred answers with pieces, how many are damaged
}

type cutOff struct{}

func (cutOff) Error() string { return "cut off" }

func (w *way) RoundTrip(r *http.Request) (*http.Response, error) {
	if w.cut.Load() {
		return nil, cutOff{}
	}
	a, err := w.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if slow := time.Duration(w.slow.Load()); slow > 0 {
		select {
		case <-time.After(slow):
		case <-r.Context().Done():
			a.Body.Close()
			return nil, r.Context().Err()
		}
	}
	if w.cut.Load() {
		a.Body.Close()
		return nil, cutOff{}
	}
	if rand.Int64N(100) < w.damage.Load() {
		text, err := io.ReadAll(a.Body)
		a.Body.Close()
		if err == nil && len(text) > 400 { // the tail of long answers is pieces
			text[len(text)-1-rand.IntN(len(text)/4)] ^= 1 << rand.IntN(8)
		}
		a.Body = io.NopCloser(strings.NewReader(string(text)))
	}
	return a, nil
}

// fleetOf is proxies before real stewards, with what was offered to them.
type fleetOf struct {
	*site
	edges  map[string]*edge
	number map[string]int
	dir    string
}

func policySite(t *testing.T) *fleetOf {
	s := newSite(t)
	text, err := os.ReadFile(s.path)
	s.must(err)
	s.must(os.WriteFile(s.path, append(text, "[policy]\nstep = \"400ms\"\nwatch = \"5s\"\nenough = 50\nsilent = \"2s\"\n"...), 0o600))
	for i := range 3 { // they have read it without the table
		s.kill(i)
		s.start(i)
	}
	s.file, err = api.Load(s.path)
	s.must(err)
	f := &fleetOf{site: s, edges: map[string]*edge{}, number: map[string]int{}, dir: t.TempDir()}
	s.until("the stewards listen", func() bool {
		_, errs := s.file.ServerStatuses(t.Context(), s.client)
		return errs[0] == nil && errs[1] == nil && errs[2] == nil
	})
	f.found(1)
	t.Cleanup(func() {
		for _, e := range f.edges {
			e.end()
		}
	})
	return f
}

func (f *fleetOf) found(epoch int) {
	f.t.Helper()
	f.foundAs(fmt.Sprint(epoch))
	f.until("the charter is taken", func() bool {
		return f.file.SendPolicyCommand(context.Background(), f.client, store.Command{SetDeclaration: &store.SetDeclaration{Text: charterOf()}}) == nil
	})
}

// join starts proxies of names; what they kept under them stays.
func (f *fleetOf) join(names ...string) {
	f.t.Helper()
	for _, name := range names {
		file := *f.file
		file.StateDir = f.dir
		transport := api.NewTransport(nil)
		e := &edge{name: name, way: &way{RoundTripper: transport}}
		e.PolicyClient = client.NewPolicyClient(client.Config{File: &file, ProxyName: name, Transport: e.way}, e.judge)
		e.Restore()
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { e.Run(ctx) })
		running.Go(func() { // requests, all of which go well
			for ctx.Err() == nil {
				for range 20 {
					e.Current().CountRequest(true)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
		e.end = func() {
			cancel()
			running.Wait()
			if t, ok := transport.(interface{ CloseIdleConnections() }); ok {
				t.CloseIdleConnections()
			}
		}
		f.edges[name] = e
	}
}

func (f *fleetOf) leave(name string) {
	f.edges[name].end()
	f.edges[name].fair(f.t)
	delete(f.edges, name)
}

// judge sees to it that content is what its offer names, and that nothing old comes but by a higher order.
func (e *edge) judge(t *client.InstalledPolicy) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	tree, err := t.Policy.Tree()
	if err != nil || tree.Root().String() != t.Offer.Hash {
		e.crimes = append(e.crimes, fmt.Sprintf("%s took up %+v with another content (%v)", e.name, t.Offer, err))
	}
	if !t.Offer.NewerThan(e.last) {
		e.crimes = append(e.crimes, fmt.Sprintf("%s took up %+v after %+v", e.name, t.Offer, e.last))
	}
	e.last = t.Offer
	return nil
}

func (e *edge) fair(t *testing.T) {
	t.Helper()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.crimes {
		t.Error(c)
	}
}

// offer has a team offer its next file.
func (f *fleetOf) offer(team string) {
	f.t.Helper()
	f.number[team]++
	c := store.Command{SubmitFile: &store.SubmitFile{Text: policyText(team, f.number[team]), Author: team}}
	f.until("an offer is taken", func() bool { return f.file.SendPolicyCommand(context.Background(), f.client, c) == nil })
}

// standing is the leader's word.
func (f *fleetOf) standing() (p api.PolicyStatus) {
	f.t.Helper()
	f.until("the leader's word", func() bool {
		var err error
		p, err = f.file.PolicyStatus(context.Background(), f.client)
		return err == nil && p.IsLeader
	})
	return p
}

// settled waits until all that was offered is in force, and all proxies but some have it.
func (f *fleetOf) settled(what string, but ...string) rollout.Version {
	f.t.Helper()
	var base rollout.Version
	defer func() {
		if f.t.Failed() {
			f.t.Logf("%s: %s", what, f.order("policy", f.path))
		}
	}()
	f.until(what+": all is in force everywhere", func() bool {
		p := f.standing()
		base = p.Policy.Active
		if p.Policy.Candidate.Epoch != 0 || len(p.Policy.Queued) > 0 || base.Epoch == 0 {
			return false
		}
		for name, e := range f.edges {
			if !strings.Contains(strings.Join(but, " "), name) && e.Current().Offer != base {
				return false
			}
		}
		return true
	})
	// It is what the teams have written last.
	for team, number := range f.number {
		want := fmt.Sprintf("/%s/0/of/%d", team, number)
		for name, e := range f.edges {
			if strings.Contains(strings.Join(but, " "), name) {
				continue
			}
			found := false
			for _, r := range e.Current().Policy.Routes {
				found = found || r.PathPrefix == want
			}
			if !found {
				f.t.Errorf("%s: %s does not route by file %d of %s", what, name, number, team)
			}
		}
	}
	return base
}

func (f *fleetOf) fair() {
	f.t.Helper()
	for _, e := range f.edges {
		e.fair(f.t)
	}
}

func names(prefix string, n int) (all []string) {
	for i := range n {
		all = append(all, fmt.Sprintf("%s%02d", prefix, i))
	}
	return all
}

// Leaders are killed and stopped amid trains, proxies are cut off through many changes, slow, damaged on their way, ended and begun anew,
// new by a third; at last all have all that was offered, and never anything that was not, or something old.
func TestTrainsThroughFaults(t *testing.T) {
	f := policySite(t)
	f.join(names("p", 12)...)
	f.join(names("z", 4)...)
	for _, team := range teams {
		f.offer(team)
	}
	f.settled("the first files")

	amid := func(what string) (lead int) { // a train that is on its way
		f.t.Helper()
		f.offer("alpha")
		f.until(what+": some have it", func() bool {
			next := f.standing().Policy.Candidate
			if next.Epoch == 0 {
				f.offer("alpha")
				return false
			}
			for _, e := range f.edges {
				if e.Current().Offer == next {
					return true
				}
			}
			return false
		})
		return f.leader(-1)
	}
	lead := amid("before the leader is killed")
	f.kill(lead)
	f.offer("beta")
	f.settled("the leader was killed amid a train")
	f.start(lead)

	lead = amid("before the leader is stopped")
	f.signal(lead, syscall.SIGSTOP)
	f.leader(lead)
	f.offerBy(lead, "gamma")
	f.until("the others go on", func() bool {
		return f.leads(lead).Policy.Candidate.Epoch == 0 && len(f.leads(lead).Policy.Queued) == 0
	})
	f.signal(lead, syscall.SIGCONT)
	f.settled("a leader that was stopped amid a train was woken")

	// A zone is cut off through twenty changes; some of it is ended meanwhile and begins anew on what it has kept, of a root that nobody has
	// any more.
	for _, name := range names("z", 4) {
		f.edges[name].way.cut.Store(true)
	}
	got := map[string]int64{}
	for _, e := range f.edges {
		got[e.name] = e.PolicyStatus().ChunksAccepted
	}
	f.alone(12)
	for i := range 20 {
		f.offer(teams[i%len(teams)])
		time.Sleep(200 * time.Millisecond) // several trains
	}
	f.settled("a zone is cut off", names("z", 4)...)
	for _, name := range names("z", 2) {
		f.leave(name)
	}
	f.join(names("z", 2)...)
	for _, name := range names("z", 2) {
		if f.edges[name].Current().Offer.Epoch == 0 {
			t.Errorf("%s has nothing of what it kept", name)
		}
		got[name] = 0
	}
	for _, name := range names("z", 4) {
		f.edges[name].way.cut.Store(false)
	}
	f.settled("a zone has joined again")
	f.alone(16)
	all := 0
	for range f.edges["p00"].Current().Tree.Chunks() {
		all++
	}
	for _, name := range names("z", 4) {
		if n := f.edges[name].PolicyStatus().ChunksAccepted - got[name]; n == 0 || n >= int64(all) {
			t.Errorf("%s fetched %d pieces after twenty changes; all are %d", name, n, all)
		}
	}

	// Slow links: an answer takes longer than a step. And damage, on others.
	for _, name := range names("p", 3) {
		f.edges[name].way.slow.Store(int64(450 * time.Millisecond))
	}
	for _, name := range names("z", 4) {
		f.edges[name].way.damage.Store(50)
	}
	for i := range 5 {
		f.offer(teams[i])
		f.settled("slow links and damage")
	}
	for _, e := range f.edges {
		e.way.slow.Store(0)
		e.way.damage.Store(0)
	}

	// A third is new at one moment, with nothing, amid a train.
	f.offer("delta")
	f.join(names("n", 8)...)
	f.settled("a third is new")

	// A founding anew: its numbers begin at 1, and it goes before all that there was.
	f.foundAs("2")
	f.until("the charter is taken", func() bool {
		return f.file.SendPolicyCommand(context.Background(), f.client, store.Command{SetDeclaration: &store.SetDeclaration{Text: charterOf()}}) == nil
	})
	f.number = map[string]int{}
	f.offer("beta")
	if base := f.settled("a founding anew"); base.Generation != 2<<32 {
		t.Errorf("%+v is in force", base)
	}
	f.fair()
}

// alone waits until the leader knows of so many proxies: one that falls silent as a policy reaches it makes the train stop, whatever the
// cause, and that is not what is tried here.
func (f *fleetOf) alone(n int) {
	f.t.Helper()
	f.until(fmt.Sprintf("the leader knows of %d proxies", n), func() bool { return f.standing().ProxyCount == n })
}

// leads is the word of a leader other than one that is stopped.
func (f *fleetOf) leads(not int) (p api.PolicyStatus) {
	f.t.Helper()
	rest := *f.file
	rest.Servers = nil
	for i, s := range f.file.Servers {
		if i != not {
			rest.Servers = append(rest.Servers, s)
		}
	}
	f.until("the word of another leader", func() bool {
		var err error
		p, err = rest.PolicyStatus(context.Background(), f.client)
		return err == nil && p.IsLeader
	})
	return p
}

// offerBy offers to whom is not stopped.
func (f *fleetOf) offerBy(not int, team string) {
	f.t.Helper()
	f.number[team]++
	c := store.Command{SubmitFile: &store.SubmitFile{Text: policyText(team, f.number[team]), Author: team}}
	f.until("an offer is taken", func() bool {
		for i, s := range f.file.Servers {
			if i != not && api.CallWithTimeout(context.Background(), f.client, s.Address, api.PathPolicyCommand, c, nil) == nil {
				return true
			}
		}
		return false
	})
}

// A proxy's process is stopped through ten changes, and woken: it has the newest then, without one of those between.
func TestAProxyThatWasStoppedThroughTenChanges(t *testing.T) {
	f := policySite(t)
	f.join(names("p", 8)...)
	page := filepath.Join(f.dir, "policy")
	p, err := mapped(page)
	f.must(err)
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), "FOLLOW_BY="+f.path, "FOLLOW_COUNT="+page, "FOLLOW_STATE="+f.dir)
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	f.must(c.Start())
	t.Cleanup(func() { _ = c.Process.Kill(); _ = c.Wait() })
	has := func(o rollout.Version) bool { return uint64(p.granted.Load()) == o.Epoch }
	for _, team := range teams {
		f.offer(team)
	}
	base := f.settled("the first files")
	f.until("the process has them", func() bool { return has(base) })
	for range 2 {
		f.must(c.Process.Signal(syscall.SIGSTOP))
		f.alone(8)
		for i := range 10 {
			f.offer(teams[i%len(teams)])
			time.Sleep(200 * time.Millisecond) // several trains
		}
		base = f.settled("one is stopped")
		f.must(c.Process.Signal(syscall.SIGCONT))
		f.until("the process that was woken has the newest", func() bool { return has(base) })
	}
	if n := p.out.Load(); n > 0 {
		t.Errorf("the process took up %d that it should not", n)
	}
	f.fair()
}

// follower is a process that follows the policy until it is killed; it tells the epoch that it has, and counts crimes.
func follower(path, count, state string) {
	f, err := api.Load(path)
	if err != nil {
		panic(err)
	}
	f.StateDir = state
	p, err := mapped(count)
	if err != nil {
		panic(err)
	}
	e := &edge{name: "stopped"}
	e.PolicyClient = client.NewPolicyClient(client.Config{File: f, ProxyName: "stopped"}, func(t *client.InstalledPolicy) error {
		err := e.judge(t)
		p.out.Store(int64(len(e.crimes)))
		return err
	})
	e.Restore()
	go e.Run(context.Background())
	for {
		e.Current().CountRequest(true)
		p.granted.Store(int64(e.Current().Offer.Epoch))
		time.Sleep(time.Millisecond)
	}
}
