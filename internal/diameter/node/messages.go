package node

import (
	"errors"
	"net"
	"net/netip"

	"lapisspread/internal/diameter"
)

// The base protocol's commands (section 3.1), all of application 0.
const (
	cmdCER = 257
	cmdDWR = 280
	cmdDPR = 282

	relayApp = 0xffffffff // stands for all applications (section 2.4)
)

// capabilities is what a peer tells of itself in a CER or CEA (section 5.3).
type capabilities struct {
	header      diameter.Header
	message     diameter.Message
	host, realm string
	apps        []uint32
	code        diameter.ResultCode // of a CEA
}

// fill reads them out of the message.
func (c *capabilities) fill(d *diameter.Dictionary) error {
	if err := d.Check(c.message); err != nil {
		return err
	}
	text := func(name string) string {
		a, _ := c.message.Find(0, d.Named(name).Code)
		v, _ := a.Identity() // Check has found it good
		return v
	}
	c.host, c.realm = text("Origin-Host"), text("Origin-Realm")
	if a, found := c.message.Find(0, d.Named("Result-Code").Code); found {
		v, _ := a.Uint32()
		c.code = diameter.ResultCode(v)
	}
	auth, acct, specific := d.Named("Auth-Application-Id").Code, d.Named("Acct-Application-Id").Code, d.Named("Vendor-Specific-Application-Id").Code
	at := c.message.AVPs()
	for at.Next() {
		a := at.AVP
		if a.Vendor != 0 {
			continue
		}
		if a.Code == specific {
			for _, code := range []uint32{auth, acct} {
				if in, found := a.Find(0, code); found {
					c.addApp(in)
				}
			}
		} else if a.Code == auth || a.Code == acct {
			c.addApp(a)
		}
	}
	return nil
}

func (c *capabilities) addApp(a diameter.AVP) {
	if v, err := a.Uint32(); err == nil {
		c.apps = append(c.apps, v)
	}
}

// common tells whether we and a peer have an application in common.
func (n *Node) common(c *capabilities) bool {
	for _, theirs := range c.apps {
		if theirs == relayApp || n.set.Relay {
			return true
		}
		for _, ours := range n.set.Apps {
			if ours == theirs {
				return true
			}
		}
	}
	return false
}

// who writes our name.
func (n *Node) who(w *diameter.Builder) *diameter.Builder {
	d := n.set.Dict
	return w.Text(d.Named("Origin-Host"), n.set.Host).Text(d.Named("Origin-Realm"), n.set.Realm)
}

// ourselves writes what a CER or CEA tells of us.
func (n *Node) ourselves(w *diameter.Builder, local net.Addr) *diameter.Builder {
	d := n.set.Dict
	n.who(w)
	ip := netip.IPv6Unspecified()
	if t, ok := local.(*net.TCPAddr); ok {
		if a, ok := netip.AddrFromSlice(t.IP); ok {
			ip = a
		}
	}
	w.Address(d.Named("Host-IP-Address"), ip).Uint32(d.Named("Vendor-Id"), n.set.Vendor).Text(d.Named("Product-Name"), n.set.Product)
	n.state(w)
	apps := n.set.Apps
	if n.set.Relay {
		apps = append(apps[:len(apps):len(apps)], relayApp)
	}
	for _, app := range apps {
		w.Uint32(d.Named("Auth-Application-Id"), app)
	}
	return w
}

func (n *Node) state(w *diameter.Builder) {
	if n.set.StateID != 0 {
		w.Uint32(n.set.Dict.Named("Origin-State-Id"), n.set.StateID)
	}
}

func (n *Node) cer(local net.Addr, id uint32) (diameter.Message, error) {
	w := diameter.NewBuilder(nil, diameter.Header{Flags: diameter.Request, Command: cmdCER, HopByHop: id, EndToEnd: id})
	return n.ourselves(w, local).Message()
}

func (n *Node) cea(to diameter.Header, local net.Addr, code uint32) (diameter.Message, error) {
	w := diameter.Answer(nil, to, diameter.ResultCode(code)).Uint32(n.set.Dict.Named("Result-Code"), code)
	return n.ourselves(w, local).Message()
}

// refuseCER answers a CER that is wrong, or whose sender may not come.
func (n *Node) refuseCER(c *capabilities, err error) (diameter.Message, error) {
	e := &diameter.Error{Code: diameter.UnableToComply, What: err.Error()}
	errors.As(err, &e)
	return n.set.Dict.Refusal(c.message, c.header, e, n.set.Host, n.set.Realm)
}

func (n *Node) dwr(id uint32) (diameter.Message, error) {
	w := n.who(diameter.NewBuilder(nil, diameter.Header{Flags: diameter.Request, Command: cmdDWR, HopByHop: id, EndToEnd: id}))
	n.state(w)
	return w.Message()
}

func (n *Node) dpr(id, cause uint32) (diameter.Message, error) {
	w := n.who(diameter.NewBuilder(nil, diameter.Header{Flags: diameter.Request, Command: cmdDPR, HopByHop: id, EndToEnd: id}))
	return w.Uint32(n.set.Dict.Named("Disconnect-Cause"), cause).Message()
}

// plainAnswer answers DWR and DPR.
func (n *Node) plainAnswer(to diameter.Header) (diameter.Message, error) {
	w := diameter.Answer(nil, to, diameter.Success).Uint32(n.set.Dict.Named("Result-Code"), uint32(diameter.Success))
	n.who(w)
	if to.Command == cmdDWR {
		n.state(w)
	}
	return w.Message()
}
