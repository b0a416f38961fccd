package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
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
	"sync/atomic"
	"time"
)

// ward is a lapisspread serve before a stand-in register and a stand-in for all backends, on loopback.
type ward struct {
	url, direct string // of the proxy; of the backends
	pid         int
	list        int          // bytes of the register's whole list
	asked       atomic.Int64 // probes and requests that the backends got
	over        chan error
	log         string
	ends        []func() // in turn, the last first
	once        sync.Once
}

func (w *ward) end() {
	w.once.Do(func() {
		for i := len(w.ends) - 1; i >= 0; i-- {
			w.ends[i]()
		}
	})
}

// wait gives up where the process has ended.
func (w *ward) wait(ctx context.Context, d time.Duration) error {
	select {
	case err := <-w.over:
		w.over <- err // for end
		text, _ := os.ReadFile(w.log)
		return fmt.Errorf("it ended: %w: %s", err, text[max(0, len(text)-400):])
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// begin starts one of so many proxies with so many services, 38 backends each.
func (g *rig) begin(ctx context.Context, proxies, n int, probed bool) (*ward, error) {
	if g.program == "" {
		return nil, usageError{fmt.Errorf("--program: the path of lapisspread is needed")}
	}
	w := &ward{over: make(chan error, 1)}
	if err := w.start(ctx, g.program, proxies, n, probed); err != nil {
		w.end()
		return nil, err
	}
	return w, nil
}

func (w *ward) start(ctx context.Context, program string, proxies, n int, probed bool) error {
	dir, err := os.MkdirTemp("", "faultlab-slopes")
	if err != nil {
		return err
	}
	w.ends = append(w.ends, func() { os.RemoveAll(dir) })
	var serving sync.WaitGroup
	w.ends = append(w.ends, serving.Wait)
	serve := func(h http.HandlerFunc) (addr string, err error) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
		serving.Go(func() { _ = s.Serve(l) })
		w.ends = append(w.ends, func() { _ = s.Close() })
		return l.Addr().String(), nil
	}
	backend, err := serve(func(a http.ResponseWriter, _ *http.Request) { w.asked.Add(1); a.WriteHeader(http.StatusOK) })
	if err != nil {
		return err
	}
	w.direct = "http://" + backend + "/api"
	var list strings.Builder
	list.WriteString(`{"generation":1,"reset":true,"instances":[`)
	for i := range n * perService {
		if i > 0 {
			list.WriteByte(',')
		}
		fmt.Fprintf(&list, `{"instanceId":"dispatch-r%d-z%02d-%05d","hostPort":%q,"zone":"nyarugenge","machineType":"k%d","cell":0,"lifecycle":"active","weight":1.0,"startedAtMs":0}`,
			i%7, i%22, i, backend, i%n)
	}
	list.WriteString("]}")
	w.list = list.Len()
	ended := make(chan struct{})
	catalogue, err := serve(func(a http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("from") != "1" {
			_, _ = io.WriteString(a, list.String())
			return
		}
		hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
		select {
		case <-time.After(time.Duration(hold) * time.Millisecond):
		case <-r.Context().Done():
		case <-ended:
		}
		_, _ = io.WriteString(a, `{"generation":1,"reset":false,"instances":[]}`)
	})
	if err != nil {
		return err
	}
	w.ends = append(w.ends, func() { close(ended) })
	var file strings.Builder
	file.WriteString("version = 1\n")
	for i := range n {
		fmt.Fprintf(&file, "[[service]]\nname = \"s%d\"\nkinds = [\"k%d\"]\n[[route]]\nname = \"r%d\"\nhost = \"s%d.example.org\"\nto = [{ service = \"s%d\" }]\n", i, i, i, i, i)
	}
	at := filepath.Join(dir, "services.toml")
	if err := os.WriteFile(at, []byte(file.String()), 0o600); err != nil {
		return err
	}
	config, err := writeConfig(dir, catalogue, proxies, n, probed)
	if err != nil {
		return err
	}
	door, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return err
	}
	defer door.Close()
	passed, err := door.File()
	if err != nil {
		return err
	}
	defer passed.Close()
	w.url = "http://" + door.Addr().String() + "/api"
	w.log = filepath.Join(dir, "log")
	log, err := os.Create(w.log)
	if err != nil {
		return err
	}
	defer log.Close()
	inner, cancel := context.WithCancel(ctx)
	c := exec.CommandContext(inner, program, "serve", "--services", at)
	c.Env = append(os.Environ(), "BALANCER_CONFIG="+config, "BALANCER_NAME=", "BALANCER_LISTEN=", "BALANCER_DISCOVERY=", "BALANCER_CONSOLE=", "BALANCER_PASSED_SOCKET=3",
		"TMPDIR="+dir, "GOMAXPROCS="+strconv.Itoa(runtime.GOMAXPROCS(0)))
	c.Stdout, c.Stderr, c.ExtraFiles = log, log, []*os.File{passed}
	if err := c.Start(); err != nil {
		cancel()
		return err
	}
	w.pid = c.Process.Pid
	go func() { w.over <- c.Wait() }()
	w.ends = append(w.ends, func() { cancel(); <-w.over })
	// It takes in its list, and the first probes of all pass.
	return w.wait(ctx, 5*time.Second+time.Duration(n)*20*time.Millisecond)
}

func processOf(ctx context.Context, g *rig, n int, probed bool) ([]is, error) {
	w, err := g.begin(ctx, targetProxies, n, probed)
	if err != nil {
		return nil, err
	}
	defer w.end()
	var best, start footprint
	for i := range g.times {
		n0, was, err := w.asked.Load(), footprint{}, error(nil)
		if was, err = footprintOf(w.pid); err != nil {
			return nil, err
		}
		if i == 0 {
			start = was
		}
		began := time.Now()
		if err := w.wait(ctx, 4*time.Second); err != nil {
			return nil, err
		}
		now, err := footprintOf(w.pid)
		if err != nil {
			return nil, err
		}
		span := time.Since(began).Seconds()
		got := footprint{cpu: (now.cpu - was.cpu) / span, mb: now.mb, bytes: (now.bytes - was.bytes) / span, probes: float64(w.asked.Load()-n0) / span}
		if best.cpu == 0 || got.cpu < best.cpu {
			best = got
		}
	}
	return []is{{"resident", "MB", best.mb}, {"at rest", "% core", 100 * best.cpu}, {"read and written", "KB/s", best.bytes / 1000}, {"probes", "1/s", best.probes},
		{"the start, and some seconds", "s", start.cpu}, {"the list", "KB", float64(w.list) / 1000}}, nil
}

func requestsOf(ctx context.Context, g *rig, rate int) ([]is, error) {
	// Danger: its limits are a proxy's part of what the backends bear; among 4,700 proxies, 38 backends are not for 10 requests a second.
	const services, proxies = 16, targetProxies * 16 / targetServices
	w, err := g.begin(ctx, proxies, services, true)
	if err != nil {
		return nil, err
	}
	defer w.end()
	rest, err := footprintOf(w.pid)
	if err != nil {
		return nil, err
	}
	const quiet = 4 * time.Second
	if err := w.wait(ctx, quiet); err != nil {
		return nil, err
	}
	was, err := footprintOf(w.pid)
	if err != nil {
		return nil, err
	}
	atRest := (was.cpu - rest.cpu) / quiet.Seconds()
	began := time.Now()
	through, err := ask(ctx, w.url, services, rate, 5*time.Second)
	if err != nil {
		return nil, err
	}
	span := time.Since(began).Seconds()
	now, err := footprintOf(w.pid)
	if err != nil {
		return nil, err
	}
	direct, err := ask(ctx, w.direct, services, rate, 5*time.Second)
	if err != nil {
		return nil, err
	}
	if through.failed*100 > len(through.took) {
		return nil, fmt.Errorf("%d of %d were not answered as asked: %s", through.failed, through.failed+len(through.took), through.why)
	}
	return []is{{"a request", "us of a core", 1e6 * (now.cpu - was.cpu - atRest*span) / float64(len(through.took))}, {"through the proxy, 50 in 100", "ms", through.within(.5)},
		{"directly, 50 in 100", "ms", direct.within(.5)}, {"through the proxy, 99 in 100", "ms", through.within(.99)}, {"directly, 99 in 100", "ms", direct.within(.99)},
		{"not answered with 200", "requests", float64(through.failed)}}, nil
}

// asked is what became of requests that were sent at their times whatever became of those before.
type asked struct {
	took   []time.Duration
	failed int
	why    string // of the last that failed
}

func (a *asked) within(part float64) float64 {
	return millis(a.took[min(len(a.took)-1, int(part*float64(len(a.took))))])
}

func ask(ctx context.Context, url string, services, rate int, length time.Duration) (*asked, error) {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}
	defer client.CloseIdleConnections()
	out := &asked{}
	var mu sync.Mutex
	var open sync.WaitGroup
	defer open.Wait()
	rng := rand.New(rand.NewPCG(1, uint64(rate)))
	began := time.Now()
	for n, due := 0, time.Duration(0); ; n++ {
		due += time.Duration(rng.ExpFloat64() / float64(rate) * float64(time.Second))
		if due >= length {
			break
		}
		select {
		case <-time.After(due - time.Since(began)):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		open.Go(func() {
			var why string
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
			if err == nil {
				r.Host = fmt.Sprintf("s%d.example.org", n%services)
				r.Header = http.Header{"X-Request-Id": {fmt.Sprintf("%016x", n)}, "X-Priority-Class": {"trip-close"}, "X-Timeout-Ms": {"1000"}, "X-Tenant-Id": {"kivu-cabs"}}
				var a *http.Response
				if a, err = client.Do(r); err == nil {
					var text []byte
					text, err = io.ReadAll(a.Body)
					_ = a.Body.Close()
					if a.StatusCode != http.StatusOK {
						why = fmt.Sprintf("%s: %.200s", a.Status, text)
					}
				}
			}
			if err != nil {
				why = err.Error()
			}
			took := time.Since(began) - due
			mu.Lock()
			defer mu.Unlock()
			if why != "" {
				out.failed, out.why = out.failed+1, why
				return
			}
			out.took = append(out.took, took)
		})
	}
	open.Wait()
	if len(out.took) == 0 {
		return nil, fmt.Errorf("of %d requests none was answered", out.failed)
	}
	slices.Sort(out.took)
	return out, nil
}

// footprint is what a process has used: seconds of the processor, bytes read and written; and its resident memory.
type footprint struct{ cpu, mb, bytes, probes float64 }

func footprintOf(pid int) (u footprint, err error) {
	read := func(name string) string {
		text, bad := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, name))
		if bad != nil {
			err = bad
		}
		return string(text)
	}
	stat := read("stat")
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if err == nil && len(fields) > 22 {
		const hertz = 100 // USER_HZ of Linux
		user, _ := strconv.ParseFloat(fields[11], 64)
		system, _ := strconv.ParseFloat(fields[12], 64)
		pages, _ := strconv.ParseFloat(fields[21], 64)
		u.cpu, u.mb = (user+system)/hertz, pages*float64(os.Getpagesize())/1e6
	}
	for line := range strings.Lines(read("io")) {
		if name, v, ok := strings.Cut(strings.TrimSpace(line), ": "); ok && (name == "rchar" || name == "wchar") {
			n, _ := strconv.ParseFloat(v, 64)
			u.bytes += n
		}
	}
	return u, err
}
