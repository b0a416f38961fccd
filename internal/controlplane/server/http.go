package server

import (
	"context"
	"net/http"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/quotalease"
)

// Handler returns the HTTP handler for the calls of proxies, operators and the other servers.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+api.PathLease, s.handleLease)
	mux.HandleFunc("POST "+api.PathBootstrap, s.handleBootstrap)
	mux.HandleFunc("POST "+api.PathSetQuotas, handlePost(s, noReply(s.setQuotas)))
	mux.HandleFunc("POST "+api.PathPolicyCommand, handlePost(s, noReply(s.policyCommand)))
	mux.HandleFunc("POST "+api.PathPolicyReport, handlePost(s, withoutContext(s.policyReport)))
	mux.HandleFunc("POST "+api.PathPolicyChunks, handlePost(s, withoutContext(s.policyChunks)))
	mux.HandleFunc("GET "+api.PathPolicyStatus, func(w http.ResponseWriter, _ *http.Request) {
		status, err := s.policyStatus()
		s.writeReply(w, status, err)
	})
	mux.HandleFunc("GET "+api.PathStatus, func(w http.ResponseWriter, _ *http.Request) {
		s.writeReply(w, s.status.Load(), nil)
	})
	mux.Handle("GET "+api.PathMetrics, s.metricsHandler())
	mux.HandleFunc("/consensus/", s.handleConsensus)
	return mux
}

// handleLease handles a proxy's lease request.
func (s *Server) handleLease(w http.ResponseWriter, r *http.Request) {
	var request quotalease.Request
	if !s.decodeRequest(w, r, &request) {
		return
	}
	reply, err := s.requestLease(r.Context(), request, api.RequestTimeout(r, maxRequestWait))
	s.writeReply(w, reply, err)
}

// handleBootstrap handles an operator's bootstrap of an epoch.
func (s *Server) handleBootstrap(w http.ResponseWriter, r *http.Request) {
	var request api.BootstrapRequest
	if !s.decodeRequest(w, r, &request) {
		return
	}
	err := s.bootstrap(request)
	if err != nil {
		s.warn("bootstrap rejected", err)
	}
	s.writeReply(w, struct{}{}, err)
}

// handleConsensus passes Raft messages of the other servers to the current replica. Without a replica it returns status
// 503.
func (s *Server) handleConsensus(w http.ResponseWriter, r *http.Request) {
	current := s.replica.Load()
	if current == nil {
		api.WriteReply(w, http.StatusServiceUnavailable, s.remoteError(quotalease.NotBootstrappedError{}))
		return
	}
	current.handler.ServeHTTP(w, r)
}

// handlePost returns a handler that decodes the request, calls the method and writes its reply or error.
func handlePost[Request, Reply any](
	s *Server, method func(context.Context, Request) (Reply, error),
) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request Request
		if !s.decodeRequest(w, r, &request) {
			return
		}
		reply, err := method(r.Context(), request)
		s.writeReply(w, reply, err)
	}
}

// noReply adapts a method without a reply to one with an empty reply.
func noReply[Request any](
	method func(context.Context, Request) error,
) func(context.Context, Request) (struct{}, error) {
	return func(ctx context.Context, request Request) (struct{}, error) { return struct{}{}, method(ctx, request) }
}

// withoutContext adapts a method that does not block and therefore takes no context.
func withoutContext[Request, Reply any](
	method func(Request) (Reply, error),
) func(context.Context, Request) (Reply, error) {
	return func(_ context.Context, request Request) (Reply, error) { return method(request) }
}

// decodeRequest decodes the body of a request. If that fails, it writes a response with status 400 and returns false.
func (s *Server) decodeRequest(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := api.DecodeBody(r.Body, into); err != nil {
		api.WriteReply(w, http.StatusBadRequest, s.remoteError(err))
		return false
	}
	return true
}

// writeReply writes the reply with status 200, or a RemoteError with status 409 if err is not nil.
func (s *Server) writeReply(w http.ResponseWriter, reply any, err error) {
	if err != nil {
		api.WriteReply(w, http.StatusConflict, s.remoteError(err))
		return
	}
	api.WriteReply(w, http.StatusOK, reply)
}
