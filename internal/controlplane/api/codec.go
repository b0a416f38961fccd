package api

import (
	"fmt"
	"io"
	"net/http"

	"github.com/fxamacker/cbor/v2"
)

// decodeMode limits the size and nesting of decoded messages, and so the memory that a message can make this process
// allocate.
var decodeMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 16, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// DecodeBody decodes a CBOR body into v. It returns a MalformedMessageError if the body is longer than MaxBodyBytes or
// malformed, and the reader's error if reading fails.
func DecodeBody(r io.Reader, v any) error {
	body, err := io.ReadAll(io.LimitReader(r, MaxBodyBytes+1))
	if err != nil {
		return err
	}
	if len(body) > MaxBodyBytes {
		return MalformedMessageError{Reason: fmt.Sprintf("it has over %d bytes", MaxBodyBytes)}
	}
	if err := decodeMode.Unmarshal(body, v); err != nil {
		return MalformedMessageError{Reason: err.Error()}
	}
	return nil
}

// WriteReply answers a call with a status code and v in CBOR. Statuses other than 200 carry a RemoteError.
func WriteReply(w http.ResponseWriter, status int, v any) {
	body, err := cbor.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	w.WriteHeader(status)
	_, _ = w.Write(body) // ignored: this fails only if the caller has disconnected
}
