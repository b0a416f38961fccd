package rollout

import (
	"crypto/sha256"
	"encoding/hex"
)

// Version identifies a policy that a proxy has or is to have.
type Version struct {
	// Generation is how often an operator has rolled the fleet back.
	Generation uint64 `json:"Order"`
	// Epoch is the policy's number; each new policy has a higher one.
	Epoch uint64 `json:"Epoch"`
	// Hash is the root of the policy's Merkle tree (package policy/merkle) in hexadecimal.
	Hash string `json:"Hash"`
}

// NewerThan reports whether v supersedes o.
func (v Version) NewerThan(o Version) bool {
	return v.Generation > o.Generation || v.Generation == o.Generation && v.Epoch > o.Epoch
}

// CurrentVersion is the version that a proxy runs. The proxy persists it, so that a restart does not forget it.
type CurrentVersion struct {
	version   Version
	mutations mutation
}

// NewCurrentVersion returns the version that a proxy ran before; the zero Version is none.
func NewCurrentVersion(version Version) *CurrentVersion { return &CurrentVersion{version: version} }

// Version returns the current version.
func (c *CurrentVersion) Version() Version { return c.version }

// AdoptText is Adopt for a policy that came as one text, from a server of an older release. The target's hash is then
// the SHA-256 of the text.
func (c *CurrentVersion) AdoptText(target Version, text []byte) error {
	sum := sha256.Sum256(text)
	return c.Adopt(target, hex.EncodeToString(sum[:]))
}

// Adopt makes target the current version, if it is newer and contentHash, the hash of what was fetched, is the
// target's. Nil means that target is current now. The errors are StaleVersionError, EpochConflictError and
// HashMismatchError; they change nothing.
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
