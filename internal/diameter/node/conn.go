package node

import (
	"net"
	"sync"

	"lapisspread/internal/diameter"
)

// outgoing is a message that waits to be written.
type outgoing struct {
	b    []byte
	call *call // whose request it is; nil for all else
}

// conn is one connection. What is sent stands in a queue that a goroutine writes from while there is something: nobody else
// waits for a peer that reads slowly.
type conn struct {
	nc   net.Conn
	node *Node
	cer  diameter.Header // that the peer has sent on it

	mu       sync.Mutex
	queue    []*outgoing
	queued   int // bytes
	writing  bool
	finished bool // it closes once all is written
	closed   bool
	done     chan struct{} // closed with it
}

func newConn(nc net.Conn, n *Node) *conn { return &conn{nc: nc, node: n, done: make(chan struct{})} }

// send queues a message. Where too much waits already a request of ours is not taken; for anything else the connection
// closes, since the peer does not read.
func (c *conn) send(o *outgoing) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.finished {
		return ErrNotOpen
	}
	if c.queued > 0 && c.queued+len(o.b) > c.node.set.Queue {
		if o.call != nil {
			return ErrTooMany
		}
		c.node.Counts.Slow.Add(1)
		c.shut()
		return ErrNotOpen
	}
	c.queue = append(c.queue, o)
	c.queued += len(o.b)
	if !c.writing {
		c.writing = true
		go c.write()
	}
	return nil
}

// write writes what is queued, as much at a time as there is.
func (c *conn) write() {
	for {
		c.mu.Lock()
		batch, size := c.queue, 0
		c.queue = nil
		if len(batch) == 0 || c.closed {
			c.writing = false
			if c.finished {
				c.shut()
			}
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		var bytes []byte
		for _, o := range batch {
			size += len(o.b)
			if o.call == nil || o.call.begin() {
				bytes = append(bytes, o.b...)
			}
		}
		_, err := c.nc.Write(bytes)
		c.mu.Lock()
		c.queued -= size
		if err != nil {
			c.writing = false
			c.shut()
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
	}
}

// finish closes the connection once what is queued has been written.
func (c *conn) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finished = true
	if !c.writing {
		c.shut()
	}
}

// wait waits until it is closed; the write limit bounds that.
func (c *conn) wait() { <-c.done }

func (c *conn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shut()
}

// shut closes it. The lock is held.
func (c *conn) shut() {
	if !c.closed {
		c.closed = true
		c.queue = nil
		c.nc.Close()
		close(c.done)
	}
}
