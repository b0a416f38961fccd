// Package quotasim plays quota leases (package quotalease) in virtual time: many holders with many quotas, the
// server that leads, the log that it agrees on with the others, and the servers that count what is spent. It
// measures what the requests cost, how soon a quota follows a change, and how much of it is used. It also plays
// other policies, and faulty ones to test the checker.
//
// It leaves out elections and lost messages, which packages quotalease/modelcheck and consensus test, and the time
// that a server computes, unless Settings.PlanCost says how long that is.
package quotasim
