package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// proxy is one process of the program under test.
type proxy struct {
	name, listen, console string
	config, logPath       string
	cmd                   *exec.Cmd
	done                  chan struct{} // closed once the process has ended
}

// proxyOptions are what a proxy is started with.
type proxyOptions struct {
	name      string
	discovery string
	flags     string // behind the command of the deploy file
	state     string // TMPDIR; a new empty folder if empty
	known     []instance
}

// freeAddr returns a loopback address whose port is free.
func freeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"`)

// runCommand is the command of the deploy file that starts a proxy.
func (l *lab) runCommand() (string, error) {
	text, err := os.ReadFile(filepath.Join(l.root, "deploy/balancer.toml"))
	if err != nil {
		return "", err
	}
	m := runLine.FindSubmatch(text)
	if m == nil {
		return "", errors.New("deploy/balancer.toml has no run line")
	}
	return string(m[1]), nil
}

// startProxy starts a proxy, without waiting until it serves.
func (l *lab) startProxy(o proxyOptions) (*proxy, error) {
	run, err := l.runCommand()
	if err != nil {
		return nil, err
	}
	n := len(l.proxies)
	p := &proxy{
		name:    o.name,
		config:  filepath.Join(l.dir, fmt.Sprintf("%s-%d.json", o.name, n)),
		logPath: filepath.Join(l.dir, fmt.Sprintf("%s-%d.log", o.name, n)),
		done:    make(chan struct{}),
	}
	if p.listen, err = freeAddr(); err != nil {
		return nil, err
	}
	if p.console, err = freeAddr(); err != nil {
		return nil, err
	}
	if o.state == "" {
		o.state = filepath.Join(l.dir, fmt.Sprintf("state-%d", n))
		if err := os.Mkdir(o.state, 0o700); err != nil {
			return nil, err
		}
	}
	if err := p.writeConfig(o); err != nil {
		return nil, err
	}
	logFile, err := os.Create(p.logPath)
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	cmd := exec.Command("/bin/sh", "-c", strings.TrimSpace(run+" "+o.flags))
	cmd.Dir = l.root
	cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"),
		"TMPDIR=" + o.state,
		"BALANCER_NAME=" + o.name,
		"BALANCER_LISTEN=" + p.listen,
		"BALANCER_DISCOVERY=" + o.discovery,
		"BALANCER_CONSOLE=" + p.console,
		"BALANCER_CONFIG=" + p.config,
	}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it never outlives the case
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p.cmd = cmd
	l.mu.Lock()
	l.proxies = append(l.proxies, p)
	l.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	l.note("started proxy %s (process %d) at %s", p.name, cmd.Process.Pid, p.listen)
	return p, nil
}

// writeConfig writes the proxy's configuration file.
func (p *proxy) writeConfig(o proxyOptions) error {
	var settings map[string]any
	if err := json.Unmarshal([]byte(settingsText), &settings); err != nil {
		return err
	}
	text, err := json.Marshal(map[string]any{
		"name": o.name, "listen": p.listen, "discovery": o.discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 128, "sockets": 1024},
		"known":    listJSON{Generation: 1, Reset: true, Instances: o.known},
		"settings": settings,
	})
	if err != nil {
		return err
	}
	return os.WriteFile(p.config, text, 0o600)
}

// waitReady waits until the proxy serves.
func (p *proxy) waitReady() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + p.listen + "/_health")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("proxy %s does not serve", p.name)
}

// signal sends a signal to the process.
func (p *proxy) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// waitEnd waits until the process has ended, at most for a time, and reports whether it has.
func (p *proxy) waitEnd(limit time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(limit):
		return false
	}
}

// tail returns the end of the proxy's log.
func (p *proxy) tail() string {
	text, _ := os.ReadFile(p.logPath)
	return string(text[max(0, len(text)-3000):])
}

// endAll ends all processes that the case started.
func (l *lab) endAll() {
	l.mu.Lock()
	proxies := l.proxies
	l.mu.Unlock()
	for _, p := range proxies {
		select {
		case <-p.done:
			continue
		default:
		}
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		p.waitEnd(5 * time.Second)
	}
}
