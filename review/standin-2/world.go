//go:build review2

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"lapisspread/internal/faultlab/liverun"
	"lapisspread/internal/faultlab/loopbackaddr"
	"lapisspread/internal/faultlab/model"
)

// root is the root of the repository, where the commands of the deploy file are started.
var root = func() string {
	dir, err := os.Getwd()
	if err != nil {
		return "."
	}
	return dir
}()

// world is what a case is played in.
type world struct {
	trouble bool
	tmp     string
	began   time.Time

	mu     sync.Mutex
	record *os.File
	procs  []*process
}

func newWorld(folder string, trouble bool) (*world, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, errors.Join(err, record.Close())
	}
	w := &world{trouble: trouble, tmp: tmp, began: time.Now(), record: record}
	w.say("trouble: %v", trouble)
	return w, nil
}

// say writes a line to the record, with the seconds since the start.
func (w *world) say(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = w.record.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

// end ends all processes that were started, and removes what they left.
func (w *world) end() {
	w.mu.Lock()
	procs := w.procs
	w.mu.Unlock()
	for _, p := range procs {
		p.signal(syscall.SIGCONT)
		p.kill()
	}
	_ = os.RemoveAll(w.tmp)
	_ = w.record.Close()
}

// folder makes a folder for one process.
func (w *world) folder(name string) (string, error) {
	path := filepath.Join(w.tmp, name)
	return path, os.MkdirAll(path, 0o700)
}

// write writes a file in a process's folder and returns its path.
func (w *world) write(folder, name, text string) (string, error) {
	path := filepath.Join(w.tmp, folder, name)
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// process is one that the case has started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

// start starts a command as the platform does: by the shell, from the root.
func (w *world) start(name, command string, env ...string) (*process, error) {
	return w.startWith(name, command, nil, env...)
}

// startWith is start with open files, from descriptor 3 on.
func (w *world) startWith(name, command string, files []*os.File, env ...string) (*process, error) {
	log, err := os.Create(filepath.Join(w.tmp, name+".log"))
	if err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir = root
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.ExtraFiles = files
	// If this program is ended at once, its processes end too. The signal follows the thread that started them.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	started := make(chan error, 1)
	go func() {
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		defer close(p.done)
		defer func() { _ = log.Close() }()
		err := cmd.Start()
		started <- err
		if err == nil {
			_ = cmd.Wait()
		}
	}()
	if err := <-started; err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.procs = append(w.procs, p)
	w.mu.Unlock()
	w.say("%s: started, %s", name, strings.ReplaceAll(command, w.tmp, "$TMP"))
	return p, nil
}

// log returns the last lines that a process has written.
func (w *world) log(name string, lines int) string {
	text, _ := os.ReadFile(filepath.Join(w.tmp, name+".log"))
	all := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process at once and waits until it is gone.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// proxyFiles are the switches of a proxy, by the names of the flags of "serve".
type proxyFiles struct{ services, diameter, comeback, admission, fleet string }

func (f proxyFiles) flags() string {
	text := ""
	for _, flag := range [][2]string{
		{"services", f.services}, {"diameter", f.diameter}, {"comeback", f.comeback},
		{"admission", f.admission}, {"fleet", f.fleet},
	} {
		if flag[1] != "" {
			text += " --" + flag[0] + " " + flag[1]
		}
	}
	return text
}

// proxy is one proxy of the fleet.
type proxy struct {
	*process
	world   *world
	name    string
	listen  string
	console string
	files   proxyFiles
	before  string // in the shell, ahead of the command
	config  map[string]any
}

// newProxy writes the configuration of a proxy. It is started by run.
func (w *world) newProxy(number, proxies int, register *register, change func(settings map[string]any)) (*proxy, error) {
	p := &proxy{world: w, name: fmt.Sprintf("n%d", number+1)}
	if _, err := w.folder(p.name); err != nil {
		return nil, err
	}
	if _, err := w.folder(p.name + "/state"); err != nil {
		return nil, err
	}
	var err error
	if p.listen, err = loopbackaddr.Addr(); err != nil {
		return nil, err
	}
	if p.console, err = loopbackaddr.Addr(); err != nil {
		return nil, err
	}
	spec := model.Default()
	spec.Proxies = proxies
	settings := liverun.Settings(&spec, number)
	if change != nil {
		change(settings)
	}
	p.config = map[string]any{
		"name": p.name, "listen": p.listen, "discovery": register.addr, "console": p.console,
		"seed":     fmt.Sprintf("8c1f30d27a5be96%x", number),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":    json.RawMessage(register.whole()),
		"settings": settings,
	}
	return p, p.writeConfig()
}

func (p *proxy) writeConfig() error {
	text, err := json.MarshalIndent(p.config, "", " ")
	if err != nil {
		return err
	}
	_, err = p.world.write(p.name, "config.json", string(text))
	return err
}

// run starts the proxy by the command of the deploy file and waits until it is ready.
func (p *proxy) run(life string) error {
	command, err := deployCommand("run")
	if err != nil {
		return err
	}
	dir := filepath.Join(p.world.tmp, p.name)
	p.process, err = p.world.start(p.name+life, p.before+command+p.files.flags(),
		"BALANCER_CONFIG="+filepath.Join(dir, "config.json"), "BALANCER_NAME="+p.name,
		"BALANCER_LISTEN="+p.listen, "BALANCER_CONSOLE="+p.console, "TMPDIR="+filepath.Join(dir, "state"))
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 1000 {
		if !p.running() {
			return fmt.Errorf("%s has ended at its start: %s", p.name, p.world.log(p.name+life, 5))
		}
		resp, err := client.Get("http://" + p.listen + "/_health")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				p.world.say("%s: ready", p.name+life)
				return nil
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready: %s", p.name, p.world.log(p.name+life, 5))
}

// deployCommand returns a command of deploy/balancer.toml.
func deployCommand(key string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		name, value, found := strings.Cut(line, "=")
		if !found || strings.TrimSpace(name) != key {
			continue
		}
		value = strings.TrimSpace(value)
		if len(value) > 1 && value[0] == '"' {
			if end := strings.IndexByte(value[1:], '"'); end >= 0 {
				return value[1 : end+1], nil
			}
		}
	}
	return "", fmt.Errorf("deploy/balancer.toml has no %q", key)
}

// until waits until something holds, for at most d, and reports whether it does.
func until(d time.Duration, holds func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}
