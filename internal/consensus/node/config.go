package node

import (
	"crypto/tls"
	"fmt"
	"math"
	"net/http"
	"time"

	"lapisspread/internal/consensus"
)

// Defaults of Config, for fields that are 0.
const (
	defaultTickInterval = 100 * time.Millisecond
	defaultMaxBodyBytes = 64 << 20
	defaultQueueLength  = 512
)

// minBodyBytes is the least that Config.MaxBodyBytes may be: a batch that is full, and one message more.
const minBodyBytes = 2 * batchSoftBytes

// Config of a Node. Fleet, Epoch, ID, StorePath, Machine and Silence must be set.
type Config struct {
	Fleet string
	// Epoch counts how often the fleet was bootstrapped.
	Epoch uint64
	// ID is this server's number in the fleet, above 0.
	ID uint64
	// StorePath is the store's file; see package storage.
	StorePath string
	// Peers are the base addresses of the other servers, such as "https://10.0.0.1:7400". An entry for ID is
	// ignored.
	Peers map[uint64]string
	// Machine is called by Start, and then by the goroutine that owns the Core. It must not block: heartbeats and
	// messages wait for it.
	Machine consensus.Machine
	// Silence is the longest lease that the Machine grants. After a start the server waits for so long for all
	// others to confirm its store, and after a truncation of its log in any case.
	Silence time.Duration
	// TickInterval is the time between two heartbeats of a leader; default 100 ms. An election comes after 10 to 19
	// of them without one.
	TickInterval time.Duration
	// Limits hold the limits of the Core; its Fleet, Epoch, ID, Nonce and SilenceTicks are set by Start.
	Limits consensus.Config
	// MaxBodyBytes bounds a request between servers, a snapshot included; default 64 MiB, at least 1 MiB.
	MaxBodyBytes int
	// QueueLength is the number of messages that wait for each peer, and of those that arrived; default 512.
	QueueLength int
	// TLS is used to call the other servers; nil is as their addresses say.
	TLS *tls.Config
	// Transport replaces the HTTP transport; TLS is ignored then.
	Transport http.RoundTripper
}

func (c *Config) applyDefaults() {
	if c.TickInterval == 0 {
		c.TickInterval = defaultTickInterval
	}
	if c.MaxBodyBytes == 0 {
		c.MaxBodyBytes = defaultMaxBodyBytes
	}
	if c.QueueLength == 0 {
		c.QueueLength = defaultQueueLength
	}
}

func (c *Config) validate() error {
	if c.Silence <= 0 || c.TickInterval < 0 || c.Machine == nil || c.MaxBodyBytes < 0 || c.QueueLength < 0 {
		return fmt.Errorf("consensus: silence %v, tick %v, max-body %d, queue %d, machine %v",
			c.Silence, c.TickInterval, c.MaxBodyBytes, c.QueueLength, c.Machine)
	}
	if c.MaxBodyBytes < minBodyBytes {
		return fmt.Errorf("consensus: max-body: %d is under %d", c.MaxBodyBytes, minBodyBytes)
	}
	return nil
}

// coreConfig is the Config of the Core for a start with a nonce.
func (c *Config) coreConfig(nonce uint64) consensus.Config {
	config := c.Limits
	config.Fleet = c.Fleet
	config.Epoch = c.Epoch
	config.ID = c.ID
	config.Nonce = nonce
	config.SilenceTicks = int(math.Ceil(float64(c.Silence) / float64(c.TickInterval)))
	return config
}

// newTransport is the transport to the other servers.
func (c *Config) newTransport() http.RoundTripper {
	if c.Transport != nil {
		return c.Transport
	}
	return &http.Transport{
		TLSClientConfig:     c.TLS,
		ForceAttemptHTTP2:   true,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     time.Minute,
	}
}
