// Package session signs and verifies the tokens that pin a session to one
// version of a model. A token contains the whole state of its session, so that
// no store is read: organisation, version, session ID and expiry, authenticated
// by HMAC-SHA256 with a named key.
//
// A Signer has no state but its keys and is safe for concurrent use.
package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/juju/errors"

	"tarragonbay.example/tarragonbay/internal/result"
)

// ID identifies a session. It is random and never chosen by callers.
type ID [16]byte

// String returns the ID in hex.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// Token holds the fields of a verified session token.
type Token struct {
	Organisation string
	// Version is "model@version". It does not change during the session.
	Version string
	ID      ID
	Expires time.Time
}

// Key is one named signing key.
type Key struct {
	Name   string
	Secret []byte
}

// Signer signs tokens with its first key and verifies tokens of all its keys, so
// that keys can be rotated without ending sessions: add the new key last on every
// host, then move it first, and remove the old key after the lifetime of a token.
type Signer struct {
	keys     []Key
	lifetime time.Duration
}

// Sizes in bytes, and the version of the token format, which is the first byte.
const (
	macBytes       = 16
	maxFieldBytes  = 255
	maxTokenBytes  = 1024
	formatVersion  = 1
	minSecretBytes = 32
)

// NewSigner returns a signer. It fails if there are no keys, or if a key has no
// name, a name over 255 bytes, the name of another key, or a secret under 32 bytes.
func NewSigner(keys []Key, lifetime time.Duration) (*Signer, error) {
	if len(keys) == 0 {
		return nil, errors.NotValidf("a signer without keys")
	}
	seen := map[string]bool{}
	for _, k := range keys {
		if k.Name == "" || len(k.Name) > maxFieldBytes || seen[k.Name] {
			return nil, errors.NotValidf("session key name %q", k.Name)
		}
		if len(k.Secret) < minSecretBytes {
			return nil, errors.NotValidf("session key %q with a secret under %d bytes", k.Name, minSecretBytes)
		}
		seen[k.Name] = true
	}
	return &Signer{keys: keys, lifetime: lifetime}, nil
}

// Issue returns a signed token that expires one lifetime after now. Each answer of
// a session gets a new token with the same ID and version and a later expiry.
func (s *Signer) Issue(organisation, version string, id ID, now time.Time) (string, error) {
	if organisation == "" || len(organisation) > maxFieldBytes || version == "" || len(version) > maxFieldBytes {
		return "", errors.NotValidf("session of %q on %q", organisation, version)
	}
	key := s.keys[0]
	b := make([]byte, 0, len(key.Name)+len(organisation)+len(version)+64)
	b = append(b, formatVersion)
	b = appendField(b, key.Name)
	b = appendField(b, organisation)
	b = appendField(b, version)
	b = append(b, id[:]...)
	b = binary.AppendVarint(b, now.Add(s.lifetime).Unix())
	b = append(b, mac(key.Secret, b)...)
	return base64.RawURLEncoding.EncodeToString(b), nil
}

func appendField(b []byte, s string) []byte {
	b = append(b, byte(len(s)))
	return append(b, s...)
}

func mac(secret, data []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write(data)
	return h.Sum(nil)[:macBytes]
}

// Verify checks a token that the organisation sent at now. Its errors are
// BadSession (malformed), SessionForged (not signed by a known key),
// SessionForeign (of another organisation) and SessionExpired. All of them
// mean that the request was not executed.
func (s *Signer) Verify(token, organisation string, now time.Time) (Token, error) {
	if len(token) > maxTokenBytes {
		return Token{}, result.New(result.BadSession, "the session token is too long")
	}
	data, err := base64.RawURLEncoding.Strict().DecodeString(token)
	if err != nil {
		return Token{}, result.New(result.BadSession, "the session token cannot be read")
	}
	t, keyName, signed, ok := parse(data)
	if !ok {
		return Token{}, result.New(result.BadSession, "the session token cannot be read")
	}
	if !s.signedBy(keyName, signed, data[len(signed):]) {
		return Token{}, result.New(result.SessionForged, "the session token was not signed here")
	}
	if t.Organisation != organisation {
		return Token{}, result.New(result.SessionForeign, "the session belongs to another organisation")
	}
	if !now.Before(t.Expires) {
		return Token{}, result.New(result.SessionExpired, "the session has expired")
	}
	return t, nil
}

// signedBy reports whether got is the MAC of signed under the named key. It compares
// in constant time.
func (s *Signer) signedBy(keyName string, signed, got []byte) bool {
	for _, k := range s.keys {
		if k.Name == keyName {
			return hmac.Equal(mac(k.Secret, signed), got)
		}
	}
	return false
}

// parse splits a token into its fields; signed is the part covered by the MAC.
func parse(data []byte) (t Token, keyName string, signed []byte, ok bool) {
	if len(data) < 1+macBytes || data[0] != formatVersion {
		return Token{}, "", nil, false
	}
	signed = data[:len(data)-macBytes]
	r := reader{rest: signed[1:]}
	keyName = r.field()
	t.Organisation = r.field()
	t.Version = r.field()
	copy(t.ID[:], r.take(len(t.ID)))
	t.Expires = time.Unix(r.varint(), 0)
	return t, keyName, signed, !r.bad && len(r.rest) == 0
}

// reader decodes fields from the front of a byte slice; bad is set when the slice is
// too short or malformed.
type reader struct {
	rest []byte
	bad  bool
}

func (r *reader) take(n int) []byte {
	if len(r.rest) < n {
		r.bad = true
		return nil
	}
	out := r.rest[:n]
	r.rest = r.rest[n:]
	return out
}

func (r *reader) field() string {
	n := r.take(1)
	if r.bad {
		return ""
	}
	return string(r.take(int(n[0])))
}

func (r *reader) varint() int64 {
	v, n := binary.Varint(r.rest)
	if n <= 0 {
		r.bad = true
		return 0
	}
	r.rest = r.rest[n:]
	return v
}
