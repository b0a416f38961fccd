package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Diameter command codes, flags and AVP codes that the partner uses (RFC 6733, RFC 8506).
const (
	cmdCapabilities  = 257
	cmdCreditControl = 272
	cmdWatchdog      = 280
	cmdDisconnect    = 282

	flagRequest       = 0x80
	flagProxiable     = 0x40
	flagRetransmitted = 0x10

	avpHostAddress     = 257
	avpAuthApplication = 258
	avpSession         = 263
	avpOriginHost      = 264
	avpVendor          = 266
	avpResultCode      = 268
	avpProduct         = 269
	avpDestRealm       = 283
	avpOriginRealm     = 296
	avpRequestNumber   = 415
	avpRequestType     = 416
	avpRequestedAction = 436
	avpServiceContext  = 461

	partnerHost  = "claims.partner.example"
	partnerRealm = "partner.example"
	servedRealm  = "kigali.example"
)

// avp returns one mandatory AVP. Its value is a string, bytes, or a 32-bit number.
func avp(code uint32, value any) []byte {
	var data []byte
	switch v := value.(type) {
	case string:
		data = []byte(v)
	case []byte:
		data = v
	case int:
		data = binary.BigEndian.AppendUint32(nil, uint32(v))
	}
	flags := uint32(0x40)
	if code == avpProduct {
		flags = 0
	}
	b := binary.BigEndian.AppendUint32(nil, code)
	b = binary.BigEndian.AppendUint32(b, flags<<24|uint32(8+len(data)))
	b = append(b, data...)
	for len(b)%4 != 0 {
		b = append(b, 0)
	}
	return b
}

// diameterMessage is a message of either direction.
type diameterMessage struct {
	flags              byte
	command            uint32
	app                uint32
	hopByHop, endToEnd uint32
	body               []byte
}

func (m *diameterMessage) bytes() []byte {
	b := binary.BigEndian.AppendUint32(nil, 1<<24|uint32(20+len(m.body)))
	b = binary.BigEndian.AppendUint32(b, uint32(m.flags)<<24|m.command)
	b = binary.BigEndian.AppendUint32(b, m.app)
	b = binary.BigEndian.AppendUint32(b, m.hopByHop)
	b = binary.BigEndian.AppendUint32(b, m.endToEnd)
	return append(b, m.body...)
}

func readDiameter(r io.Reader) (*diameterMessage, error) {
	head := make([]byte, 20)
	if _, err := io.ReadFull(r, head); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(head) & 0xffffff
	if length < 20 || length > 1<<20 {
		return nil, errors.New("bad length")
	}
	m := &diameterMessage{
		flags:    head[4],
		command:  binary.BigEndian.Uint32(head[4:]) & 0xffffff,
		app:      binary.BigEndian.Uint32(head[8:]),
		hopByHop: binary.BigEndian.Uint32(head[12:]),
		endToEnd: binary.BigEndian.Uint32(head[16:]),
		body:     make([]byte, length-20),
	}
	_, err := io.ReadFull(r, m.body)
	return m, err
}

// resultCode returns the Result-Code of an answer, 0 if there is none.
func (m *diameterMessage) resultCode() uint32 {
	for b := m.body; len(b) >= 8; {
		length := int(binary.BigEndian.Uint32(b[4:]) & 0xffffff)
		if length < 8 || length > len(b) {
			break
		}
		if binary.BigEndian.Uint32(b) == avpResultCode && length >= 12 {
			return binary.BigEndian.Uint32(b[8:])
		}
		b = b[min(len(b), (length+3)&^3):]
	}
	return 0
}

// partner is one connection of the settlement partner's Diameter client to a proxy.
type partner struct {
	nc       net.Conn
	mu       sync.Mutex
	nextHop  uint32
	answered func(endToEnd, result uint32)
	broken   chan struct{} // closed once the connection has ended
}

// dialPartner connects to a proxy and exchanges capabilities.
func dialPartner(addr string, answered func(endToEnd, result uint32)) (*partner, error) {
	nc, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	c := &partner{nc: nc, answered: answered, broken: make(chan struct{})}
	var body []byte
	for _, a := range [][]byte{
		avp(avpOriginHost, partnerHost), avp(avpOriginRealm, partnerRealm),
		avp(avpHostAddress, []byte{0, 1, 127, 0, 0, 1}), avp(avpVendor, 0), avp(avpProduct, "claims"),
		avp(avpAuthApplication, 4),
	} {
		body = append(body, a...)
	}
	r := bufio.NewReader(nc)
	_ = nc.SetDeadline(time.Now().Add(3 * time.Second))
	if err := c.send(&diameterMessage{flags: flagRequest, command: cmdCapabilities, hopByHop: 1, endToEnd: 1, body: body}); err != nil {
		nc.Close()
		return nil, err
	}
	m, err := readDiameter(r)
	if err != nil || m.resultCode() != 2001 {
		nc.Close()
		return nil, fmt.Errorf("no capabilities answer of success: %v", err)
	}
	_ = nc.SetDeadline(time.Time{})
	c.nextHop = 100
	go c.read(r)
	return c, nil
}

func (c *partner) send(m *diameterMessage) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.hopByHop == 0 {
		c.nextHop++
		m.hopByHop = c.nextHop
	}
	_, err := c.nc.Write(m.bytes())
	return err
}

// read handles what the proxy sends until the connection ends.
func (c *partner) read(r io.Reader) {
	defer close(c.broken)
	defer c.nc.Close()
	for {
		m, err := readDiameter(r)
		if err != nil {
			return
		}
		switch {
		case m.flags&flagRequest != 0:
			body := append(avp(avpResultCode, 2001), avp(avpOriginHost, partnerHost)...)
			body = append(body, avp(avpOriginRealm, partnerRealm)...)
			_ = c.send(&diameterMessage{command: m.command, app: m.app, hopByHop: m.hopByHop, endToEnd: m.endToEnd, body: body})
		case m.command == cmdCreditControl:
			c.answered(m.endToEnd, m.resultCode())
		}
	}
}

// claim sends a payout claim. retransmitted is the T flag.
func (c *partner) claim(id uint32, retransmitted bool) error {
	var body []byte
	for _, a := range [][]byte{
		avp(avpSession, fmt.Sprintf("%s;1;%d", partnerHost, id)),
		avp(avpOriginHost, partnerHost), avp(avpOriginRealm, partnerRealm), avp(avpDestRealm, servedRealm),
		avp(avpAuthApplication, 4), avp(avpServiceContext, "payouts@partner.example"),
		avp(avpRequestType, 4), avp(avpRequestNumber, 0), avp(avpRequestedAction, 1),
	} {
		body = append(body, a...)
	}
	flags := byte(flagRequest | flagProxiable)
	if retransmitted {
		flags |= flagRetransmitted
	}
	return c.send(&diameterMessage{flags: flags, command: cmdCreditControl, app: 4, endToEnd: id, body: body})
}
