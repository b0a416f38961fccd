package api

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// timeoutHeader is the HTTP header with the time that the caller waits for an answer, in milliseconds.
const timeoutHeader = "X-Timeout-Ms"

// operatorCallTimeout bounds one call of an operator to one server.
const operatorCallTimeout = 6 * time.Second

// RequestTimeout returns how long the caller of a request waits for an answer, by its timeout header. It returns limit
// if the header is missing or invalid, or gives a longer time.
func RequestTimeout(r *http.Request, limit time.Duration) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(timeoutHeader), 10, 32)
	if err != nil || ms <= 0 {
		return limit
	}
	return min(limit, time.Duration(ms)*time.Millisecond)
}

// Call sends a request to a server and decodes its answer into out, unless out is nil. A nil in makes it a GET,
// anything else a POST. The error is a RemoteError if the server rejected the call, and a ServerUnreachableError
// otherwise. Call blocks until the answer is read or ctx ends, so ctx must have a deadline.
func Call(ctx context.Context, client *http.Client, address, path string, in, out any) error {
	request, err := newRequest(ctx, address, path, in)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return ServerUnreachableError{Address: address, Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		var rejection RemoteError
		if err := DecodeBody(response.Body, &rejection); err != nil || rejection.Message == "" {
			return ServerUnreachableError{Address: address, Err: fmt.Errorf("it answers %s", response.Status)}
		}
		return rejection
	}
	if out == nil {
		return nil
	}
	if err := DecodeBody(response.Body, out); err != nil {
		return ServerUnreachableError{Address: address, Err: err}
	}
	return nil
}

func newRequest(ctx context.Context, address, path string, in any) (*http.Request, error) {
	method := http.MethodGet
	body := io.Reader(http.NoBody)
	if in != nil {
		text, err := cbor.Marshal(in)
		if err != nil {
			return nil, err
		}
		method = http.MethodPost
		body = bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return nil, ServerUnreachableError{Address: address, Err: err}
	}
	request.Header.Set("Content-Type", "application/cbor")
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set(timeoutHeader, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	return request, nil
}

// CallWithTimeout is Call with a timeout of operatorCallTimeout in addition to the deadline of ctx.
func CallWithTimeout(ctx context.Context, client *http.Client, address, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, operatorCallTimeout)
	defer cancel()
	return Call(ctx, client, address, path, in, out)
}
