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

// The words about the policy, from founding to going back, before one steward.
func TestWordsAboutThePolicy(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	file := write("fleet.toml", fmt.Sprintf("version = 1\nfleet = \"north\"\nlongest = \"1s\"\n[[stewards]]\nname = \"s1\"\nnumber = 1\naddress = %q\n"+
		"[[budgets]]\nname = \"all\"\nof = { counts = \"attempts\" }\nwhole = 100.0\nburst = 10.0\nlease = \"1s\"\n"+
		"[policy]\nsilent = \"200ms\"\n", l.Addr().String()))
	f, err := api.Load(file)
	if err != nil {
		t.Fatal(err)
	}
	s, err := server.New(server.Config{Fleet: f, Name: "s1", StateDir: t.TempDir(), TickInterval: 20 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx, l) }()
	defer func() { cancel(); <-ended }()

	team := func(name string, number int, path string) string {
		return write(name+".toml", fmt.Sprintf("version = 1\nnamespace = %q\nnumber = %d\n[[service]]\nname = \"s-%s\"\n[[route]]\nname = \"r\"\nhost = \"x.org\"\n"+
			"path_prefix = %q\nto = [{ service = \"s-%s\" }]\n", name, number, name, path, name))
	}
	charter := "version = 1\n"
	for _, name := range []string{"alpha", "beta"} {
		charter += fmt.Sprintf("[[namespace]]\nname = %q\nowner = \"o\"\nhosts = [\"x.org\"]\nsettings = [\"route\", \"service\"]\n", name)
	}
	say := func(code int, want []string, args ...string) {
		t.Helper()
		var out, errs strings.Builder
		if got := execute(append([]string{"fleet"}, args...), &out, &errs); got != code {
			t.Errorf("%v: exit code %d, want %d", args, got, code)
		}
		for _, w := range want {
			if !strings.Contains(out.String()+errs.String(), w) {
				t.Errorf("%v says nothing of %q:\n%s%s", args, w, out.String(), errs.String())
			}
		}
	}
	say(1, []string{"is not founded"}, "policy", file)
	say(0, nil, "found", file)
	say(0, nil, "set", file, "--wait", "30s")
	say(1, []string{"no charter", "lapisspread fleet charter"}, "offer", file, team("alpha", 1, "/a"))
	say(1, []string{"charter.toml"}, "charter", file, write("charter.toml", "version = 7\n"))
	say(0, []string{"train: epoch 1", "with the charter"}, "charter", file, write("charter.toml", charter))
	say(1, []string{"no policy is in force yet"}, "stop", file)
	// Nobody reports: the train goes on, and what is offered meanwhile waits for the next.
	say(0, []string{"train: epoch 1", `wait for the next train: alpha/1 by "the desks", beta/1 by "the desks"`},
		"offer", file, team("alpha", 1, "/a"), team("beta", 1, "/b"), "--by", "the desks")
	reporting, leave := context.WithCancel(ctx)
	reports := make(chan struct{})
	go func() {
		defer close(reports)
		h, client := rollout.NewCurrentVersion(rollout.Version{}), &http.Client{Transport: api.NewTransport(nil)}
		defer client.CloseIdleConnections()
		for n := uint64(1); reporting.Err() == nil; n++ {
			var reply api.PolicyReply
			in := api.PolicyReport{Fleet: "north", Proxy: "p1", Sequence: n, Current: h.Version(), Good: 10}
			if api.CallWithTimeout(reporting, client, l.Addr().String(), api.PathPolicyReport, in, &reply) == nil {
				_ = h.AdoptText(reply.Target, reply.Text)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	defer func() { leave(); <-reports }()
	inForce := func(epoch int) {
		t.Helper()
		for end := time.Now().Add(30 * time.Second); ; time.Sleep(20 * time.Millisecond) {
			var out, errs strings.Builder
			_ = execute([]string{"fleet", "policy", file}, &out, &errs)
			if strings.Contains(out.String(), fmt.Sprintf("in force: epoch %d,", epoch)) && !strings.Contains(out.String(), "wait for") {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("epoch %d is never in force:\n%s%s", epoch, out.String(), errs.String())
			}
		}
	}
	inForce(3)
	bad := write("bad.toml", "version = 1\nnamespace = \"alpha\"\nnumber = 2\nroute = 3\n")
	// One that can't be read stops no other; one that conflicts is held, with the request.
	say(1, []string{"bad.toml:", "epoch 3", `held: beta, file 2 by "b"; file 1 goes on`, "x.org", "/a"}, "offer", file, bad, team("beta", 2, "/a"), "--by", "b")
	say(1, []string{"epoch 9 is not kept; [1 3] are"}, "back", file, "--epoch", "9")
	say(2, []string{"--epoch is needed"}, "back", file)
	say(0, []string{"in force: epoch 1,"}, "back", file, "--epoch", "1")
	say(0, []string{"in force: epoch 1,", "roll-out: idle", "1 proxies are of an older release"}, "policy", file)
	say(0, []string{"in force: epoch 1,"}, "stop", file) // there is nothing to stop
	say(1, []string{"is older than version 2"}, "offer", file, team("beta", 1, "/c"))
	leave()
	<-reports // the next train stays on its way
	say(0, []string{"train: epoch", "beta/3"}, "offer", file, team("beta", 3, "/c"))
	say(0, []string{"in force: epoch 1,", "roll-out: idle"}, "stop", file)
	say(2, []string{"wanted: offer"}, "offer", file)
}
