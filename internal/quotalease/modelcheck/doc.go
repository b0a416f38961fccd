// Package modelcheck checks the invariant of package quotalease: at any time, the units that all processes may still
// spend sum to at most the limit. It models a small fleet with one quota: a clock for each process that drifts within
// the configured maximum, servers that agree by an abstract Raft (terms, votes, majorities, truncated logs), stores
// that are lost or restored from an older copy, and a network that loses, delays, reorders and repeats messages. The
// state machine, the allocators and the holders are those of package quotalease.
//
// Explore visits every state of a small system within bounds. RunRandom executes long random runs of larger systems
// with randomly injected faults. Tests disable single safeguards (package mutation); the checks must then find a
// violation.
package modelcheck
