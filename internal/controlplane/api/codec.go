package api

import (
	"fmt"
	"io"
	"net/http"

	"github.com/fxamacker/cbor/v2"
)

// decodeMode bounds what a body can make this process allocate.
var decodeMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 16, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// DecodeBody reads a CBOR body into v. A body that is too long or malformed gives a MalformedMessageError.
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
	_, _ = w.Write(body) // a caller that is gone needs no answer
}
