package liverun

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"lapisspread/internal/faultlab/loopbackaddr"
	"lapisspread/internal/faultlab/model"
)

// child is a proxy's place: one process, or two while it is upgraded.
type child struct {
	r      *Run
	no     int
	listen string
	socket *net.TCPListener // held here and passed on, where proxies are upgraded; else nil
	file   *os.File
	state  string // its TMPDIR

	order sync.Mutex // one end in order at a time

	mu     sync.Mutex
	procs  []*process // the last one is the newest
	ended  bool       // no more are started
	deads  int        // times its process was killed on purpose
	starts int        // processes that were started
	dying  bool       // it is being killed, or was, and no other process has been started
	kills  int        // by a time line
	last   time.Time  // a process that was to end in order had to be killed
	usage  Usage      // of those that have ended
}

type process struct {
	cmd      *exec.Cmd
	done     chan struct{} // closed once it has ended
	err      error
	expected bool // its end is
	console  string

	mu   sync.Mutex
	tail []string
}

// keepLines is how much of a child's log is kept to be shown.
const keepLines = 12

// startProxies starts all proxies and waits for none.
func (r *Run) startProxies(ctx context.Context) error {
	upgrades := slices.ContainsFunc(r.spec.Faults, func(f model.Fault) bool { return f.Kind == model.UpgradeProxy })
	for no := range r.spec.Proxies {
		c := &child{r: r, no: no, state: filepath.Join(r.tmp, fmt.Sprintf("state-%d", no))}
		if err := os.Mkdir(c.state, 0o700); err != nil {
			return fmt.Errorf("proxy %d: %w", no, err)
		}
		var err error
		if upgrades {
			if c.socket, err = net.ListenTCP("tcp4", &net.TCPAddr{IP: loopbackaddr.IP()}); err != nil {
				return fmt.Errorf("proxy %d: an address: %w", no, err)
			}
			c.listen = c.socket.Addr().String()
			if c.file, err = c.socket.File(); err != nil {
				return fmt.Errorf("proxy %d: its socket: %w", no, err)
			}
		} else if c.listen, err = loopbackaddr.Addr(); err != nil { // if another process is faster, the proxy says so and the start fails
			return fmt.Errorf("proxy %d: an address: %w", no, err)
		}
		r.proxies = append(r.proxies, c)
		if len(r.opts.Services) > 0 {
			if err := c.writeServices(r.opts.Services[0]); err != nil {
				return fmt.Errorf("proxy %d: its file of services: %w", no, err)
			}
		}
		for what, text := range map[string]string{"admission": r.opts.Admission, "comeback": r.opts.Comeback, "fleet": r.opts.FleetFile} {
			if text == "" {
				continue
			}
			if err := os.WriteFile(c.filePath(what), []byte(text), 0o600); err != nil {
				return fmt.Errorf("proxy %d: its file of %s: %w", no, what, err)
			}
		}
		if _, err := c.start(); err != nil {
			return err
		}
	}
	return r.awaitHealthy(ctx)
}

// startWait is how long a proxy may take to serve. It says nothing of how long that should take.
const startWait = time.Minute

func (r *Run) awaitHealthy(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	until := time.Now().Add(startWait)
	for _, c := range r.proxies {
		for !healthy(client, c.listen) {
			p := c.newest()
			select {
			case <-p.done:
				return fmt.Errorf("proxy %d ended at its start: %v%s", c.no, p.err, p.lastLines())
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(10 * time.Millisecond):
			}
			if time.Now().After(until) {
				return fmt.Errorf("proxy %d does not serve %v after its start%s", c.no, startWait, p.lastLines())
			}
		}
	}
	return nil
}

func healthy(client *http.Client, addr string) bool {
	resp, err := client.Get("http://" + addr + "/_health")
	if err != nil {
		return false
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// config writes the child's configuration.
func (c *child) config() (string, error) {
	r := c.r
	known, _ := r.agents[c.no].catalog(0, true)
	if old := r.remembered.Load(); old != nil {
		known = (*old)[c.no]
	}
	v := map[string]any{"name": fmt.Sprintf("n%d", c.no), "listen": c.listen, "discovery": r.registerAddr(c.no),
		"seed":   fmt.Sprintf("%x", r.spec.Seed*1000003+uint64(c.no)<<8+uint64(c.deads)),
		"limits": map[string]any{"cores": 1.0, "memory_mb": r.opts.MemoryMB, "sockets": r.opts.Sockets},
		"known":  known, "settings": Settings(r.spec, c.no)}
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(r.tmp, fmt.Sprintf("config-%d.json", c.no))
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return path, err
	}
	return path, os.Rename(path+".new", path) // whoever reads it reads all of it
}

// reload writes the configuration anew and has the processes read it.
func (c *child) reload() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, err := c.config(); err != nil {
		return err
	}
	for _, p := range c.procs {
		_ = p.cmd.Process.Signal(syscall.SIGHUP) // it may have ended
	}
	return nil
}

// signal sends a signal to the place's processes.
func (c *child) signal(s os.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.procs {
		_ = p.cmd.Process.Signal(s) // it may have ended
	}
}

// filePath is where a file of settings is that the place's processes go by.
func (c *child) filePath(what string) string {
	return filepath.Join(c.r.tmp, fmt.Sprintf("%s-%d.toml", what, c.no))
}

// writeServices replaces the place's file of services as a whole.
func (c *child) writeServices(text string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	path := c.filePath("services")
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// held is how many descriptors the newest process has open, and its resident memory in MB; 0 where it has ended.
func (c *child) held() (files int, mb float64) {
	p := c.newest()
	if p == nil {
		return 0, 0
	}
	dir := fmt.Sprintf("/proc/%d", p.cmd.Process.Pid)
	if list, err := os.ReadDir(dir + "/fd"); err == nil {
		files = len(list)
	}
	var size, pages int64
	if text, err := os.ReadFile(dir + "/statm"); err == nil {
		fmt.Sscan(string(text), &size, &pages)
	}
	return files, float64(pages) * float64(os.Getpagesize()) / (1 << 20)
}

// peakRSS is the most resident memory that the newest process has had, in MB; 0 where it has ended. Unlike what the system
// tells at a process's end, it leaves out the program that has started it.
func (c *child) peakRSS() float64 {
	p := c.newest()
	if p == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "\nVmHWM:")
	var kb float64
	_, _ = fmt.Sscan(rest, &kb)
	return kb / (1 << 10)
}

// count counts the newest process's descriptors and, where it tells them, goroutines.
func (c *child) count(files, goroutines *int) {
	p := c.newest()
	var info struct{ Goroutines int }
	if text, err := call(p.console, "INFO"); err == nil {
		for line := range strings.Lines(text) {
			if strings.HasPrefix(line, "{") {
				_ = json.Unmarshal([]byte(line), &info)
			}
		}
	}
	open, _ := c.held()
	c.mu.Lock()
	defer c.mu.Unlock()
	*goroutines = info.Goroutines
	if open > 0 {
		*files = open
	}
}

// callWait bounds a call of a console. It says nothing of how long one should take.
const callWait = 10 * time.Second

// call makes a call of a console and gives its whole answer.
func call(addr, line string) (string, error) {
	conn, err := net.DialTimeout("tcp4", addr, callWait)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(callWait))
	fmt.Fprintln(conn, line)
	text, err := io.ReadAll(io.LimitReader(conn, 1<<20))
	return string(text), err
}

// start starts a process in the place.
func (c *child) start() (*process, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return nil, errors.New("the run is over")
	}
	path, err := c.config()
	if err != nil {
		return nil, fmt.Errorf("proxy %d: its configuration: %w", c.no, err)
	}
	p := &process{done: make(chan struct{})}
	if p.console, err = loopbackaddr.Addr(); err != nil {
		return nil, fmt.Errorf("proxy %d: its console: %w", c.no, err)
	}
	args := slices.Clone(c.r.opts.Args)
	if len(c.r.opts.Services) > 0 {
		args = append(args, "--services", c.filePath("services"))
	}
	if c.r.opts.Admission != "" {
		args = append(args, "--admission", c.filePath("admission"))
	}
	if c.r.opts.Comeback != "" {
		args = append(args, "--comeback", c.filePath("comeback"))
	}
	if c.r.opts.FleetFile != "" || c.r.opts.Fleet != nil && !c.r.opts.Fleet.Deaf {
		args = append(args, "--fleet", c.filePath("fleet"))
	}
	binary := Alternate(c.r.opts.Binary, c.r.opts.OtherBinary, c.no+c.starts)
	c.starts++
	p.cmd = exec.Command(binary, args...)
	if c.r.opts.Flood != nil { // here the limit is the machine's, whatever the program thinks of it
		p.cmd = exec.Command("/bin/sh", append([]string{"-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(c.r.opts.Sockets), binary}, args...)...)
	}
	p.cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+path, "BALANCER_NAME=", "BALANCER_LISTEN=", "BALANCER_DISCOVERY=",
		"BALANCER_CONSOLE="+p.console, "BALANCER_PASSED_SOCKET=", "TMPDIR="+c.state)
	if c.file != nil {
		p.cmd.ExtraFiles = []*os.File{c.file}
		p.cmd.Env = append(p.cmd.Env, "BALANCER_PASSED_SOCKET=3")
	}
	p.cmd.Env = append(p.cmd.Env, c.r.opts.Env...)
	if err := c.r.launch(p, func() { c.over(p) }); err != nil {
		return nil, fmt.Errorf("proxy %d: starting %s: %w", c.no, binary, err)
	}
	c.procs, c.dying = append(c.procs, p), false
	return p, nil
}

// Alternate returns the program that the n-th process of a sequence runs: programs of two builds take turns, and without
// another build it is always the same one. The first process of slot k of a fleet is number k, and each one that replaces it
// has the next number, so that neighbours run different builds and so do a process and its successor.
func Alternate(binary, other string, n int) string {
	if other == "" || n%2 == 0 {
		return binary
	}
	return other
}

// launch starts a process and keeps the end of its log. Over is called once it has ended, before done closes.
func (r *Run) launch(p *process, over func()) error {
	// A group of its own, so that Ctrl-C at the terminal reaches the laboratory alone, and an end with ours.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	out, in, err := os.Pipe()
	if err != nil {
		return fmt.Errorf("its log: %w", err)
	}
	p.cmd.Stdout, p.cmd.Stderr = in, in
	started := make(chan error)
	r.running.Go(func() {
		// The signal at the parent's end follows the thread that started the child.
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		err := p.cmd.Start()
		in.Close()
		started <- err
		if err != nil {
			out.Close()
			return
		}
		read := make(chan struct{})
		r.running.Go(func() { p.read(out); close(read) })
		p.err = p.cmd.Wait()
		select { // its last lines may be on their way; a process of its own may hold the pipe
		case <-read:
		case <-time.After(time.Second):
		}
		over()
		close(p.done)
	})
	return <-started
}

func (c *child) used() Usage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.usage
}

// lives counts the deaths of the place's processes that were not an end in order, and tells whether it is between one and the next
// process. Danger: a process that is to be killed takes requests until the signal reaches it.
func (c *child) lives() (deaths int, dying bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deads, c.dying
}

// livesStill tells whether no process of the place has died, or is about to, since so many had.
func (c *child) livesStill(deaths int) bool {
	now, dying := c.lives()
	return now == deaths && !dying
}

func (c *child) newest() *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.procs[len(c.procs)-1]
}

// over notes the end of a process.
func (c *child) over(p *process) {
	c.mu.Lock()
	expected := p.expected || c.ended
	if !expected {
		c.deads++
	}
	if state := p.cmd.ProcessState; state != nil {
		c.usage.CPU += state.UserTime() + state.SystemTime()
		if u, ok := state.SysUsage().(*syscall.Rusage); ok {
			c.usage.MaxRSS = max(c.usage.MaxRSS, u.Maxrss<<10) // Linux tells it in KiB
		}
	}
	c.procs = slices.DeleteFunc(c.procs, func(o *process) bool { return o == p && len(c.procs) > 1 })
	c.mu.Unlock()
	if !expected {
		c.r.mu.Lock()
		c.r.problem("proxy %d ended by itself: %v%s", c.no, p.err, p.lastLines())
		c.r.mu.Unlock()
	}
}

func (p *process) read(out *os.File) {
	defer out.Close()
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		p.mu.Lock()
		p.tail = append(p.tail, lines.Text())
		if len(p.tail) > keepLines {
			p.tail = p.tail[1:]
		}
		p.mu.Unlock()
	}
	io.Copy(io.Discard, out)
}

// lastLines is the end of the child's log, to be put behind an error.
func (p *process) lastLines() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.tail) == 0 {
		return "; it has printed nothing"
	}
	return "; its last lines:\n    " + strings.Join(p.tail, "\n    ")
}

// proxyAway is how long a proxy that was killed takes to come back.
const proxyAway = 1500 * time.Millisecond

// killAndRestart is SIGKILL and a new process after a while.
func (c *child) killAndRestart(away time.Duration) {
	c.mu.Lock()
	c.kills++
	mine := c.kills
	c.mu.Unlock()
	c.kill()
	time.Sleep(away)
	c.mu.Lock()
	last := c.kills == mine // else it was killed again, and starts after that
	c.mu.Unlock()
	if last {
		c.startAgain()
	}
}

// kill is SIGKILL. It returns once the process has ended.
func (c *child) kill() {
	c.mu.Lock()
	c.deads++
	c.dying = true
	p := c.procs[len(c.procs)-1]
	p.expected = true
	c.mu.Unlock()
	// Danger: a client may see the end of its connection before this process hears of that of the child. So the place counts as
	// without a processor from before the kill on until a process serves there again.
	c.r.mu.Lock()
	c.r.ledger.ProxyStopped(c.no, true)
	c.r.ledger.Forget(c.no)
	c.r.mu.Unlock()
	p.cmd.Process.Kill()
	<-p.done
}

// startAgain puts a new process in the place of one that was killed, and waits until it serves.
func (c *child) startAgain() {
	if c.startNext() {
		c.r.mu.Lock()
		c.r.ledger.ProxyStopped(c.no, false)
		c.r.mu.Unlock()
	}
}

// startNext puts a new process in an empty place, and waits until it serves. It tells whether it was started.
func (c *child) startNext() bool {
	c.r.mu.Lock()
	c.r.agents[c.no].begin(c.r.now()) // from its first moment on
	c.r.mu.Unlock()
	next, err := c.start()
	if err != nil {
		if !c.isOver() {
			c.r.mu.Lock()
			c.r.problem("proxy %d does not come back: %v", c.no, err)
			c.r.mu.Unlock()
		}
		return false
	}
	for until := time.Now().Add(upgradeWait); !ping(next.console) && time.Now().Before(until) && !c.isOver(); {
		time.Sleep(10 * time.Millisecond)
	}
	return true
}

// restart ends the place's process in order, and starts one in its place once it has ended.
func (c *child) restart() {
	c.order.Lock()
	defer c.order.Unlock()
	deaths, dying := c.lives()
	if dying { // killed: whoever did that starts the next
		return
	}
	c.term(c.newest(), false)
	if !c.isOver() && c.livesStill(deaths) {
		c.startNext()
	}
}

// term is SIGTERM, and SIGKILL if the process has not ended when its time is over. Clients go on sending on what they have open.
// It returns once the process has ended. Succeeded is one in whose place another one serves already.
func (c *child) term(p *process, succeeded bool) {
	c.mu.Lock()
	p.expected = true
	c.mu.Unlock()
	c.r.front.ending(c.no, succeeded)
	defer c.r.front.ended(c.no)
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // it may have ended
	select {
	case <-p.done:
		return
	case <-time.After(c.r.spec.KillAfter()):
	}
	c.mu.Lock()
	c.last = time.Now()
	c.mu.Unlock()
	p.cmd.Process.Kill()
	<-p.done
}

// killedSince tells whether a process of the place that was to end in order had to be killed since then.
func (c *child) killedSince(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last.After(t)
}

func (c *child) isOver() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// upgradeWait is how long a new process may take to serve beside the old one, and killAfter how long one has after SIGTERM once
// the run is over.
const (
	upgradeWait = 6 * time.Second
	killAfter   = 3700 * time.Millisecond
)

// upgrade starts a new process beside the running one and ends that once the new one serves.
func (c *child) upgrade() {
	c.order.Lock()
	defer c.order.Unlock()
	old := c.newest()
	next, err := c.start()
	if err != nil {
		if !c.isOver() {
			c.r.mu.Lock()
			c.r.problem("proxy %d: the upgrade: %v", c.no, err)
			c.r.mu.Unlock()
		}
		return
	}
	for until := time.Now().Add(upgradeWait); !ping(next.console) && time.Now().Before(until) && !c.isOver(); {
		time.Sleep(20 * time.Millisecond)
	}
	c.term(old, true)
}

// ping asks a console whether its process takes clients.
func ping(addr string) bool {
	conn, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprint(conn, "PING\n")
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.HasPrefix(line, "200")
}

// end ends all processes of the place, in order first, and starts no more.
func (c *child) end() {
	c.mu.Lock()
	c.ended = true
	procs := slices.Clone(c.procs)
	c.mu.Unlock()
	for _, p := range procs {
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
	}
	deadline := time.After(killAfter)
	for _, p := range procs {
		select {
		case <-p.done:
		case <-deadline:
			p.cmd.Process.Kill()
			<-p.done
		}
	}
	if c.file != nil {
		c.file.Close()
		c.socket.Close()
	}
}
