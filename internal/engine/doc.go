// Package engine runs one service of a proxy: it keeps the requests in flight between a front end and the backends, and
// calls the decision module. It is independent of the application protocol.
//
// A front end fills in a Request, hands it to Engine.Submit within an event (see Engine.Post) and reads exactly one
// Result. The decision module answers each event with actions on its host; the engine carries them out with an
// Upstream, which speaks the protocol to the backends, and a Source, which delivers the endpoint list.
//
// # Concurrency
//
// One goroutine, Engine.Run, owns all state and calls the decision module. Other goroutines post functions, the events,
// to it. Work that may block (attempts, health checks, calls to discovery) runs in goroutines that Run waits for, and
// reports its result with a posted event. Immediate results of an action are queued and handled after the current
// event, so that the decision module is never called while it is handling an event.
//
// # Guarantees
//
//   - A request gets exactly one result, at the latest deadlineGrace after its deadline.
//   - A panic in one event ends only that event. If it was an event of a timer of the decision module, the timer is set
//     again.
//   - After a request has ended no further attempt of it is sent, and events that still arrive for it have no effect.
//   - An attempt whose connection is established late is sent only if the retry window has not ended and the request is
//     still open.
//
// # Files
//
// engine.go has the state, loop.go the event loop and timer.go its timers. request.go handles a request from Submit to
// its result, attempt.go handles its attempts, and sendguard.go decides whether an attempt may still be sent.
// endpoints.go keeps the endpoint list, healthcheck.go and readiness.go run the health checks, and detached.go handles
// the backends that an operator has detached. host.go implements the interface that the decision module calls.
// upstream.go and options.go define the interfaces and options that an engine is created with.
package engine
