package diameterpeer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"lapisspread/internal/diameter"
)

// Client sends claims over one connection at a time, and repeats them with the T flag where no answer came: as a partner
// does that has paid nobody yet. Its identifiers are unique, as RFC 6733, section 3 asks.
type Client struct {
	Host, Realm string
	To          string // the realm that it asks
	Dial        func(ctx context.Context) (net.Conn, error)
	Action      uint32        // Requested-Action
	GiveUp      time.Duration // for an answer to one try
	Tries       int           // at most
	Rest        time.Duration // between two connects
	Seed        uint64

	mu     sync.Mutex
	now    *talk
	lastID uint32
	hop    uint32
	dict   *diameter.Dictionary
	once   sync.Once
	rng    *rand.Rand
}

// Outcome is how a claim has ended for its client.
type Outcome struct {
	Name    Name
	Code    diameter.ResultCode // 0 is no answer at all
	Body    string
	Why     string // its Error-Message
	Tries   int
	Unknown bool // a try before the last was sent and had no answer: what a refusal says is of the last alone
	Session string
}

// answer is what comes back of one try.
type answer struct {
	m   diameter.Message
	err error
}

// talk is one connection.
type talk struct {
	c     net.Conn
	wmu   sync.Mutex
	mu    sync.Mutex
	out   map[uint32]chan answer
	ended chan struct{}
	bye   bool // the peer has said goodbye
}

func (c *Client) init() {
	c.once.Do(func() {
		c.dict = diameter.Base()
		c.rng = rand.New(rand.NewPCG(c.Seed, 11))
		c.lastID = uint32(time.Now().Unix())<<20 | c.rng.Uint32()&(1<<20-1) // section 3: the time in the high bits, so that a restart has others
		if c.Tries == 0 {
			c.Tries = 1
		}
	})
}

// Claim sends a claim until it has a final answer, or its tries are used up. 3004 is not final: it has not run and may come
// again.
func (c *Client) Claim(ctx context.Context, amount int64) Outcome {
	c.init()
	c.mu.Lock()
	c.lastID++
	o := Outcome{Name: Name{c.Host, c.lastID}, Session: fmt.Sprintf("%s;%d;claim", c.Host, c.lastID)}
	c.mu.Unlock()
	return c.try(ctx, o, amount, false)
}

// Again sends a claim that has ended once more, as a repeat: its answer must be what it was.
func (c *Client) Again(ctx context.Context, o Outcome, amount int64) Outcome {
	return c.try(ctx, Outcome{Name: o.Name, Session: o.Session}, amount, true)
}

// try sends until there is an answer.
func (c *Client) try(ctx context.Context, o Outcome, amount int64, maybeSent bool) Outcome {
	for o.Tries < c.Tries && ctx.Err() == nil {
		o.Tries++
		t, err := c.talk(ctx)
		if err != nil {
			c.rest(ctx)
			continue
		}
		a, sent, err := c.send(ctx, t, o, amount, maybeSent)
		maybeSent = maybeSent || sent
		o.Unknown = o.Unknown || sent && err != nil
		if err != nil {
			c.rest(ctx)
			continue
		}
		if v, found := a.Find(0, c.dict.Named("Result-Code").Code); found {
			n, _ := v.Uint32()
			o.Code = diameter.ResultCode(n)
		}
		if v, found := a.Find(0, c.dict.Named("Error-Message").Code); found {
			o.Why = string(v.Data)
		}
		if info, found := a.Find(0, c.dict.Named("Service-Parameter-Info").Code); found {
			v, _ := info.Find(0, c.dict.Named("Service-Parameter-Value").Code)
			o.Body = string(v.Data)
		}
		if o.Code != diameter.TooBusy && o.Code != diameter.UnableToDeliver {
			return o
		}
		c.rest(ctx)
	}
	return o
}

func (c *Client) rest(ctx context.Context) {
	c.mu.Lock()
	d := c.Rest/2 + time.Duration(c.rng.Int64N(int64(c.Rest)+1))
	c.mu.Unlock()
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// send sends a claim once.
func (c *Client) send(ctx context.Context, t *talk, o Outcome, amount int64, repeat bool) (m diameter.Message, sent bool, err error) {
	c.mu.Lock()
	c.hop++
	hop := c.hop
	c.mu.Unlock()
	m, err = c.word(o, hop, amount, repeat)
	if err != nil {
		return nil, false, err
	}
	came := make(chan answer, 1)
	t.mu.Lock()
	t.out[hop] = came
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		delete(t.out, hop)
		t.mu.Unlock()
	}()
	t.wmu.Lock()
	t.c.SetWriteDeadline(time.Now().Add(c.GiveUp))
	_, err = t.c.Write(m)
	t.wmu.Unlock()
	if err != nil {
		t.c.Close()
		return nil, true, err
	}
	timer := time.NewTimer(c.GiveUp)
	defer timer.Stop()
	select {
	case a := <-came:
		return a.m, true, a.err
	case <-t.ended:
		err = errors.New("the connection broke")
	case <-timer.C:
		err = errors.New("no answer in time")
	case <-ctx.Done():
		err = ctx.Err()
	}
	// Danger: by the time that this goroutine runs the answer may have come as well, and select takes either.
	select {
	case a := <-came:
		return a.m, true, a.err
	default:
		return nil, true, err
	}
}

func (c *Client) word(o Outcome, hop uint32, amount int64, repeat bool) (diameter.Message, error) {
	d := c.dict
	h := diameter.Header{Flags: diameter.Request | diameter.Proxiable, Command: cmdClaim, App: creditControl, HopByHop: hop, EndToEnd: o.Name.ID}
	if repeat {
		h.Flags |= diameter.Retransmitted
	}
	return diameter.NewBuilder(nil, h).Text(d.Named("Session-Id"), o.Session).Text(d.Named("Origin-Host"), c.Host).
		Text(d.Named("Origin-Realm"), c.Realm).Text(d.Named("Destination-Realm"), c.To).Uint32(d.Named("Auth-Application-Id"), creditControl).
		Text(d.Named("Service-Context-Id"), "claim@"+c.To).Uint32(d.Named("CC-Request-Type"), 4).Uint32(d.Named("CC-Request-Number"), 0).
		Uint32(d.Named("Requested-Action"), c.Action).Begin(d.Named("Requested-Service-Unit")).Begin(d.Named("CC-Money")).
		Begin(d.Named("Unit-Value")).Uint64(d.Named("Value-Digits"), uint64(amount)).Uint32(d.Named("Exponent"), ^uint32(1)).End().
		Uint32(d.Named("Currency-Code"), 646).End().End().Message()
}

// talk gives the connection, a new one if need be.
func (c *Client) talk(ctx context.Context) (*talk, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.now; t != nil {
		select {
		case <-t.ended:
		default:
			t.mu.Lock()
			bye := t.bye
			t.mu.Unlock()
			if !bye {
				return t, nil
			}
		}
		c.now = nil
	}
	inner, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	nc, err := c.Dial(inner)
	if err != nil {
		return nil, err
	}
	r := diameter.NewReader(nc, c.dict)
	if err := c.greet(nc, r); err != nil {
		nc.Close()
		return nil, err
	}
	t := &talk{c: nc, out: map[uint32]chan answer{}, ended: make(chan struct{})}
	c.now = t
	go c.read(t, r)
	return t, nil
}

// greet exchanges capabilities.
func (c *Client) greet(nc net.Conn, r *diameter.Reader) error {
	d := c.dict
	m, err := diameter.NewBuilder(nil, diameter.Header{Flags: diameter.Request, Command: cmdCER, HopByHop: 1, EndToEnd: 1}).Text(d.Named("Origin-Host"), c.Host).
		Text(d.Named("Origin-Realm"), c.Realm).Address(d.Named("Host-IP-Address"), loopback).Uint32(d.Named("Vendor-Id"), 0).
		Text(d.Named("Product-Name"), "partner").Uint32(d.Named("Auth-Application-Id"), creditControl).Message()
	if err != nil {
		return err
	}
	nc.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := nc.Write(m); err != nil {
		return err
	}
	a, h, err := r.Next()
	if err != nil {
		return fmt.Errorf("no CEA: %w", err)
	}
	code, _ := a.Find(0, d.Named("Result-Code").Code)
	if n, _ := code.Uint32(); h.Command != cmdCER || n != 2001 {
		return fmt.Errorf("the capabilities exchange ended with %d", n)
	}
	nc.SetDeadline(time.Time{})
	return nil
}

// read takes answers until the connection ends.
func (c *Client) read(t *talk, r *diameter.Reader) {
	defer close(t.ended)
	defer t.c.Close()
	for {
		m, h, err := r.Next()
		if err != nil {
			return
		}
		if h.IsRequest() {
			if h.Command == cmdDPR {
				t.mu.Lock()
				t.bye = true
				t.mu.Unlock()
			}
			d := c.dict
			a, err := diameter.Answer(nil, h, diameter.Success).Uint32(d.Named("Result-Code"), 2001).Text(d.Named("Origin-Host"), c.Host).Text(d.Named("Origin-Realm"), c.Realm).Message()
			if err != nil {
				return
			}
			t.wmu.Lock()
			t.c.Write(a)
			t.wmu.Unlock()
			continue
		}
		t.mu.Lock()
		came := t.out[h.HopByHop]
		delete(t.out, h.HopByHop)
		t.mu.Unlock()
		if came != nil {
			came <- answer{m: append(diameter.Message(nil), m...)}
		}
	}
}

// Close ends the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.now != nil {
		c.now.c.Close()
	}
}
