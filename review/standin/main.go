// Command standin plays the clients, dispatch nodes, node register and platform of the review's cases around real
// proxy processes. Each subcommand is one case; it exits with 1 if the rule was broken, 0 if it held, 2 if the case
// could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// lab is what every case uses: the record, the processes it started, and a folder that is removed at the end.
type lab struct {
	root    string // of the repository
	dir     string // temporary
	trouble bool   // whether the disruption is played
	began   time.Time

	mu      sync.Mutex
	record  *os.File
	proxies []*proxy
}

// cases are the subcommands.
var cases = map[string]func(*lab) (broken bool, err error){}

var errUsage = errors.New("usage: standin CASE ROOT RECORD")

func main() {
	broken, err := run()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "could not run:", err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}

func run() (bool, error) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		return false, errUsage
	}
	record, err := os.Create(os.Args[3])
	if err != nil {
		return false, err
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review-*")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(dir)
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		return false, err
	}
	l := &lab{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record}
	defer l.endAll()
	stop := func(why string) {
		l.note("ended: %s", why)
		l.endAll()
		os.RemoveAll(dir)
		os.Exit(2)
	}
	limit := time.AfterFunc(110*time.Second, func() { stop("the case took too long") })
	defer limit.Stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() { stop((<-signals).String()) }()
	l.note("disruption played: %v", l.trouble)
	broken, err := cases[os.Args[1]](l)
	l.endAll()
	if err != nil {
		l.note("could not run: %v", err)
		for _, p := range l.proxies {
			fmt.Fprintf(os.Stderr, "--- last lines of %s\n%s\n", p.name, p.tail())
		}
		return false, err
	}
	verdict := "the rule held"
	if broken {
		verdict = "the rule was broken"
	}
	l.note("%s", verdict)
	fmt.Println(verdict)
	return broken, nil
}

// note writes a line to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%9.3f s  %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (l *lab) say(format string, args ...any) {
	l.note(format, args...)
	fmt.Printf(format+"\n", args...)
}
