package peerfaults

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"syscall"
	"time"

	"lapisspread/internal/faultlab/liverun"
	"lapisspread/internal/faultlab/loopbackaddr"
	"lapisspread/internal/faultlab/model"
)

const (
	startTimeout   = time.Minute             // for a proxy to serve; says nothing of how long it should take
	connectTimeout = 1500 * time.Millisecond // of the settings: longer than a retransmission of a SYN
)

// proxyProcess is the proxy of a case, with its list of servers.
type proxyProcess struct {
	listen   string
	dir      string
	cmd      *exec.Cmd
	done     chan struct{}
	register *http.Server
}

// startProxy starts a proxy whose only server listens at addr, and waits until it serves.
func startProxy(ctx context.Context, binary, addr string, c Case) (*proxyProcess, error) {
	p := &proxyProcess{done: make(chan struct{})}
	var err error
	if p.dir, err = os.MkdirTemp("", "peerfaults-"); err != nil {
		return nil, err
	}
	if p.listen, err = loopbackaddr.Addr(); err != nil {
		return nil, err
	}
	list := serverList(addr)
	discovery, err := p.serveList(list)
	if err != nil {
		return nil, err
	}
	if err := p.writeConfig(list, discovery, c); err != nil {
		return nil, err
	}
	if err := p.start(binary); err != nil {
		return nil, err
	}
	if err := p.awaitHealthy(ctx); err != nil {
		p.end()
		return nil, err
	}
	return p, nil
}

// serverList returns the JSON of the whole list.
func serverList(addr string) []byte {
	text, err := json.Marshal(map[string]any{"generation": 1, "reset": true, "instances": []map[string]any{{
		"instanceId": "s-1", "hostPort": addr, "zone": "nyarugenge", "machineType": "std-1", "cell": 0, "lifecycle": "active",
		"weight": 1.0, "startedAtMs": 0,
	}}})
	if err != nil {
		panic(err) // strings and numbers can be marshaled
	}
	return text
}

// serveList serves a list that never changes, and returns the address.
func (p *proxyProcess) serveList(list []byte) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("the register: %w", err)
	}
	p.register = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("from") {
			<-r.Context().Done()
			return
		}
		_, _ = w.Write(list)
	})}
	go func() { _ = p.register.Serve(listener) }()
	return listener.Addr().String(), nil
}

// writeConfig writes the proxy's configuration.
func (p *proxyProcess) writeConfig(list []byte, discovery string, c Case) error {
	spec := model.Default()
	spec.Proxies = 1
	spec.Conns.ConnectTimeout = connectTimeout
	settings := liverun.Settings(&spec, 0)
	if c.LateConnection { // a probe would take the place in the accept queue
		settings["Caps"].(map[string]any)["Probes"] = false
	}
	text, err := json.Marshal(map[string]any{
		"name": "n0", "listen": p.listen, "discovery": discovery, "seed": "5eed", "known": json.RawMessage(list), "settings": settings,
		"limits": map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 512},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(p.dir, "config.json"), text, 0o600)
}

// start starts the process.
func (p *proxyProcess) start(binary string) error {
	log, err := os.Create(filepath.Join(p.dir, "log"))
	if err != nil {
		return err
	}
	p.cmd = exec.Command(binary, "serve")
	p.cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+filepath.Join(p.dir, "config.json"), "BALANCER_NAME=", "BALANCER_LISTEN=",
		"BALANCER_DISCOVERY=", "BALANCER_PASSED_SOCKET=", "BALANCER_CONSOLE=", "TMPDIR="+p.dir)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	go func() {
		runtime.LockOSThread() // the signal at the parent's end follows the thread that started the child
		defer runtime.UnlockOSThread()
		defer close(p.done)
		defer func() { _ = log.Close() }()
		err := p.cmd.Start()
		started <- err
		if err == nil {
			_ = p.cmd.Wait()
		}
	}()
	return <-started
}

// awaitHealthy waits until the proxy serves.
func (p *proxyProcess) awaitHealthy(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		select {
		case <-p.done:
			return fmt.Errorf("the proxy ended at its start: %s", p.log())
		case <-ctx.Done():
			return ctx.Err()
		default:
		}
		response, err := client.Get("http://" + p.listen + "/_health")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("the proxy does not serve")
}

// log returns what the process has logged.
func (p *proxyProcess) log() string {
	text, _ := os.ReadFile(filepath.Join(p.dir, "log"))
	return string(text)
}

func (p *proxyProcess) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// end ends the process and removes what it left.
func (p *proxyProcess) end() {
	p.signal(syscall.SIGKILL)
	<-p.done
	_ = p.register.Close()
	_ = os.RemoveAll(p.dir)
}
