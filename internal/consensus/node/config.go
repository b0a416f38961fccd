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

// minBodyBytes is the minimum of Config.MaxBodyBytes: room for a full batch and one more message of the same size.
const minBodyBytes = 2 * batchSoftBytes

// Config configures a Node. Fleet, Epoch, ID, StorePath, Machine and Silence must be set.
type Config struct {
	// Fleet is the name of the fleet. Messages of another fleet are rejected.
	Fleet string
	// Epoch counts how often the fleet was bootstrapped. Messages of another epoch are rejected.
	Epoch uint64
	// ID is this server's number in the fleet, above 0.
	ID uint64
	// StorePath is the store's file; see package storage.
	StorePath string
	// Peers are the base addresses of the other servers, such as "https://10.0.0.1:7400". An entry for ID is
	// ignored.
	Peers map[uint64]string
	// Machine is called by Start, and then by the goroutine that owns the Core. It must not block, because heartbeats
	// and messages wait for it.
	Machine consensus.Machine
	// Silence is the duration of the longest lease that the Machine grants. After a start the server takes no part
	// until all others have confirmed its store, for at most this time; after a truncation of its log, for exactly
	// this time.
	Silence time.Duration
	// TickInterval is the time between two heartbeats of a leader; default 100 ms. Without a heartbeat an election
	// starts after 10 to 19 intervals.
	TickInterval time.Duration
	// Limits hold the limits of the Core; its Fleet, Epoch, ID, Nonce and SilenceTicks are set by Start.
	Limits consensus.Config
	// MaxBodyBytes limits the body of a request between servers, one with a snapshot included; default 64 MiB, at least
	// 1 MiB.
	MaxBodyBytes int
	// QueueLength is the capacity of the queue of messages to each peer, and of the queue of received messages; default
	// 512.
	QueueLength int
	// TLS is the configuration of connections to servers with https addresses; nil is Go's default configuration.
	TLS *tls.Config
	// Transport replaces the HTTP transport if it is not nil; TLS is ignored then.
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

// validate checks a Config whose defaults are set.
func (c *Config) validate() error {
	if c.Silence <= 0 || c.TickInterval < 0 || c.Machine == nil || c.MaxBodyBytes < 0 || c.QueueLength < 0 {
		return fmt.Errorf("consensus: silence %v, tick %v, max-body %d, queue %d, machine %v",
			c.Silence, c.TickInterval, c.MaxBodyBytes, c.QueueLength, c.Machine)
	}
	if c.MaxBodyBytes < minBodyBytes {
		return fmt.Errorf("consensus: max-body: %d bytes, want at least %d", c.MaxBodyBytes, minBodyBytes)
	}
	return nil
}

// coreConfig returns the Config of the Core. The nonce is that of the store's version at this start.
func (c *Config) coreConfig(nonce uint64) consensus.Config {
	config := c.Limits
	config.Fleet = c.Fleet
	config.Epoch = c.Epoch
	config.ID = c.ID
	config.Nonce = nonce
	config.SilenceTicks = int(math.Ceil(float64(c.Silence) / float64(c.TickInterval)))
	return config
}

// newTransport returns the HTTP transport for requests to the other servers.
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
