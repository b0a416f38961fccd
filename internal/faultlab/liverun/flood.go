package liverun

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Flood is connections of which nothing good comes, opened evenly over a span by processes of their own: one process has
// too few descriptors for a large one.
type Flood struct {
	Kind        string // see experiment.FloodKinds
	Connections int
	Addresses   int  // that they come from, within 127.128.0.0/9
	Shared      bool // from the clients' own one address
	At, For     time.Duration
}

const (
	perFlooder = 8000 // connections that one process opens at most
	floodHold  = time.Second
	dribble    = 150 * time.Millisecond // between two bytes of a slow head
)

// flood starts a flood's processes at its time and waits for them.
func (r *Run) flood(ctx context.Context, fl Flood) {
	select {
	case <-time.After(fl.At - r.now()):
	case <-ctx.Done():
		return
	}
	self, err := os.Executable()
	if err != nil {
		r.floodProblem(err)
		return
	}
	var targets []string
	for _, c := range r.proxies {
		targets = append(targets, c.listen)
	}
	n := (fl.Connections + perFlooder - 1) / perFlooder
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() {
			args := []string{"flood-client", "--targets", strings.Join(targets, ","), "--kind", fl.Kind, "--connections", strconv.Itoa(fl.Connections / n),
				"--addresses", strconv.Itoa(fl.Addresses), "--for", fl.For.String(), "--seed", strconv.Itoa(i + 1)}
			if fl.Shared {
				args = append(args, "--from", sharedAddr.String())
			}
			text, err := exec.CommandContext(ctx, self, args...).CombinedOutput()
			if err != nil && ctx.Err() == nil {
				r.floodProblem(fmt.Errorf("%w: %s", err, text))
			}
			r.log.Info("a flooder has ended", "said", strings.TrimSpace(string(text)))
		})
	}
	all.Wait()
}

func (r *Run) floodProblem(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.problem("the flood: %v", err)
}

// Flooder opens connections and does with them what its kind says. It ends by itself soon after its span.
type Flooder struct {
	Targets     []string
	Kind        string
	Connections int
	Addresses   int
	From        net.IP // all from this one; nil is by Addresses
	For         time.Duration
	Seed        uint64
}

// Run carries the flood out and tells how many connections were opened, were refused or failed, and were closed by the
// proxy.
func (f Flooder) Run(ctx context.Context, out io.Writer) error {
	for _, t := range f.Targets {
		host, _, err := net.SplitHostPort(t)
		if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
			return fmt.Errorf("target %q: floods go to loopback addresses only", t)
		}
	}
	if len(f.Targets) == 0 || f.Connections < 1 || f.Connections > perFlooder*2 || f.Addresses < 1 || f.For <= 0 || f.For > 10*time.Minute {
		return fmt.Errorf("a flood has targets, 1 to %d connections, addresses, and a span of at most ten minutes", 2*perFlooder)
	}
	ctx, cancel := context.WithTimeout(ctx, f.For+floodHold)
	defer cancel()
	rng := rand.New(rand.NewPCG(f.Seed, 9))
	var opened, failed, closed atomic.Int64
	var all sync.WaitGroup
	began := time.Now()
	gate := make(chan struct{}, 256) // connects under way
	for i := range f.Connections {
		if wait := time.Until(began.Add(f.For * time.Duration(i) / time.Duration(f.Connections))); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			break
		}
		from := f.From
		if from == nil {
			a := rng.IntN(f.Addresses)
			from = net.IPv4(127, byte(128+a>>16), byte(a>>8), byte(a))
		}
		select {
		case gate <- struct{}{}:
		case <-ctx.Done():
		}
		all.Go(func() {
			d := net.Dialer{LocalAddr: &net.TCPAddr{IP: from}, Timeout: 2 * time.Second}
			c, err := d.DialContext(ctx, "tcp4", f.Targets[i%len(f.Targets)])
			<-gate
			if err != nil {
				failed.Add(1)
				return
			}
			defer c.Close()
			opened.Add(1)
			if f.behave(ctx, c) {
				closed.Add(1)
			}
		})
	}
	all.Wait()
	fmt.Fprintf(out, "%d opened, %d failed, %d closed by the proxy\n", opened.Load(), failed.Load(), closed.Load())
	return nil
}

// behave does what the kind says until ctx ends or the proxy closes, and tells whether that did.
func (f Flooder) behave(ctx context.Context, c net.Conn) bool {
	defer context.AfterFunc(ctx, func() { c.Close() })()
	switch f.Kind {
	case "churn":
		return false
	case "half-head":
		io.WriteString(c, "POST /api HTTP/1.1\r\nHost: x\r\nX-Requ")
	case "slow-head":
		go func() {
			tick := time.NewTicker(dribble)
			defer tick.Stop()
			for _, b := range []byte("POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: slow\r\n") {
				select {
				case <-tick.C:
				case <-ctx.Done():
					return
				}
				if _, err := c.Write([]byte{b}); err != nil {
					return
				}
			}
		}()
	case "tenants":
		io.WriteString(c, "GET /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: "+c.LocalAddr().String()+"\r\nX-Tenant-Id: a\r\nX-Priority-Class: none\r\nX-Timeout-Ms: 900\r\n\r\n")
	case "many-fields":
		io.WriteString(c, "GET /api HTTP/1.1\r\nHost: x\r\n"+shortFields)
	case "half-body":
		io.WriteString(c, floodRequest(c, halfBodyBytes)+strings.Repeat("x", halfBodyBytes-1))
	case "half-upload":
		io.WriteString(c, floodRequest(c, halfUploadBytes)+strings.Repeat("x", halfUploadBytes/2))
	case "slow-read":
		for range 20 {
			if _, err := io.WriteString(c, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
				return true
			}
			select {
			case <-time.After(dribble):
			case <-ctx.Done():
				return false
			}
		}
		<-ctx.Done()
		return false
	}
	io.Copy(io.Discard, io.LimitReader(c, 1<<16))
	return ctx.Err() == nil
}

const (
	halfBodyBytes   = 64 << 10   // length of a body whose last byte is missing
	halfUploadBytes = 10_000_000 // length of a body of which half is sent
	manyFields      = 2000       // short header lines, which fit into the longest head that a proxy reads
)

// shortFields are manyFields header lines without a value.
var shortFields = func() string {
	var lines strings.Builder
	for i := range manyFields {
		fmt.Fprintf(&lines, "%x:\r\n", 0x1000+i)
	}
	return lines.String()
}()

// floodRequest returns the head of a sound request with a body of so many bytes.
func floodRequest(c net.Conn, bodyBytes int) string {
	return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\nX-Priority-Class: trip-close\r\n"+
		"X-Timeout-Ms: 1000\r\nContent-Length: %d\r\n\r\n", c.LocalAddr(), bodyBytes)
}

// sharedAddr is the one address of clients that share one.
var sharedAddr = net.IPv4(127, 99, 0, 1)
