package liverun

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"lapisspread/internal/faultlab/linkfault"
	"lapisspread/internal/faultlab/model"
)

// paths are the relays between the processes of a run, if it has any. A nil one is none.
type paths struct {
	fabric   *linkfault.Fabric
	nodes    [][]*linkfault.Link           // by proxy, by node
	register []*linkfault.Link             // by proxy
	stewards map[[2]string]*linkfault.Link // by who connects and to whom
	ends     map[int]func() error
}

// newPaths lays a link from each proxy to each node.
func newPaths(r *Run) (*paths, error) {
	p := &paths{fabric: linkfault.New(), ends: map[int]func() error{}, stewards: map[[2]string]*linkfault.Link{}}
	for no := range r.spec.Proxies {
		var links []*linkfault.Link
		for i, n := range r.nodes {
			l, err := p.fabric.Link(fmt.Sprintf("proxy-%d", no), fmt.Sprintf("node-%d", i), nodeAddr(no, i), func() string { return n.addr(no) })
			if err != nil {
				return nil, err
			}
			links = append(links, l)
		}
		p.nodes = append(p.nodes, links)
	}
	return p, nil
}

// toRegister lays a link from a proxy to the register's agent.
func (p *paths) toRegister(a *agent) error {
	if p == nil {
		return nil
	}
	l, err := p.fabric.Link(fmt.Sprintf("proxy-%d", a.proxy), "register", net.IPv4(127, 0, 0, 1), a.at)
	p.register = append(p.register, l)
	return err
}

func (p *paths) close() {
	if p != nil {
		p.fabric.Close()
	}
}

// cutFromRegister tells whether nothing passes between a proxy and the register, in one direction at least.
func (p *paths) cutFromRegister(proxy int) bool { return p != nil && p.register[proxy].Cut() }

// nodeDown tells the links of a node's process whether it is there.
func (p *paths) nodeDown(node int, down bool) error {
	if p == nil {
		return nil
	}
	var errs []error
	for _, links := range p.nodes {
		errs = append(errs, links[node].Down(down))
	}
	return errors.Join(errs...)
}

// silence holds all on a node's links, until what it gives is called; the connections of before are reset then.
func (p *paths) silence(node int) (end func()) {
	if p == nil {
		return func() {}
	}
	name := fmt.Sprintf("node-%d", node)
	stop, err := p.fabric.Apply(linkfault.Rule{To: name, Trouble: linkfault.Trouble{Silent: true}})
	if err != nil { // a silence opens nothing that could fail
		panic(err)
	}
	return func() {
		p.fabric.Reset("", name)
		_ = stop()
	}
}

// apply carries out a step of a fault on links.
func (p *paths) apply(s model.Step, f model.Fault) error {
	if !s.Flag {
		if end := p.ends[s.Node]; end != nil {
			return end()
		}
		return nil
	}
	if f.Do == "reset" {
		p.fabric.Reset(f.From, f.To)
		return nil
	}
	way, err := linkfault.ParseWay(f.Way)
	if err != nil {
		return err
	}
	rule := linkfault.Rule{From: f.From, To: f.To, Way: way}
	switch f.Do {
	case "delay":
		rule.Delay = model.Ms(f.Size)
	case "rate":
		rule.Rate = f.Size
	case "cut":
		rule.Cut = int64(f.Size)
	case "refuse":
		rule.Refused = true
	default:
		rule.Silent = true
	}
	p.ends[s.Node], err = p.fabric.Apply(rule)
	return err
}

// nodeAddr is where a proxy reaches a node.
func (r *Run) nodeAddr(proxy, node int) string {
	if r.paths != nil {
		return r.paths.nodes[proxy][node].Addr()
	}
	return r.nodes[node].addr(proxy)
}

// registerAddr is where a proxy reaches the register.
func (r *Run) registerAddr(proxy int) string {
	if r.paths != nil {
		return r.paths.register[proxy].Addr()
	}
	return r.agents[proxy].at()
}

// calls bounds what the register answers: so many calls a second of all proxies together.
type calls struct {
	rate, tokens float64 // rate 0 is no bound
	after        float64 // seconds that the others are told to stay away; 0 tells nothing
	at           time.Duration
}

func (c *calls) limit(now time.Duration, s model.Step) {
	*c = calls{}
	if s.Flag {
		*c = calls{rate: s.Size, after: s.Extra, at: now}
	}
}

// take tells whether a call is answered, and else after how many seconds to come again.
func (c *calls) take(now time.Duration) (after float64, taken bool) {
	if c.rate == 0 {
		return 0, true
	}
	c.tokens = min(c.tokens+c.rate*(now-c.at).Seconds(), max(1, c.rate))
	c.at = now
	if c.tokens < 1 {
		return c.after, false
	}
	c.tokens--
	return 0, true
}

// spoil does something to all that stands in the place's state folder. What a process has open it goes on writing to where
// the file is gone.
func (c *child) spoil(do string) error {
	return filepath.WalkDir(c.state, func(path string, e os.DirEntry, err error) error {
		if err != nil || e.IsDir() || !e.Type().IsRegular() {
			return err
		}
		switch do {
		case "remove":
			return os.Remove(path)
		case "old":
			text, err := os.ReadFile(filepath.Join(c.older(), e.Name()))
			if errors.Is(err, os.ErrNotExist) { // it was not there then
				return os.Remove(path)
			}
			if err != nil {
				return err
			}
			return os.WriteFile(path, text, 0o600)
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if len(text) == 0 {
			return nil
		}
		if do == "tear" {
			return os.Truncate(path, int64(len(text)*2/3))
		}
		text[len(text)/2] ^= 0x10
		return os.WriteFile(path, text, 0o600)
	})
}

// older is where what stood in the state folder as the load began is kept.
func (c *child) older() string { return c.state + ".older" }

// keepOlder keeps it.
func (c *child) keepOlder() error {
	if err := os.RemoveAll(c.older()); err != nil {
		return err
	}
	return os.CopyFS(c.older(), os.DirFS(c.state))
}
