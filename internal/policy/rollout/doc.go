// Package rollout adopts a new policy version in a fleet of proxies step by step: a few proxies first, then more, then
// all. It stops automatically if the proxies with the new version do worse than the others.
//
// # Versions
//
// Versions are ordered by (Generation, Epoch); see [Version]. The epoch rises with each policy; the generation rises
// only when an operator rolls the fleet back. A message that is late, repeated, or from a server that was partitioned
// from the others therefore never returns a proxy to an older epoch. [CurrentVersion] enforces that rule in the proxy.
//
// # Detecting harm
//
// The proxies that get the new version first are drawn at random, so a difference between them and the others comes
// either from the version or from chance. The draw is an order of all proxies that depends only on a seed and their
// names. Each step has Settings.LooksPerStep looks (interim analyses), the last of them at its end. At each look
// a randomisation test (Fisher 1935) on the proxies' shares of bad requests estimates how likely the difference is by
// chance: if the version had no effect, every other draw would have been equally likely. The test makes no assumption
// about how requests depend on each other within a proxy. All tests of a rollout together stop a harmless version with
// a probability of at most Settings.ErrorRate.
//
// A proxy that is silent or has left counts as if all its requests had failed. Otherwise a version that makes proxies
// fail would look harmless, because failed proxies report no bad requests.
//
// # After a rollout
//
// Once all proxies have a version, there are no others to compare with. [RegressionWatch] then compares the whole fleet
// with the time before the rollout, and reports a regression without acting on it.
//
// The package is deterministic: no I/O, no goroutine, no clock. Callers pass the time and the seed of the draw, and
// make one call at a time.
package rollout
