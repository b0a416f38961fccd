// Package proxy is the proxy on real sockets: it carries out what package decision decides, by the engine of each
// service, and reports the results back.
//
// The way of a request: clientListener accepts the connection under admission control, clientConn follows its bytes
// beside net/http, and httpFrontend checks the framing, routes the request to a service (routing.go), admits it within
// the service's limits (limits.go) and reads its body (requestbody.go). The service's engine then makes attempts; each
// is one call of poolBackend.Exchange (attempt.go), on a connection of the service's pool. The result goes back to the
// client by clientresponse.go. Diameter requests take the same way from diameter.go on.
//
// Two rules hold throughout. A request that may have run must not be sent again unless it is idempotent; so the code
// keeps exact account of whether a request's last byte was written, and reads a response only if its end is
// unambiguous. And a request that has arrived must not be lost because a connection, a service or the process ends; so
// connections are closed only while nothing can be in them, and services and the process wait for what they have in
// flight.
//
// The other files: config.go and configfile.go read the configuration; proxy.go and serve.go start and end the process;
// services.go reloads the services; endpointsource.go and discoveryclient.go get the endpoint lists; controlplane.go
// joins the control plane; snapshotstore.go keeps for the next process what this one has learned; adminbackend.go
// answers operators.
package proxy
