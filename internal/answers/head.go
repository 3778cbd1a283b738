// Package answers checks what a program of ours reads as an answer, whoever sent it: an upstream,
// a daemon, the store. net/http is lenient with heads that other programs read in
// another way, and takes the reset of a connection for the end of an answer in some cases.
package answers

import (
	"net/http"

	"github.com/juju/errors"
)

// Statuses that an answer may have (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// ErrMalformed is the cause of all errors of CheckHead.
var ErrMalformed = errors.New("malformed answer")

// CheckHead returns an error unless the head of an answer, as net/http has parsed it, is one in
// HTTP/1. Our requests ask for no other protocol, so a 101 is none.
func CheckHead(resp *http.Response) error {
	switch {
	case resp.ProtoMajor != 1:
		return errors.Annotatef(ErrMalformed, "protocol %q", resp.Proto)
	case resp.StatusCode < minStatus || resp.StatusCode > maxStatus:
		return errors.Annotatef(ErrMalformed, "status %03d", resp.StatusCode)
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return errors.Annotate(ErrMalformed, "status 101, although no other protocol was asked for")
	}
	for _, fields := range []http.Header{resp.Header, resp.Trailer} {
		for name, values := range fields {
			if !isToken(name) {
				return errors.Annotatef(ErrMalformed, "field name %q", name)
			}
			for _, v := range values {
				if !isValue(v) {
					return errors.Annotatef(ErrMalformed, "value of field %s", name)
				}
			}
		}
	}
	return nil
}

// isToken reports whether a text is a token (RFC 9110, section 5.6.2).
func isToken(s string) bool {
	for i := range len(s) {
		if !tokenBytes[s[i]] {
			return false
		}
	}
	return s != ""
}

var tokenBytes = func() (t [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		t[c] = true
	}
	return t
}()

// isValue reports whether a text holds no control byte but tabs.
func isValue(s string) bool {
	for i := range len(s) {
		if c := s[i]; (c < ' ' && c != '\t') || c == 0x7f {
			return false
		}
	}
	return true
}
