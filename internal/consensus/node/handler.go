package node

import (
	"io"
	"net/http"

	"lapisspread/internal/consensus"
)

// messagesPath is the HTTP path at which a server receives messages.
const messagesPath = "/consensus/v1/messages"

// Handler returns the HTTP handler that receives the messages of the other servers. Its caller is responsible for TLS
// and for authorization. The handler does not wait for room in the queue: it answers 204 if all messages of the
// request were queued, 400 for a malformed body, 409 for a message to another fleet, epoch or server, 413 for a body
// that exceeds MaxBodyBytes, and 503 if the queue is full or the Node is closed. The messages after the first
// rejected one are dropped.
func (n *Node) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+messagesPath, n.handleMessages)
	return mux
}

func (n *Node) handleMessages(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(n.config.MaxBodyBytes)))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	messages, err := decodeMessages(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, m := range messages {
		if m.Fleet != n.config.Fleet || m.Epoch != n.config.Epoch || m.To != n.config.ID {
			n.metrics.rejected.Add(1)
			http.Error(w, consensus.FleetMismatchError{Fleet: m.Fleet, Epoch: m.Epoch}.Error(), http.StatusConflict)
			return
		}
		select {
		case n.inbox <- m:
		case <-n.ctx.Done():
			http.Error(w, ErrClosed.Error(), http.StatusServiceUnavailable)
			return
		default:
			n.metrics.dropped.Add(1)
			http.Error(w, "the queue is full", http.StatusServiceUnavailable)
			return
		}
	}
	w.WriteHeader(http.StatusNoContent)
}
