package liverun

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lapisspread/internal/faultlab/checker"
	"lapisspread/internal/faultlab/model"
	"lapisspread/internal/faultlab/testbinary"
)

func TestMain(m *testing.M) { testbinary.Main(m) }

func small() model.Spec {
	s := model.Default()
	s.Duration, s.Proxies, s.Nodes, s.Load.Rate = 4*time.Second, 2, 4, 40
	return s
}

// children are the processes of this one that still live.
func children(t *testing.T, of string) string {
	t.Helper()
	text, _ := exec.Command("pgrep", "-f", of).Output()
	return strings.TrimSpace(string(text))
}

// A whole run around real proxies with every kind of trouble that a socket can show: nodes that die, drain, hang and
// are cut off, a proxy that is killed and one that is upgraded.
func TestARunAroundRealProxies(t *testing.T) {
	path := testbinary.Proxy(t)
	s := small()
	s.Duration = 8 * time.Second
	s.Faults = []model.Fault{
		{Kind: model.Hang, At: time.Second, For: 2 * time.Second, Share: 0.25},
		{Kind: model.RollingRestart, At: 500 * time.Millisecond, Share: 0.25},
		{Kind: model.CutOff, At: 3 * time.Second, For: 2 * time.Second, Share: 0.25},
		{Kind: model.KillProxy, At: 2 * time.Second, Share: 0.1},
		{Kind: model.MoveRegister, At: 1500 * time.Millisecond},
		{Kind: model.SilentWatch, At: 2500 * time.Millisecond, Share: 1, For: 3 * time.Second},
		{Kind: model.UpgradeProxy, At: 5 * time.Second, Share: 0.1},
		{Kind: model.RestartProxy, At: 5500 * time.Millisecond, Share: 0.1},
	}
	res, err := Play(context.Background(), &s, Options{Binary: path, HalfOpen: 4, Slow: 1})
	if err != nil {
		t.Fatal(err)
	}
	v := res.Verdict
	if res.Late != "" {
		t.Logf("the machine was too slow for the rules to count: %s", res.Late)
	} else if v.RulesBroken > 0 {
		t.Errorf("%d breaches, first %+v", v.RulesBroken, v.Breaches[0])
	}
	if len(res.Problems) > 0 {
		t.Errorf("problems: %v", res.Problems)
	}
	if v.FirstTries < 200 || v.OK < v.FirstTries*6/10 {
		t.Errorf("%d of %d served", v.OK, v.FirstTries)
	}
	if left := children(t, path); left != "" {
		t.Errorf("left behind: %s", left)
	}
}

// Links, the register, processors and state folders fail: all is told to the world, and what has no part in it serves on.
func TestFaultsBetweenProcesses(t *testing.T) {
	path := testbinary.Proxy(t)
	second := func(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
	s := small()
	s.Duration = 9 * time.Second
	s.Faults = []model.Fault{
		{Kind: model.Link, At: second(0.5), For: second(1), From: "proxy-*", To: "register", Do: "silence"},
		{Kind: model.Link, At: second(0.5), For: second(2), To: "node-1", Do: "delay", Size: 20, Way: "back"},
		{Kind: model.Link, At: second(1), From: "proxy-1", Do: "reset"},
		{Kind: model.CutOff, At: second(1), For: second(1.5), Share: 0.25},
		{Kind: model.RegisterBusy, At: second(2), For: second(2), Size: 1, Extra: 0.3},
		{Kind: model.StopProxy, At: second(2.5), For: second(1), Share: 0.5},
		{Kind: model.RegisterLost, At: second(4), For: second(1), Share: 0.5},
		{Kind: model.StateFolder, At: second(4.5), Do: "flip"},
		{Kind: model.KillProxy, At: second(5), Share: 1, For: second(0.5)},
		{Kind: model.RestartStorm, At: second(6.5), Share: 0.25},
	}
	res, err := Play(context.Background(), &s, Options{Binary: path})
	if err != nil {
		t.Fatal(err)
	}
	v := res.Verdict
	if v.ByRule[checker.Duplicate] > 0 || res.Late == "" && v.RulesBroken > 0 {
		t.Errorf("%d breaches, first %+v", v.RulesBroken, v.Breaches[0])
	}
	if len(res.Problems) > 0 {
		t.Errorf("problems: %v", res.Problems)
	}
	called, opened := 0, 0
	for _, sec := range v.Seconds {
		called, opened = called+sec.Called, opened+sec.Opened
	}
	if v.OK < v.FirstTries/3 || v.Excused == 0 || called == 0 || opened == 0 {
		t.Errorf("%d of %d served, %d excused, %d calls, %d connections", v.OK, v.FirstTries, v.Excused, called, opened)
	}
	if left := children(t, path); left != "" {
		t.Errorf("left behind: %s", left)
	}
}

// A proxy that dies at its start: its last lines are in the error, and nothing is left.
func TestAChildThatDiesAtItsStart(t *testing.T) {
	s := small()
	script := filepath.Join(t.TempDir(), "dies")
	if err := os.WriteFile(script, []byte("#!/bin/sh\necho the reason is this >&2\nexit 3\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	_, err := Play(context.Background(), &s, Options{Binary: script})
	if err == nil || !strings.Contains(err.Error(), "the reason is this") || !strings.Contains(err.Error(), "exit status 3") {
		t.Errorf("got %v", err)
	}
	if _, err := Play(context.Background(), &s, Options{Binary: script + ".none"}); err == nil || !strings.Contains(err.Error(), "starting") {
		t.Errorf("no program: %v", err)
	}
}

// A proxy that ends by itself in the midst is a problem with its last lines, and the run goes on to its end.
func TestAProxyThatEndsByItself(t *testing.T) {
	path := testbinary.Proxy(t)
	s := small()
	s.Duration = 3 * time.Second
	script := filepath.Join(t.TempDir(), "ends")
	text := "#!/bin/sh\n" + path + " serve &\npid=$!\ntrap 'kill $pid; wait $pid; exit 0' TERM\nsleep 2 & wait $!\nkill -9 $pid\necho gone by itself\nexit 7\n"
	if err := os.WriteFile(script, []byte(text), 0o700); err != nil {
		t.Fatal(err)
	}
	res, err := Play(context.Background(), &s, Options{Binary: script})
	if err != nil {
		t.Fatal(err)
	}
	if len(res.Problems) != 2 || !strings.Contains(res.Problems[0], "exit status 7") || !strings.Contains(res.Problems[0], "gone by itself") {
		t.Errorf("problems: %q", res.Problems)
	}
	if left := children(t, path); left != "" {
		t.Errorf("left behind: %s", left)
	}
}

// Ctrl-C in the midst: what was seen is judged, and nothing is left.
func TestBrokenOff(t *testing.T) {
	path := testbinary.Proxy(t)
	s := small()
	s.Duration = time.Minute
	ctx, cancel := context.WithCancel(context.Background())
	res, err := Play(ctx, &s, Options{Binary: path, Progress: func(g Glimpse) {
		if g.Now > 1500*time.Millisecond {
			cancel()
		}
	}})
	cancel()
	if err != nil || !res.Partial || res.Verdict.FirstTries == 0 || res.Verdict.FirstTries > 1000 {
		t.Errorf("%v, partial %v, %d first tries", err, res.Partial, res.Verdict.FirstTries)
	}
	if left := children(t, path); left != "" {
		t.Errorf("left behind: %s", left)
	}
}

// stand is a run without proxies: nodes and register alone.
func stand(t *testing.T) *Run {
	t.Helper()
	s := small()
	r := newRun(&s, Options{})
	t.Cleanup(func() {
		for _, n := range r.nodes {
			n.close()
		}
		for _, a := range r.agents {
			a.close()
		}
		r.running.Wait()
	})
	if err := r.open(); err != nil {
		t.Fatal(err)
	}
	return r
}

func TestCutOffNodesAreSilent(t *testing.T) {
	r := stand(t)
	n := r.nodes[0]
	n.cutOff()
	time.Sleep(200 * time.Millisecond) // its queues fill
	if c, err := net.DialTimeout("tcp4", n.addr(0), 150*time.Millisecond); err == nil {
		c.Close()
		t.Error("a connection to a node that is cut off came up")
	} else if timeout, ok := err.(net.Error); !ok || !timeout.Timeout() {
		t.Errorf("it was not silent: %v", err)
	}
	n.reconnect()
	c, err := net.DialTimeout("tcp4", n.addr(0), 3*time.Second)
	if err != nil {
		t.Fatalf("once it is back: %v", err)
	}
	c.Close()
}

// A port that was taken while the node was dead: it comes back on another one.
func TestATakenPort(t *testing.T) {
	r := stand(t)
	n := r.nodes[0]
	old := n.addr(0)
	n.kill()
	thief, err := net.Listen("tcp4", old)
	if err != nil {
		t.Fatal(err)
	}
	defer thief.Close()
	if err := n.listen(); err != nil || n.addr(0) == old {
		t.Errorf("%v, at %s", err, n.addr(0))
	}
}

func TestTheRegister(t *testing.T) {
	r := stand(t)
	a := r.agents[0]
	get := func(query string) (int, catalog) {
		resp, err := http.Get("http://" + a.addr + "/catalog/members" + query)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		var c catalog
		_ = json.NewDecoder(resp.Body).Decode(&c)
		return resp.StatusCode, c
	}
	if _, c := get(""); !c.Reset || len(c.Instances) != 4 {
		t.Errorf("whole list: %+v", c)
	}
	for _, bad := range []string{"?from=x&hold_ms=1", "?from=100", "?from=100&hold_ms=-1"} {
		if status, _ := get(bad); status != http.StatusBadRequest {
			t.Errorf("%s: status %d", bad, status)
		}
	}
	go func() {
		time.Sleep(50 * time.Millisecond)
		r.mu.Lock()
		a.tell(time.Second, model.News{Node: 2, Listing: model.Leaving})
		r.mu.Unlock()
	}()
	if _, c := get("?from=100&hold_ms=5000"); c.Reset || len(c.Instances) != 1 || c.Instances[0].Lifecycle != "leaving" {
		t.Errorf("watch: %+v", c)
	}
	if _, c := get("?from=101&hold_ms=10"); len(c.Instances) != 0 || c.Generation != 101 {
		t.Errorf("nothing new: %+v", c)
	}
	if _, c := get("?from=999&hold_ms=10"); !c.Reset {
		t.Errorf("a version that never was: %+v", c)
	}
}

// A watch that has fallen silent gives nothing and does not end; what it misses counts as told once its clock is over, or at once
// by a new call. A new process has been told all from its first moment on.
func TestASilentWatch(t *testing.T) {
	const hold = 300 * time.Millisecond
	r := stand(t)
	a := r.agents[1]
	watching, end := context.WithCancel(context.Background())
	defer end()
	call := func(ctx context.Context, query string) chan string {
		got := make(chan string, 1)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.at()+"/catalog/members"+query, nil)
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				got <- ""
				return
			}
			defer resp.Body.Close()
			text, _ := io.ReadAll(resp.Body)
			got <- string(text)
		}()
		return got
	}
	locked := func(do func() bool) bool { r.mu.Lock(); defer r.mu.Unlock(); return do() }
	watch := call(watching, fmt.Sprintf("?from=%d&hold_ms=%d", firstVersion, hold.Milliseconds()))
	var silent time.Duration
	for !locked(func() bool { silent = r.now(); return a.silence(silent) }) {
		time.Sleep(time.Millisecond)
	}
	told := func(at time.Duration, started time.Duration) bool {
		return locked(func() bool { a.heard(at); return r.ledger.ToldOfStart(1, 2, started) })
	}
	locked(func() bool {
		a.tell(silent+time.Second, model.News{Proxy: 1, Node: 2, Listing: model.Active, Started: time.Second})
		return true
	})
	if told(silent+model.SilenceTold-1, time.Second) || !told(silent+model.SilenceTold, time.Second) {
		t.Error("what a silent watch missed does not count as told when its clock is over")
	}
	select {
	case got := <-watch:
		t.Errorf("a silent watch gave %q", got)
	case <-time.After(2 * hold):
	}
	locked(func() bool {
		a.missed = model.Missed(0, time.Hour) // as by a call that asked for a long wait
		a.tell(2*time.Second, model.News{Proxy: 1, Node: 2, Listing: model.Active, Started: 2 * time.Second})
		return true
	})
	if told(time.Minute, 2*time.Second) {
		t.Error("told before the wait is over that the call asked for")
	}
	end() // the proxy gives it up, and calls anew
	<-watch
	if got := <-call(context.Background(), ""); !strings.Contains(got, "\n  \"") {
		t.Errorf("the list of every second agent is indented; got %q", got)
	}
	for until := time.Now().Add(10 * time.Second); !told(time.Minute, 2*time.Second) && time.Now().Before(until); {
		time.Sleep(time.Millisecond) // until the agent has seen the end of the first
	}
	if !told(time.Minute, 2*time.Second) {
		t.Error("not told by a new call")
	}
	locked(func() bool {
		r.ledger.Forget(1)
		a.begin(time.Minute)
		return true
	})
	if !told(time.Minute, 2*time.Second) {
		t.Error("a new process has not been told what the agent holds")
	}
	locked(func() bool {
		a.sighup = 2 * time.Minute // told to ask at another address
		a.tell(time.Minute, model.News{Proxy: 1, Node: 2, Listing: model.Active, Started: 3 * time.Second})
		return true
	})
	if told(2*time.Minute-1, 3*time.Second) || !told(2*time.Minute, 3*time.Second) {
		t.Error("what comes after a SIGHUP does not count as told when its time is over")
	}
}

func TestOnlyANodesAnswerIsGenuine(t *testing.T) {
	r := stand(t)
	good := []byte(r.mark(7, 1, 0))
	if !r.genuine(7, good) {
		t.Error("a node's answer is not taken for one")
	}
	for name, body := range map[string][]byte{
		"another request's": []byte(r.mark(8, 1, 0)), "changed": bytes.Replace(good, []byte(" 1 "), []byte(" 2 "), 1),
		"cut off": good[:len(good)-3], "empty": nil, "more": append(good, 'x'),
	} {
		if r.genuine(7, body) {
			t.Errorf("%s passes", name)
		}
	}
}

// Requests that no client has sent, or that can't be read.
func TestANodeTurnsAwayWhatNoClientSent(t *testing.T) {
	r := stand(t)
	for text, want := range map[string]string{
		"GET /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: zz\r\n\r\n": "HTTP/1.1 400",
		"GET /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: 77\r\n\r\n": "HTTP/1.1 400",
		"GET /api HTTP/1.1\r\nHost: x\r\n\r\n":                     "HTTP/1.1 404",
		"GET /_load HTTP/1.1\r\nHost: x\r\n\r\n":                   "HTTP/1.1 404",
		"nonsense\r\n\r\n":                                         "",
	} {
		c, err := net.Dial("tcp4", r.nodes[0].addr(0))
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(5 * time.Second))
		c.Write([]byte(text))
		got := make([]byte, len("HTTP/1.1 400"))
		n, _ := c.Read(got)
		if string(got[:n]) != want {
			t.Errorf("%q: %q, want %q", text, got[:n], want)
		}
		c.Close()
	}
	if len(r.problems) != 2 {
		t.Errorf("problems: %q", r.problems)
	}
}

// A run on a machine that wakes late does not count.
func TestALateMachineIsNotScored(t *testing.T) {
	r := stand(t)
	f := newFront(r)
	for range 1000 {
		_ = r.lateness.RecordValue(900)
		_ = f.late.RecordValue(900)
	}
	if why := r.tooLate(f); why != "" {
		t.Errorf("a machine that is in time: %s", why)
	}
	for range 20 {
		_ = r.lateness.RecordValue(15_000)
		_ = f.late.RecordValue(30_000)
	}
	if why := r.tooLate(f); !strings.Contains(why, "one wake-up in 100") || !strings.Contains(why, "cannot keep up") {
		t.Errorf("a late one: %q", why)
	}
}
