package fake

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"time"

	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/result"
)

// AllObjects in a list of object faults stands for every object.
const AllObjects = "*"

// ObjectFaults are the switches of the object store.
type ObjectFaults struct {
	// Outage refuses every call.
	Outage bool `json:"outage"`
	// Latency passes before each reply.
	Latency time.Duration `json:"latency"`
	// Missing names objects that cannot be found.
	Missing []string `json:"missing,omitempty"`
	// Damaged names objects that come back with a flipped bit.
	Damaged []string `json:"damaged,omitempty"`
}

// Objects is the object store. All methods are safe for concurrent use.
type Objects struct {
	mu      sync.Mutex
	objects map[string][]byte
	faults  ObjectFaults
	usage   Usage
}

var _ ports.Objects = (*Objects)(nil)

func newObjects() *Objects {
	return &Objects{objects: map[string][]byte{}}
}

// SetFaults replaces the switches.
func (o *Objects) SetFaults(f ObjectFaults) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults = f
}

// Faults returns the switches as they stand.
func (o *Objects) Faults() ObjectFaults {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.faults
}

// Usage returns what was asked for so far.
func (o *Objects) Usage() Usage {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.usage
}

// Names lists the stored objects, sorted.
func (o *Objects) Names() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	names := make([]string, 0, len(o.objects))
	for n := range o.objects {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// before lets the latency pass and refuses in an outage.
func (o *Objects) before(ctx context.Context) error {
	if !wait(ctx, o.Faults().Latency) {
		return result.Wrap(ctx.Err(), result.ObjectUnavailable, "the object store did not answer in time")
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.faults.Outage {
		o.usage.Refused++
		return result.New(result.ObjectUnavailable, "the object store does not answer")
	}
	return nil
}

// PutIfAbsent stores the object. A different object of the same name is a
// TableConflict.
func (o *Objects) PutIfAbsent(ctx context.Context, name string, data []byte) error {
	if err := o.before(ctx); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.usage.Writes++
	o.usage.BytesWritten += uint64(len(name) + len(data))
	if have, ok := o.objects[name]; ok {
		if !bytes.Equal(have, data) {
			return result.New(result.TableConflict, "object %s exists with other content", name)
		}
		return nil
	}
	o.objects[name] = bytes.Clone(data)
	return nil
}

// Get returns the object as stored, or damaged when the switch says so.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	if err := o.before(ctx); err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	data, ok := o.objects[name]
	o.usage.Reads++
	o.usage.BytesRead += uint64(len(name) + len(data))
	if !ok || named(o.faults.Missing, name) {
		return nil, result.New(result.ObjectMissing, "there is no object %s", name)
	}
	data = bytes.Clone(data)
	if len(data) > 0 && named(o.faults.Damaged, name) {
		data[len(data)/2] ^= 1
	}
	return data, nil
}

func named(list []string, name string) bool {
	return slices.Contains(list, name) || slices.Contains(list, AllObjects)
}

// Delete removes the object; one that is gone already is no error.
func (o *Objects) Delete(ctx context.Context, name string) error {
	if err := o.before(ctx); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.usage.Writes++
	delete(o.objects, name)
	return nil
}
