package link

import (
	"context"
	"errors"
	"net"
	"strconv"

	"connectrpc.com/connect"

	"tarragonbay.example/tarragonbay/internal/result"
)

// The error metadata that carries a numbered code between daemons.
const (
	metaCode    = "Result-Code"
	metaOutcome = "Result-Outcome"
)

// toWire turns an error into the error of a call. Only an error of the agent
// itself carries its number: one of the connection, such as the end of the
// request's context, tells nothing of the attempt, and the other end resumes.
func toWire(err error) error {
	if err == nil {
		return nil
	}
	var e *result.Error
	if !errors.As(err, &e) {
		return connect.NewError(connect.CodeUnavailable, err)
	}
	out := connect.NewError(connect.CodeFailedPrecondition, errors.New(e.Message))
	out.Meta().Set(metaCode, strconv.Itoa(int(e.Code)))
	out.Meta().Set(metaOutcome, e.Outcome.String())
	return out
}

// fromWire reads the error of a call. An error that did not come from the
// agent is NoUpstream: with outcome NotRun when no connection was made, and
// Unknown otherwise.
func fromWire(err error) *result.Error {
	var ce *connect.Error
	if errors.As(err, &ce) {
		if code, convErr := strconv.Atoi(ce.Meta().Get(metaCode)); convErr == nil {
			return result.New(result.Code(code), "%s", ce.Message()).
				WithOutcome(result.ParseOutcome(ce.Meta().Get(metaOutcome)))
		}
	}
	out := result.Wrap(err, result.NoUpstream, "agent does not answer")
	if notSent(err) {
		return out.WithOutcome(result.NotRun)
	}
	return out.WithOutcome(result.Unknown)
}

// fromAgent reports whether the agent itself answered with the error.
func fromAgent(err error) bool {
	var ce *connect.Error
	return errors.As(err, &ce) && ce.Meta().Get(metaCode) != ""
}

// notSent reports whether no connection was made, so that nothing was sent.
func notSent(err error) bool {
	var de *dialError
	return errors.As(err, &de)
}

// dialError marks a failure to connect.
type dialError struct{ cause error }

// Error returns the failure of the dialer.
func (e *dialError) Error() string { return e.cause.Error() }

// Unwrap returns the failure of the dialer.
func (e *dialError) Unwrap() error { return e.cause }

// dial connects and marks a failure as one before anything was sent.
func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePause}
	conn, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, &dialError{cause: err}
	}
	return conn, nil
}
