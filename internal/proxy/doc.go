// Package proxy is the proxy on real sockets: it carries out the decisions of package decision, which the engine of
// each service makes, and reports the results back to the engine.
//
// The path of a request: clientListener accepts the connection under admission control, clientConn tracks where
// requests start and end in the bytes that net/http reads, and httpFrontend checks the framing, routes the request to a
// service (routing.go), admits it within the service's limits (limits.go) and reads its body (requestbody.go). The
// service's engine then makes attempts; each is one call of poolBackend.Exchange (attempt.go), on a connection of the
// service's pool. clientresponse.go writes the result to the client. Diameter requests take the same path, starting in
// diameter.go.
//
// Two rules hold throughout. A request that may have run must not be sent again unless it is idempotent; so the code
// tracks exactly whether a request's last byte was written, and reads a response only if its end is unambiguous. And a
// request that has arrived must not be lost because a connection, a service or the process ends; so connections are
// closed only while they carry no request, and services and the process wait for their requests in flight.
//
// The other files: config.go and configfile.go read the configuration; proxy.go and serve.go start and end the process;
// services.go reloads the services; endpointsource.go and discoveryclient.go fetch the endpoint lists; controlplane.go
// joins the control plane; snapshotstore.go stores what this process has learned for the next one; adminbackend.go
// answers operators.
package proxy
