// Package modelcheck checks the invariant of package quotalease: at every moment, all that any process may still
// spend sums to no more than the limit. It models a small fleet with one quota: a clock for each process that is
// wrong within the stated drift, servers that agree by an abstract Raft (terms, votes, majorities, logs that are
// cut back), stores that are lost or put back from an older copy, and a network that loses, delays, reorders and
// repeats messages. The state machine, the allocators and the holders are those of package quotalease.
//
// Explore visits every state of a small system within bounds. RunRandom plays long runs of larger ones with faults
// that are drawn. Each safeguard can be taken out (package mutation); the checks must then find a violation.
package modelcheck
