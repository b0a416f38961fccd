package server

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"

	"lapisspread/internal/policy/rollout"
)

// encodedPolicy is a policy encoded as one text, for proxies that do not accept chunks.
type encodedPolicy struct {
	text string
	hash string // SHA-256 of text in hexadecimal; empty if the text is too long to be sent
}

// policyEncoding returns a policy encoded as one text. It reports false if the policy is not retained or is too long
// for one reply.
func (m *stateMachine) policyEncoding(version rollout.Version) (encodedPolicy, bool) {
	m.encodingMu.Lock()
	defer m.encodingMu.Unlock()
	encoded, cached := m.encodings[version.Hash]
	if cached {
		return encoded, encoded.hash != ""
	}
	if !slices.Contains(m.published.Load().versions, version) {
		return encodedPolicy{}, false
	}
	m.policyMu.Lock()
	text, ok := m.policies.Unchunked(version)
	m.policyMu.Unlock()
	encoded.text = text
	if ok {
		sum := sha256.Sum256([]byte(text))
		encoded.hash = hex.EncodeToString(sum[:])
	}
	m.dropStaleEncodings()
	m.encodings[version.Hash] = encoded
	return encoded, encoded.hash != ""
}

// dropStaleEncodings removes the cached texts of policies that are no longer retained. The caller must hold encodingMu.
func (m *stateMachine) dropStaleEncodings() {
	retained := m.published.Load().versions
	maps.DeleteFunc(m.encodings, func(root string, _ encodedPolicy) bool {
		return !slices.ContainsFunc(retained, func(v rollout.Version) bool { return v.Hash == root })
	})
}

// resolveRoot returns the version with the root of its tree as its hash, if a proxy has reported it with the hash of
// its text. Unknown versions are returned unchanged.
func (m *stateMachine) resolveRoot(version rollout.Version) rollout.Version {
	if version.Epoch == 0 {
		return version
	}
	for _, retained := range m.published.Load().versions {
		sameEpoch := retained.Generation == version.Generation && retained.Epoch == version.Epoch
		if !sameEpoch || retained.Hash == version.Hash {
			continue
		}
		if encoded, ok := m.policyEncoding(retained); ok && encoded.hash == version.Hash {
			return retained
		}
	}
	return version
}
