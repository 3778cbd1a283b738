// Package domaindrain holds which failure domains the operator has drained: their upstreams
// get no new requests, retries and resumed streams included, until the domain is taken
// back. Requests that run there are finished.
package domaindrain

import (
	"maps"
	"slices"
	"time"

	"tarragonbay.example/tarragonbay/internal/fleet"
)

// Set is an immutable set of drained domains. A nil Set is empty.
type Set struct {
	// domains holds, by name, when the drain ends for lack of its order; the zero time for
	// a drain whose order stands.
	domains map[string]time.Time
}

// Drain returns the set with a domain added.
func (s *Set) Drain(domain string) *Set {
	out := s.clone()
	out.domains[domain] = time.Time{}
	return out
}

// TakeBack returns the set without a domain.
func (s *Set) TakeBack(domain string) *Set {
	out := s.clone()
	delete(out.domains, domain)
	return out
}

// KeepOnly returns the set for a full list of the orders: domains that it lacks are taken
// back, at keepUntil if that is set. It is set when the store was restored from an older
// copy, which may lack an order until the operator has written it again.
func (s *Set) KeepOnly(listed map[string]bool, keepUntil time.Time) *Set {
	out := s.clone()
	for domain, ends := range out.domains {
		switch {
		case listed[domain]:
			out.domains[domain] = time.Time{}
		case keepUntil.IsZero():
			delete(out.domains, domain)
		case ends.IsZero():
			out.domains[domain] = keepUntil
		}
	}
	return out
}

// Drained reports whether a domain is drained.
func (s *Set) Drained(domain string, now time.Time) bool {
	if s == nil {
		return false
	}
	ends, ok := s.domains[domain]
	return ok && (ends.IsZero() || now.Before(ends))
}

// Domains returns the drained domains in order.
func (s *Set) Domains(now time.Time) (out []string) {
	if s == nil {
		return nil
	}
	for domain := range s.domains {
		if s.Drained(domain, now) {
			out = append(out, domain)
		}
	}
	slices.Sort(out)
	return out
}

// Open returns the upstreams outside of drained domains.
func (s *Set) Open(ups []fleet.Upstream, now time.Time) []fleet.Upstream {
	if s == nil || len(s.domains) == 0 {
		return ups
	}
	open := make([]fleet.Upstream, 0, len(ups))
	for _, u := range ups {
		if !s.Drained(u.Domain, now) {
			open = append(open, u)
		}
	}
	return open
}

func (s *Set) clone() *Set {
	out := &Set{domains: map[string]time.Time{}}
	if s != nil {
		maps.Copy(out.domains, s.domains)
	}
	return out
}
