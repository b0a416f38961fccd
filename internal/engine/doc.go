// Package engine runs one service of a proxy: it holds the requests between a front end and the backends, and calls the
// decision module. It knows no protocol.
//
// A front end fills in a Request, hands it to Engine.Submit within an event (see Engine.Post) and reads exactly one
// Result. The decision module answers each event with actions on its host; the engine carries them out by an Upstream,
// which speaks the protocol to the backends, and by a Source, which delivers the endpoint list.
//
// # Concurrency
//
// One goroutine, Engine.Run, owns all state and calls the decision module. Everybody else posts functions to it. Work
// that may block (attempts, health checks, calls to discovery) runs in a goroutine of its own, which Run waits for, and
// reports by a posted event. What an action causes at once is put into a queue and handled after the event at hand, so
// that the decision module is never called while it is deciding.
//
// # Guarantees
//
//   - A request gets exactly one result, at the latest deadlineGrace after its deadline.
//   - A panic in one event ends that event alone; a timer of the decision module that it has cost is set again.
//   - After a request has ended nothing more of it is sent, and what still arrives for it changes nothing.
//   - An attempt whose connection comes up late is sent only if the retry window and the request still allow it.
//
// # Files
//
// engine.go has the state, loop.go the event loop and timer.go its timers. request.go follows a request from Submit to
// its result, attempt.go the attempts, sendguard.go what may still go out. endpoints.go keeps the endpoint list,
// healthcheck.go and readiness.go the health checks, detached.go the backends that an operator has detached. host.go is
// the decision module's view of the engine; upstream.go and options.go are what the engine is built from.
package engine
