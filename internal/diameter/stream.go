package diameter

import (
	"bufio"
	"errors"
	"fmt"
	"io"
)

// Reader takes messages off a stream. It believes no length before it has checked it, and holds no more than one message.
type Reader struct {
	in   *bufio.Reader
	dict *Dictionary
	buf  []byte
}

// NewReader makes a reader. Grouped AVPs are checked by the dictionary; nil leaves them as they are.
func NewReader(r io.Reader, d *Dictionary) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, 4096), dict: d}
}

// Next reads a message. It holds until the next call. At the stream's end between two messages the error is io.EOF, within
// one io.ErrUnexpectedEOF. With an *Error that does not say Framing the message is given beside it, and the stream goes
// on behind it.
func (r *Reader) Next() (Message, Header, error) {
	head, err := r.in.Peek(HeaderLen)
	if err != nil {
		if errors.Is(err, io.EOF) && len(head) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return nil, Header{}, wrapRead(err)
	}
	h, err := ParseHeader(head)
	if e, ok := AsError(err); ok && e.Framing {
		return nil, h, err
	}
	if cap(r.buf) < h.Length {
		r.buf = make([]byte, h.Length, min(MostMessage, max(2*h.Length, 4096)))
	}
	b := r.buf[:h.Length]
	if _, rerr := io.ReadFull(r.in, b); rerr != nil {
		if errors.Is(rerr, io.EOF) {
			rerr = io.ErrUnexpectedEOF
		}
		return nil, h, wrapRead(rerr)
	}
	if err != nil {
		return Message(b), h, err
	}
	if _, _, err = Parse(b, r.dict); err != nil {
		return Message(b), h, err
	}
	return Message(b), h, nil
}

func wrapRead(err error) error {
	if err == io.EOF || err == nil {
		return err
	}
	return fmt.Errorf("diameter: reading: %w", err)
}

// Refusal is the answer to a request that is wrong, in the terms of the error: its Result-Code, its Failed-AVP, who we
// are, and what of the request an answer must hold: Session-Id, Proxy-Info (sections 6.2 and 7.5). The request may be one
// of which only the header can be read.
func (d *Dictionary) Refusal(request Message, h Header, e *Error, host, realm string) (Message, error) {
	w := Answer(nil, h, e.Code)
	var infos [][]byte
	c := Walk(nil)
	if len(request) >= HeaderLen {
		c = request.AVPs()
	}
	session, proxyInfo := d.Named("Session-Id"), d.Named("Proxy-Info")
	for c.Next() {
		switch c.AVP.Code {
		case session.Code:
			if c.AVP.Vendor == 0 {
				w.Raw(c.AVP.Raw())
			}
		case proxyInfo.Code:
			if c.AVP.Vendor == 0 {
				infos = append(infos, c.AVP.Raw())
			}
		}
	}
	w.Text(d.Named("Origin-Host"), host).Text(d.Named("Origin-Realm"), realm).Uint32(d.Named("Result-Code"), uint32(e.Code))
	w.Text(d.Named("Error-Message"), e.What)
	if e.Failed != nil {
		w.Begin(d.Named("Failed-AVP")).Raw(e.Failed).End()
	}
	for _, i := range infos {
		w.Raw(i)
	}
	return w.Message()
}
