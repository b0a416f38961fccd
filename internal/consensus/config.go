package consensus

import (
	"errors"
	"fmt"
	"math"
)

// Defaults of Config, for fields that are 0.
const (
	defaultElectionTicks       = 10
	defaultHeartbeatTicks      = 1
	defaultMaxCommandBytes     = 64 << 10
	defaultMaxMessageBytes     = 256 << 10
	defaultMaxInflightMessages = 64
	defaultMaxPendingRequests  = 1024
	defaultMaxUncommittedBytes = 4 << 20
	defaultCompactionBytes     = 1 << 20
)

// Config configures a Core. Fleet, Epoch, ID and Nonce must be set; the limits have defaults.
type Config struct {
	// Fleet is the name of the fleet. Messages of another fleet are dropped.
	Fleet string
	// Epoch counts how often the fleet was bootstrapped. Messages of another epoch are dropped.
	Epoch uint64
	// ID is this server's number in the fleet, above 0.
	ID uint64
	// Nonce is a random number, drawn at each start of the server.
	Nonce uint64

	// ElectionTicks is the number of ticks without a message of a leader before an election; default 10.
	ElectionTicks int
	// HeartbeatTicks is the number of ticks between a leader's heartbeats; default 1.
	HeartbeatTicks int
	// SilenceTicks is the maximum number of ticks of the silence after a start, in which the server waits for its
	// peers to confirm its store, and the length of the silence after a truncation. 0 is without limit. The package
	// documentation explains the silence.
	SilenceTicks int
	// MaxCommandBytes is the size of the largest command; default 64 KiB.
	MaxCommandBytes int
	// MaxMessageBytes limits the total size of the entries in one message; default 256 KiB. A message always has room
	// for one entry, whatever its size.
	MaxMessageBytes int
	// MaxInflightMessages is the maximum number of messages with entries that a peer has not acknowledged; default 64.
	MaxInflightMessages int
	// MaxPendingRequests is the maximum number of commands and reads without a Reply; default 1024.
	MaxPendingRequests int
	// MaxUncommittedBytes limits the total size of the entries that are not yet committed; default 4 MiB.
	MaxUncommittedBytes int
	// CompactionBytes is the total size of the entries that are applied between two snapshots; default 1 MiB.
	CompactionBytes int

	// The following fields disable a guard, so that tests can show that the guard is needed.

	skipStoreChecks          bool // no silence after a start, no comparison of store versions
	acceptFormerIncarnations bool // messages of a peer's former starts are accepted
	deferWitnessWrites       bool // replies may be sent before the peers' versions that they depend on are on disk
	skipTruncationSilence    bool // no silence after a truncation
	skipDigestChecks         bool // no comparison of digests
}

func (c *Config) applyDefaults() {
	setDefault := func(field *int, value int) {
		if *field == 0 {
			*field = value
		}
	}
	setDefault(&c.ElectionTicks, defaultElectionTicks)
	setDefault(&c.HeartbeatTicks, defaultHeartbeatTicks)
	setDefault(&c.MaxCommandBytes, defaultMaxCommandBytes)
	setDefault(&c.MaxMessageBytes, defaultMaxMessageBytes)
	setDefault(&c.MaxInflightMessages, defaultMaxInflightMessages)
	setDefault(&c.MaxPendingRequests, defaultMaxPendingRequests)
	setDefault(&c.MaxUncommittedBytes, defaultMaxUncommittedBytes)
	setDefault(&c.CompactionBytes, defaultCompactionBytes)
}

// validate checks a Config whose defaults are set, and returns all its faults as one error.
func (c *Config) validate() error {
	var errs []error
	if c.ID == 0 || c.ID > math.MaxInt64 {
		errs = append(errs, fmt.Errorf("id: %d is no steward's number", c.ID))
	}
	if c.HeartbeatTicks < 1 || c.ElectionTicks <= c.HeartbeatTicks {
		errs = append(errs, fmt.Errorf("ticks: the heartbeat interval is %d, want at least 1; the election timeout is %d, "+
			"want more than the heartbeat interval", c.HeartbeatTicks, c.ElectionTicks))
	}
	if c.SilenceTicks < 0 {
		errs = append(errs, fmt.Errorf("silence: %d ticks, want 0 or more", c.SilenceTicks))
	}
	smallestLimit := min(c.MaxCommandBytes, c.MaxMessageBytes, c.MaxInflightMessages, c.MaxPendingRequests,
		c.MaxUncommittedBytes, c.CompactionBytes)
	if smallestLimit < 0 {
		errs = append(errs, fmt.Errorf("limits: the smallest is %d, want none below 0", smallestLimit))
	}
	return errors.Join(errs...)
}
