package session

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragonbay.example/tarragonbay/internal/result"
)

var (
	start  = time.Unix(1_800_000_000, 0)
	oldKey = Key{Name: "old", Secret: []byte(strings.Repeat("o", 32))}
	newKey = Key{Name: "new", Secret: []byte(strings.Repeat("n", 32))}
)

func signer(t interface{ Fatal(...any) }, keys ...Key) *Signer {
	s, err := NewSigner(keys, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestVerifyReturnsWhatWasIssued(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := signer(t, newKey, oldKey)
		org := rapid.StringN(1, 60, maxFieldBytes).Draw(t, "org")
		version := rapid.StringN(1, 60, maxFieldBytes).Draw(t, "version")
		var id ID
		copy(id[:], rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "id"))
		token, err := s.Issue(org, version, id, start)
		if err != nil {
			t.Fatal(err)
		}
		got, err := s.Verify(token, org, start)
		if err != nil {
			t.Fatal(err)
		}
		want := Token{Organisation: org, Version: version, ID: id, Expires: start.Add(time.Hour)}
		if got != want {
			t.Fatalf("got %+v, want %+v", got, want)
		}
	})
}

func TestAnyChangeOfATokenIsRefused(t *testing.T) {
	s := signer(t, newKey)
	token, err := s.Issue("alpha", "small@1", ID{7}, start)
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		i := rapid.IntRange(0, len(token)-1).Draw(t, "at")
		c := rapid.Byte().Draw(t, "byte")
		if token[i] == c {
			return
		}
		changed := token[:i] + string([]byte{c}) + token[i+1:]
		_, err := s.Verify(changed, "alpha", start)
		if !result.Is(err, result.BadSession) && !result.Is(err, result.SessionForged) {
			t.Fatalf("got %v", err)
		}
	})
}

func TestVerifyTellsWhyATokenIsRefused(t *testing.T) {
	s := signer(t, oldKey)
	token, err := s.Issue("alpha", "small@1", ID{7}, start)
	if err != nil {
		t.Fatal(err)
	}
	otherSecret := signer(t, Key{Name: "old", Secret: []byte(strings.Repeat("x", 32))})
	tests := []struct {
		name   string
		signer *Signer
		token  string
		org    string
		now    time.Time
		want   result.Code
	}{
		{"key moved back but kept", signer(t, newKey, oldKey), token, "alpha", start, result.OK},
		{"key dropped", signer(t, newKey), token, "alpha", start, result.SessionForged},
		{"another secret under the name", otherSecret, token, "alpha", start, result.SessionForged},
		{"another organisation", s, token, "beta", start, result.SessionForeign},
		{"a moment before the end", s, token, "alpha", start.Add(time.Hour - 1), result.OK},
		{"at the end", s, token, "alpha", start.Add(time.Hour), result.SessionExpired},
		{"empty", s, "", "alpha", start, result.BadSession},
		{"cut", s, token[:20], "alpha", start, result.BadSession},
		{"too long", s, strings.Repeat("A", maxTokenBytes+1), "alpha", start, result.BadSession},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := tt.signer.Verify(tt.token, tt.org, tt.now)
			if tt.want == result.OK && err != nil {
				t.Fatal(err)
			}
			if tt.want != result.OK && !result.Is(err, tt.want) {
				t.Errorf("got %v, want %v", err, tt.want)
			}
		})
	}
}

func TestNewSignerRefusesWeakKeys(t *testing.T) {
	for _, keys := range [][]Key{nil, {{Name: "a", Secret: []byte("short")}}, {oldKey, oldKey}, {{Secret: oldKey.Secret}}} {
		if _, err := NewSigner(keys, time.Hour); err == nil {
			t.Errorf("NewSigner accepted %v", keys)
		}
	}
}

func FuzzVerify(f *testing.F) {
	s := signer(f, newKey)
	token, err := s.Issue("alpha", "small@1", ID{7}, start)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(token)
	f.Add("AQ")
	f.Fuzz(func(t *testing.T, token string) {
		got, err := s.Verify(token, "alpha", start)
		if err == nil && got.Organisation != "alpha" {
			t.Errorf("Verify accepted a token of %q", got.Organisation)
		}
	})
}
