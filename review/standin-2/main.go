//go:build review2

// Command standin-2 plays the cases of the second review. It starts the project's own programs as separate processes and
// takes the place of the clients, the dispatch nodes and the node register beside them, all on loopback addresses and the
// real clock.
//
//	standin-2 CASE FOLDER
//
// It writes what was sent, answered and run to record.txt in FOLDER. It exits with 1 if the rule of the case was broken, with
// 0 if it held, and with 2 if the case could not be played. With TROUBLE=0 it plays the same without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// mostTime is the longest that a case may take.
const mostTime = 110 * time.Second

// exit codes.
const (
	held        = 0
	broken      = 1
	notPlayable = 2
)

// cases are what can be played, by the number of the folder. A case returns what broke the rule, one line each. An error
// means that it could not be played.
var cases = map[string]func(w *world) (breaches []string, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER")
		os.Exit(notPlayable)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// result is how a case ended.
type result struct {
	breaches []string
	err      error
}

// play plays one case and returns the exit code.
func play(name, folder string) int {
	w, err := newWorld(folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notPlayable
	}
	defer w.end()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	ended := make(chan result, 1)
	go func() {
		breaches, err := cases[name](w)
		ended <- result{breaches, err}
	}()
	var r result
	select {
	case r = <-ended:
	case <-time.After(mostTime):
		r.err = fmt.Errorf("not over after %v", mostTime)
	case s := <-interrupted:
		r.err = fmt.Errorf("ended by %v", s)
	}
	if r.err != nil {
		w.say("the case could not be played: %v", r.err)
		return notPlayable
	}
	for _, b := range r.breaches {
		w.say("BROKEN: %s", b)
	}
	if len(r.breaches) > 0 {
		return broken
	}
	w.say("the rule held")
	return held
}
