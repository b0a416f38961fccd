package capacity

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

	"lapisspread/internal/faultlab/liverun"
	"lapisspread/internal/faultlab/loopbackaddr"
	"lapisspread/internal/faultlab/model"
)

// process is one that a run has started. It ends with this one.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{} // closed once it has ended
	err  error

	mu       sync.Mutex
	expected bool // its end is
	tail     []string
}

const keepLines = 8

// launch starts it, and has over called if it ends unexpectedly.
func launch(name string, cmd *exec.Cmd, over func(p *process)) (*process, error) {
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	// A group of its own, so that Ctrl-C at the terminal reaches this process alone, and an end with ours.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	errOut, in, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	cmd.Stderr = in
	if cmd.Stdout == nil {
		cmd.Stdout = in
	}
	started := make(chan error)
	go func() {
		runtime.LockOSThread() // the signal at the parent's end follows the thread that started the child
		defer runtime.UnlockOSThread()
		err := cmd.Start()
		in.Close()
		started <- err
		if err != nil {
			errOut.Close()
			return
		}
		go p.read(errOut)
		p.err = cmd.Wait()
		p.mu.Lock()
		expected := p.expected
		p.mu.Unlock()
		if !expected {
			over(p)
		}
		close(p.done)
	}()
	if err := <-started; err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return p, nil
}

func (p *process) read(out *os.File) {
	defer out.Close()
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		p.mu.Lock()
		p.tail = append(p.tail, lines.Text())
		p.tail = p.tail[max(0, len(p.tail)-keepLines):]
		p.mu.Unlock()
	}
	io.Copy(io.Discard, out)
}

func (p *process) lastLines() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.tail, "\n    ")
}

func (p *process) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) } // it may have ended

// end is SIGTERM, and SIGKILL if that takes long.
func (p *process) end() {
	p.mu.Lock()
	p.expected = true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(4 * time.Second):
		p.kill()
	}
}

func (p *process) kill() {
	p.mu.Lock()
	p.expected = true
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) cpu() time.Duration { return cpuOf(p.cmd.Process.Pid) }
func (p *process) anon() int64        { return anon(p.cmd.Process.Pid) }

// remote is a child with hollow proxies, as this process has it.
type remote struct {
	*process
	place  place
	orders chan order // a child that is stopped reads none: whoever gives them does not wait
	ready  chan struct{}

	mu      sync.Mutex
	answers map[int]chan event
	stopped bool
}

const mostOrders = 1 << 16

// child starts a process with hollow proxies.
func (r *run) child(name string, p place) (*remote, error) {
	cmd := r.set.Child()
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, w, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	cmd.Stdout = w
	c := &remote{place: p, orders: make(chan order, mostOrders), ready: make(chan struct{}), answers: map[int]chan event{}}
	c.process, err = launch(name, cmd, r.died)
	w.Close()
	if err != nil {
		out.Close()
		return nil, err
	}
	r.running.Go(func() {
		to := json.NewEncoder(in)
		err := to.Encode(p)
		for err == nil {
			select {
			case o := <-c.orders:
				err = to.Encode(o)
			case <-c.done:
				return
			}
		}
	})
	r.running.Go(func() {
		defer out.Close()
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 64<<20)
		for lines.Scan() {
			var e event
			if json.Unmarshal(lines.Bytes(), &e) != nil {
				continue
			}
			switch {
			case e.Ready:
				close(c.ready)
			case e.Seen != nil:
				r.saw(*e.Seen)
			case e.Broken != nil:
				r.broke("went back", e.Broken.Proxy+": "+e.Broken.What)
			default:
				c.mu.Lock()
				to := c.answers[e.ID]
				delete(c.answers, e.ID)
				c.mu.Unlock()
				if to != nil {
					to <- e
				}
			}
		}
	})
	return c, nil
}

// ask gives an order that is answered; the channel gets the answer.
func (c *remote) ask(r *run, o order) <-chan event {
	o.ID = int(r.lastID.Add(1))
	to := make(chan event, 1)
	c.mu.Lock()
	c.answers[o.ID] = to
	c.mu.Unlock()
	c.orders <- o
	return to
}

// call waits for the answer.
func (c *remote) call(ctx context.Context, r *run, o order) (event, error) {
	select {
	case e := <-c.ask(r, o):
		if e.Err != "" {
			return e, fmt.Errorf("%s: %s", c.name, e.Err)
		}
		return e, nil
	case <-c.done:
		return event{}, fmt.Errorf("%s has ended: %s", c.name, c.lastLines())
	case <-ctx.Done():
		return event{}, ctx.Err()
	}
}

// steward is a steward's place.
type steward struct {
	no   int
	addr string
	dir  string

	mu   sync.Mutex
	proc *process
	cpu  time.Duration // of those that were killed
}

func (s *steward) name() string { return "s" + strconv.Itoa(s.no+1) }

func (r *run) startSteward(s *steward) error {
	cmd := exec.Command(r.set.Binary, "steward", "--fleet", r.fleetPath, "--name", s.name(), "--state", s.dir)
	p, err := launch("steward "+s.name(), cmd, r.died)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.proc = p
	s.mu.Unlock()
	return nil
}

func (s *steward) process() *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.proc
}

func (s *steward) kill() {
	p := s.process()
	cpu := p.cpu()
	p.kill()
	s.mu.Lock()
	s.cpu += cpu
	s.mu.Unlock()
}

// spent is the processor time of all processes in the place.
func (s *steward) spent() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cpu + s.proc.cpu()
}

const requestClass = "driver-position" // of world.Default: safe

// real is a proxy's process with one client.
type real struct {
	*process
	name   string
	addr   string
	client *http.Client
}

// backends are one stand-in for each service, and a register that lists them.
func (r *run) startBackends() error {
	for i, name := range r.services {
		l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: loopbackaddr.IP()})
		if err != nil {
			return fmt.Errorf("a backend: %w", err)
		}
		r.serve(l, func(w http.ResponseWriter, q *http.Request) {
			if q.URL.Path == "/ping" {
				io.WriteString(w, "pong\n")
				return
			}
			io.Copy(io.Discard, q.Body)
			fmt.Fprintf(w, "%s %s", name, strings.Join(q.Header.Values("X-Fleet-Epoch"), " "))
		})
		r.members = append(r.members, map[string]any{"instanceId": fmt.Sprintf("s-%08x", i+1), "hostPort": l.Addr().String(), "zone": r.world.Zones[0],
			"machineType": name, "cell": 0, "lifecycle": "active", "weight": 1.0, "startedAtMs": 0})
	}
	l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: loopbackaddr.IP()})
	if err != nil {
		return fmt.Errorf("the register: %w", err)
	}
	r.register = l.Addr().String()
	r.serve(l, func(w http.ResponseWriter, q *http.Request) {
		list := map[string]any{"generation": 1, "reset": true, "instances": r.members}
		if ms, err := strconv.Atoi(q.URL.Query().Get("hold_ms")); err == nil && q.URL.Query().Get("from") == "1" {
			select {
			case <-time.After(min(time.Duration(ms)*time.Millisecond, time.Minute)):
			case <-q.Context().Done():
				return
			}
			list = map[string]any{"generation": 1, "reset": false, "instances": []any{}}
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(list) // else the caller is gone
	})
	return nil
}

func (r *run) serve(l net.Listener, handle http.HandlerFunc) {
	s := &http.Server{Handler: handle, ReadHeaderTimeout: 10 * time.Second}
	r.servers = append(r.servers, s)
	r.running.Go(func() { _ = s.Serve(l) })
}

// startReal starts a proxy's process; fleet is empty without one.
func (r *run) startReal(name, fleet string) (*real, error) {
	p := &real{name: name, client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
	var err error
	if p.addr, err = loopbackaddr.Addr(); err != nil {
		return nil, err
	}
	dir := filepath.Join(r.dir, "real-"+name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	settings := liverun.Settings(&r.world, 0)
	settings["Kinds"] = r.services
	text, err := json.Marshal(map[string]any{"name": name, "listen": p.addr, "discovery": r.register, "seed": fmt.Sprintf("%x", r.set.Seed+1),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 2048, "sockets": 20000}, "settings": settings,
		"known": map[string]any{"generation": 1, "reset": true, "instances": r.members}})
	if err != nil {
		return nil, err
	}
	var services strings.Builder
	services.WriteString("version = 1\n")
	for _, s := range r.services {
		fmt.Fprintf(&services, "[[service]]\nname = %q\nkinds = [%q]\n", s, s)
	}
	fmt.Fprintf(&services, "[[route]]\nname = \"none\"\nhost = \"nothing.example.net\"\nto = [{ service = %q }]\n", r.services[0])
	if err := errors.Join(os.WriteFile(filepath.Join(dir, "config.json"), text, 0o600),
		os.WriteFile(filepath.Join(dir, "services.toml"), []byte(services.String()), 0o600)); err != nil {
		return nil, err
	}
	args := []string{"serve", "--services", filepath.Join(dir, "services.toml")}
	if fleet != "" {
		args = append(args, "--fleet", fleet)
	}
	cmd := exec.Command(r.set.Binary, args...)
	cmd.Env = append(slices.DeleteFunc(os.Environ(), func(v string) bool { return strings.HasPrefix(v, "BALANCER_") }),
		"BALANCER_CONFIG="+filepath.Join(dir, "config.json"), "TMPDIR="+dir)
	if p.process, err = launch("proxy "+name, cmd, r.died); err != nil {
		return nil, err
	}
	return p, nil
}

// healthy waits until a real proxy takes clients.
func (p *real) healthy(ctx context.Context) error {
	for {
		a, err := p.client.Get("http://" + p.addr + "/_health")
		if err == nil {
			io.Copy(io.Discard, a.Body)
			a.Body.Close()
			if a.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-p.done:
			return fmt.Errorf("%s ended at its start: %v\n    %s", p.process.name, p.err, p.lastLines())
		case <-ctx.Done():
			return fmt.Errorf("%s does not serve: %w", p.process.name, ctx.Err())
		}
	}
}

// newWorld is what the real proxies' settings come from.
func newWorld() model.Spec {
	w := model.Default()
	w.Proxies = 2
	return w
}
