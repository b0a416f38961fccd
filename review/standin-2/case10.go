//go:build review2

package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"lapisspread/internal/faultlab/loopbackaddr"
)

func init() { cases["10"] = restartAfterAFailedUpgrade }

const (
	arriveAfterTerm = 200 * time.Millisecond // for which new connections keep arriving after SIGTERM, at the least
	killAfterTerm   = 2700 * time.Millisecond
	answerSlack     = 500 * time.Millisecond // up to so much after its time an answer is only worthless
	ruleSlack       = 50 * time.Millisecond  // that every time limit is longer on sockets
)

// startPassed starts the command of the deploy file with the clients' listening socket as descriptor 3.
func (p *proxy) startPassed(life, console string, socket *os.File) (*process, error) {
	command, err := deployCommand("run")
	if err != nil {
		return nil, err
	}
	dir := filepath.Join(p.world.tmp, p.name)
	return p.world.startWith(p.name+life, command+p.files.flags(), []*os.File{socket},
		"BALANCER_CONFIG="+filepath.Join(dir, "config.json"), "BALANCER_NAME="+p.name, "BALANCER_LISTEN="+p.listen,
		"BALANCER_CONSOLE="+console, "BALANCER_PASSED_SOCKET=3", "TMPDIR="+filepath.Join(dir, "state"))
}

// awaitYes waits until the process behind a console takes clients.
func (p *proxy) awaitYes(console string) bool {
	return until(10*time.Second, func() bool {
		answer, err := callConsole(console, "PING")
		return err == nil && len(answer) >= 3 && answer[:3] == "200"
	})
}

// restartAfterAFailedUpgrade: the platform starts a second process beside the first, and it is killed once it has said yes.
// Later there is a planned restart of the first one.
func restartAfterAFailedUpgrade(w *world) ([]string, error) {
	nodes, reg, err := newNodes(w, 4, "std-1")
	if err != nil {
		return nil, err
	}
	serveUsually(nodes)
	p, err := w.newProxy(0, 1, reg, nil)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", p.listen)
	if err != nil {
		return nil, err
	}
	socket, err := l.(*net.TCPListener).File()
	if err != nil {
		return nil, err
	}
	old, err := p.startPassed("", p.console, socket)
	if err != nil {
		return nil, err
	}
	if !p.awaitYes(p.console) {
		return nil, fmt.Errorf("the proxy does not say yes: %s", w.log(p.name, 5))
	}
	w.say("%s says yes", p.name)
	c := newClients(w)
	stop := make(chan struct{})
	c.open.Go(func() { c.stream(p.listen, 80, stop, nil, driverPosition, tripClose) })
	time.Sleep(3 * time.Second)

	if w.trouble {
		console, err := loopbackaddr.Addr()
		if err != nil {
			return nil, err
		}
		next, err := p.startPassed("-next", console, socket)
		if err != nil {
			return nil, err
		}
		if !p.awaitYes(console) {
			return nil, fmt.Errorf("the next process does not say yes: %s", w.log(p.name+"-next", 5))
		}
		w.say("the next process says yes, and is killed")
		next.kill()
	}
	time.Sleep(5 * time.Second)
	close(stop)
	c.open.Wait()
	w.say("answers so far: %v", c.tally())

	w.say("a planned restart: SIGTERM")
	late := newClients(w)
	term := time.Now()
	old.signal(syscall.SIGTERM)
	for time.Since(term) < arriveAfterTerm {
		late.open.Go(func() { late.alone(p.listen, tripClose) })
		time.Sleep(10 * time.Millisecond)
	}
	until(killAfterTerm-time.Since(term), func() bool { return !old.running() })
	w.say("the process has ended by itself: %v", !old.running())
	time.Sleep(killAfterTerm - time.Since(term))
	old.kill()
	if _, err := p.startPassed("-again", p.console, socket); err != nil {
		return nil, err
	}
	if !p.awaitYes(p.console) {
		return nil, fmt.Errorf("the proxy does not say yes: %s", w.log(p.name+"-again", 5))
	}
	w.say("started again, says yes")
	late.open.Wait()
	lost := 0
	for _, a := range late.answers {
		w.say("%s %s, sent %v after SIGTERM: status %d after %v (%v)", a.class, a.id, a.sentAt.Sub(term).Round(time.Millisecond), a.status,
			a.took.Round(time.Millisecond), a.err)
		if a.err != nil || a.took > tripClose.giveUp+answerSlack+ruleSlack {
			lost++
		}
	}
	if lost > 0 {
		return []string{fmt.Sprintf("%d of %d requests that came on new connections within %v of SIGTERM had no answer by half a second after their time",
			lost, len(late.answers), arriveAfterTerm)}, nil
	}
	return nil, nil
}
