package node

import (
	"io"
	"net/http"

	"lapisspread/internal/consensus"
)

// messagesPath is where a server takes messages.
const messagesPath = "/consensus/v1/messages"

// Handler takes the messages of the other servers. Whoever serves it is responsible for TLS and for who may call.
// It does not block: a message that finds the queue full is dropped, and the sender is told.
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
