// Package rollout adopts a new policy version in a fleet of proxies step by step: a few proxies first, then more, then
// all. It stops by itself if the proxies with the new version do worse than the others.
//
// # Versions
//
// A [Version] is ordered by (Generation, Epoch). Epochs rise with each policy; Generation rises only when an operator
// rolls the fleet back. So no message that is late, repeated, or from a server that was cut off takes a proxy back to
// an older epoch. [CurrentVersion] is a proxy's side of that rule.
//
// # The test
//
// Which proxies get the new version first is drawn at random, so a difference between the two sides can only come from
// the version or from chance. Each step has a number of looks (interim analyses; Settings.LooksPerStep), one of them at
// its end. At each look a randomisation test (Fisher 1935) on the proxies' shares of bad requests tells how likely
// chance is: had the version no effect, every other draw would have been as likely. The test supposes nothing about how
// requests depend on each other within a proxy. All tests of a rollout together stop a harmless version with
// a probability of at most Settings.ErrorRate.
//
// A proxy that is silent or has left counts as if all its requests had failed: a version that kills its proxies must
// not look good for that.
//
// # After a rollout
//
// Once all proxies have a version, nobody is left to compare with. [RegressionWatch] then compares the whole fleet with
// the time before, and reports a regression without acting on it.
//
// The package is deterministic: no I/O, no goroutine, no clock. Callers pass the time, call one method at a time, and
// pass the seed of the draw.
package rollout
