package versionshift

import "github.com/juju/errors"

// Check returns an error if the state, read from a service's row at a revision, was not written
// by a gateway.
func (s State) Check(service string, rev uint64) error {
	switch {
	case s.Service != service:
		return errors.NotValidf("a state of the service %q", s.Service)
	case s.Order == 0 || s.Order >= rev:
		return errors.NotValidf("a state of the order at revision %d", s.Order)
	}
	switch s.Phase {
	case Trial, LoadTest, Moved, Done, Withdrawn:
		return nil
	}
	return errors.NotValidf("the phase %q of a state", s.Phase)
}
