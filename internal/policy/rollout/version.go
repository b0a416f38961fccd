package rollout

import (
	"crypto/sha256"
	"encoding/hex"
)

// Version identifies a policy that a proxy has or is to have.
type Version struct {
	// Generation is how often an operator has rolled the fleet back.
	Generation uint64 `json:"Order"`
	// Epoch is the number of the policy; each new policy has a higher one.
	Epoch uint64 `json:"Epoch"`
	// Hash is the root of the policy's Merkle tree (package policy/merkle) in hexadecimal.
	Hash string `json:"Hash"`
}

// NewerThan reports whether v supersedes other: it has a higher generation, or the same and a higher epoch.
func (v Version) NewerThan(other Version) bool {
	return v.Generation > other.Generation || v.Generation == other.Generation && v.Epoch > other.Epoch
}

// CurrentVersion is the version that a proxy uses. The proxy persists it, so that it survives a restart. Its methods
// must be called by one goroutine at a time.
type CurrentVersion struct {
	version   Version
	mutations mutation
}

// NewCurrentVersion returns a CurrentVersion that starts with the version that the proxy persisted; the zero Version
// means none.
func NewCurrentVersion(version Version) *CurrentVersion { return &CurrentVersion{version: version} }

// Version returns the current version.
func (c *CurrentVersion) Version() Version { return c.version }

// AdoptText is Adopt for a policy that was sent as one text, by a server of an older release. The target's hash is then
// the SHA-256 of the text in hexadecimal.
func (c *CurrentVersion) AdoptText(target Version, text []byte) error {
	sum := sha256.Sum256(text)
	return c.Adopt(target, hex.EncodeToString(sum[:]))
}

// Adopt makes target the current version if it is newer and contentHash, the hash of the fetched policy, equals the
// target's hash. Nil means that target is the current version now. Otherwise Adopt returns a StaleVersionError, an
// EpochConflictError or a HashMismatchError, and the current version stays.
func (c *CurrentVersion) Adopt(target Version, contentHash string) error {
	if target == c.version {
		return nil
	}
	if target.Generation == c.version.Generation && target.Epoch == c.version.Epoch {
		return EpochConflictError{Epoch: target.Epoch, Current: c.version.Hash, Other: target.Hash}
	}
	if !target.NewerThan(c.version) && c.mutations&acceptStaleVersion == 0 {
		return StaleVersionError{Offered: target, Current: c.version}
	}
	if contentHash != target.Hash && c.mutations&skipHashCheck == 0 {
		return HashMismatchError{Expected: target.Hash, Actual: contentHash}
	}
	c.version = target
	return nil
}
