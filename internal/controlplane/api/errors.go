package api

import (
	"errors"
	"fmt"

	"lapisspread/internal/operatorerror"
)

// UnknownServerError is returned for a server name that the configuration does not have.
type UnknownServerError struct{ Name string }

// Error implements error.
func (e UnknownServerError) Error() string { return fmt.Sprintf("the fleet has no steward %q", e.Name) }

// Code returns the name of this error in messages between processes.
func (UnknownServerError) Code() string { return "fleet.UnknownSteward" }

// Advice implements operatorerror.Error.
func (UnknownServerError) Advice() string { return "Name one of the stewards in the fleet's file." }

// MalformedMessageError is returned for a message that cannot be decoded.
type MalformedMessageError struct{ Reason string }

// Error implements error.
func (e MalformedMessageError) Error() string { return "a message that can't be read: " + e.Reason }

// Code returns the name of this error in messages between processes.
func (MalformedMessageError) Code() string { return "fleet.BadMessage" }

// Advice implements operatorerror.Error.
func (MalformedMessageError) Advice() string {
	return "See that nothing but proxies and stewards of one release speaks to the stewards' addresses."
}

// ServerUnreachableError is returned when a call got no answer, or an answer that a control-plane server does not send.
type ServerUnreachableError struct {
	Address string
	Err     error
}

// Error implements error. The text is shown in the admin protocol and stays as it is; a steward is a control-plane
// server.
func (e ServerUnreachableError) Error() string {
	return fmt.Sprintf("steward at %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e ServerUnreachableError) Unwrap() error { return e.Err }

// Code returns the name of this error in messages between processes.
func (ServerUnreachableError) Code() string { return "fleet.Unreachable" }

// Advice implements operatorerror.Error.
func (ServerUnreachableError) Advice() string {
	return "See whether the steward runs and whether the network leads to it; proxies ask the others, and go on with " +
		"their leases and floors until then."
}

// CodedError is an error with a fixed code on the wire, which does not change when its Go type is renamed.
type CodedError interface {
	operatorerror.Error
	// Code returns the code, such as "grant.NotFounded".
	Code() string
}

// RemoteError is the form in which a server sends an error.
type RemoteError struct {
	Code    string `json:"Name"` // see CodedError
	Message string `json:"Text"`
	Help    string `json:"Help"` // what an operator can do
	// LeaderAddress is the leader's address, to which to send the call instead. Only a server that is not
	// the leader and has the leader's address sets it.
	LeaderAddress string `json:"Leader"`
}

// Error implements error.
func (e RemoteError) Error() string { return e.Message }

// Advice implements operatorerror.Error.
func (e RemoteError) Advice() string { return e.Help }

// RemoteErrorOf converts an error to the form in which it is sent. It returns the zero RemoteError for nil.
func RemoteErrorOf(err error) RemoteError {
	if err == nil {
		return RemoteError{}
	}
	var remote RemoteError
	if errors.As(err, &remote) {
		return remote
	}
	return RemoteError{Code: codeOf(err), Message: err.Error(), Help: operatorerror.AdviceOf(err)}
}

// codeOf returns an error's code: its Code if it has one, "error" if it has no advice, otherwise its type name.
func codeOf(err error) string {
	var typed operatorerror.Error
	if !errors.As(err, &typed) {
		return "error"
	}
	if coded, ok := typed.(CodedError); ok {
		return coded.Code()
	}
	return fmt.Sprintf("%T", typed)
}

// WithAdvice appends an error's advice to its text, for a terminal. Nil stays nil.
func WithAdvice(err error) error {
	advice := operatorerror.AdviceOf(err)
	if err == nil || advice == "" {
		return err
	}
	return fmt.Errorf("%w\n%s", err, advice)
}
