package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/controlplane/server"
	"lapisspread/internal/policy/rollout"
)

// fleetFixture is a fleet with one control-plane server, which runs inside the test, and helpers that run commands on
// it.
type fleetFixture struct {
	t       *testing.T
	dir     string
	file    string // path of the fleet file
	address string // host:port of the control-plane server
}

// newFleetFixture starts the control-plane server, which stops when the test ends.
func newFleetFixture(t *testing.T) *fleetFixture {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listening as the control-plane server: %v", err)
	}
	f := &fleetFixture{t: t, dir: t.TempDir(), address: l.Addr().String()}
	f.file = f.write("fleet.toml", fmt.Sprintf("version = 1\nfleet = \"north\"\nlongest = \"1s\"\n"+
		"[[stewards]]\nname = \"s1\"\nnumber = 1\naddress = %q\n"+
		"[[budgets]]\nname = \"all\"\nof = { counts = \"attempts\" }\nwhole = 100.0\nburst = 10.0\nlease = \"1s\"\n"+
		"[policy]\nsilent = \"2s\"\nstep = \"1h\"\n", f.address))
	fleet, err := api.Load(f.file)
	if err != nil {
		t.Fatalf("api.Load: %v", err)
	}
	config := server.Config{Fleet: fleet, Name: "s1", StateDir: t.TempDir(), TickInterval: 20 * time.Millisecond}
	s, err := server.New(config)
	if err != nil {
		t.Fatalf("server.New: %v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	exited := make(chan error, 1)
	go func() { exited <- s.Run(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		if err := <-exited; err != nil {
			t.Errorf("Server.Run = %v, want nil after cancellation", err)
		}
	})
	return f
}

// write creates a file in the test directory and returns its path.
func (f *fleetFixture) write(name, text string) (path string) {
	f.t.Helper()
	path = filepath.Join(f.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatalf("writing %s: %v", name, err)
	}
	return path
}

// namespace writes a namespace file with one route and returns its path.
func (f *fleetFixture) namespace(name string, number int, path string) string {
	f.t.Helper()
	return f.write(name+".toml", fmt.Sprintf("version = 1\nnamespace = %q\nnumber = %d\n[[service]]\nname = \"s-%s\"\n"+
		"[[route]]\nname = \"r\"\nhost = \"x.org\"\npath_prefix = %q\nto = [{ service = \"s-%s\" }]\n",
		name, number, name, path, name))
}

// run runs "lapisspread fleet" with the arguments, and checks its exit code and that it prints all texts of want.
func (f *fleetFixture) run(exitCode int, want []string, args ...string) {
	f.t.Helper()
	var out, errs strings.Builder
	if got := execute(append([]string{"fleet"}, args...), &out, &errs); got != exitCode {
		f.t.Errorf("lapisspread fleet %v: exit code %d, want %d:\n%s", args, got, exitCode, errs.String())
	}
	for _, text := range want {
		if !strings.Contains(out.String()+errs.String(), text) {
			f.t.Errorf("lapisspread fleet %v does not print %q; it printed\n%s%s", args, text, out.String(), errs.String())
		}
	}
}

// waitInForce waits until a policy epoch is in force and no change is queued.
func (f *fleetFixture) waitInForce(epoch int) {
	f.t.Helper()
	f.waitForStatus(fmt.Sprintf("epoch %d in force and nothing queued", epoch), func(status string) bool {
		return strings.Contains(status, fmt.Sprintf("in force: epoch %d,", epoch)) && !strings.Contains(status, "wait for")
	})
}

// waitForProxies waits until the control-plane server has heard of a number of proxies.
func (f *fleetFixture) waitForProxies(count int) {
	f.t.Helper()
	want := fmt.Sprintf("%d proxies are of an older release", count)
	f.waitForStatus(want, func(status string) bool { return strings.Contains(status, want) })
}

// waitForStatus waits until the output of "lapisspread fleet policy" satisfies a condition, and fails the test after
// 30 s. want says what the condition is.
func (f *fleetFixture) waitForStatus(want string, satisfied func(status string) bool) {
	f.t.Helper()
	for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		var out, errs strings.Builder
		_ = execute([]string{"fleet", "policy", f.file}, &out, &errs)
		if satisfied(out.String()) {
			return
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("fleet policy after 30s, want %s:\n%s%s", want, out.String(), errs.String())
		}
	}
}

// startProxy simulates a proxy that reports its policy version every 20 ms and adopts the target version, until the test
// ends.
func (f *fleetFixture) startProxy(name string) {
	ctx, cancel := context.WithCancel(context.Background())
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		current := rollout.NewCurrentVersion(rollout.Version{})
		client := &http.Client{Transport: api.NewTransport(nil)}
		defer client.CloseIdleConnections()
		for n := uint64(1); ctx.Err() == nil; n++ {
			var reply api.PolicyReply
			in := api.PolicyReport{Fleet: "north", Proxy: name, Sequence: n, Current: current.Version(), Good: 10}
			if api.CallWithTimeout(ctx, client, f.address, api.PathPolicyReport, in, &reply) == nil {
				_ = current.AdoptText(reply.Target, reply.Text)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	f.t.Cleanup(func() {
		cancel()
		<-exited
	})
}

// Runs all policy commands against one control-plane server, from the bootstrap to a rollback.
func TestPolicyCommands(t *testing.T) {
	f := newFleetFixture(t)
	file := f.file
	ownership := "version = 1\n"
	for _, name := range []string{"alpha", "beta"} {
		ownership += fmt.Sprintf("[[namespace]]\nname = %q\nowner = \"o\"\nhosts = [\"x.org\"]\n"+
			"settings = [\"route\", \"service\"]\n", name)
	}
	f.run(1, []string{"is not founded"}, "policy", file)
	f.run(0, nil, "found", file)
	f.run(0, nil, "set", file, "--wait", "30s")
	f.run(1, []string{"no charter", "lapisspread fleet charter"}, "offer", file, f.namespace("alpha", 1, "/a"))
	f.run(1, []string{"charter.toml"}, "charter", file, f.write("charter.toml", "version = 7\n"))
	f.run(0, []string{"train: epoch 1", "with the charter"}, "charter", file, f.write("charter.toml", ownership))
	f.run(1, []string{"no policy is in force yet"}, "stop", file)
	// Without reports of a proxy the rollout does not finish, and files that are submitted meanwhile are queued.
	f.run(0, []string{"train: epoch 1", `wait for the next train: alpha/1 by "the desks", beta/1 by "the desks"`},
		"offer", file, f.namespace("alpha", 1, "/a"), f.namespace("beta", 1, "/b"), "--by", "the desks")
	f.startProxy("p1") // a rollout to a single proxy has no steps
	f.waitInForce(3)

	// A malformed file does not block the others. A file that conflicts is withheld, and the output names the request
	// in conflict.
	malformed := f.write("bad.toml", "version = 1\nnamespace = \"alpha\"\nnumber = 2\nroute = 3\n")
	f.run(1, []string{"bad.toml:", "epoch 3", `held: beta, file 2 by "b"; file 1 goes on`, "x.org", "/a"},
		"offer", file, malformed, f.namespace("beta", 2, "/a"), "--by", "b")
	f.run(1, []string{"epoch 9 is not kept; [1 3] are"}, "back", file, "--epoch", "9")
	f.run(2, []string{"--epoch is needed"}, "back", file)
	f.run(0, []string{"in force: epoch 1,"}, "back", file, "--epoch", "1")
	f.run(0, []string{"in force: epoch 1,", "roll-out: idle", "1 proxies are of an older release"}, "policy", file)
	f.run(0, []string{"in force: epoch 1,"}, "stop", file) // no rollout is in progress, so nothing changes
	f.run(1, []string{"is older than version 2"}, "offer", file, f.namespace("beta", 1, "/c"))
	f.startProxy("p2")
	f.waitForProxies(2) // the next rollout has a step that takes an hour
	f.run(0, []string{"train: epoch", "beta/3"}, "offer", file, f.namespace("beta", 3, "/c"))
	f.run(0, []string{"in force: epoch 1,", "roll-out: idle"}, "stop", file)
	f.run(2, []string{"wanted: offer"}, "offer", file)
}
