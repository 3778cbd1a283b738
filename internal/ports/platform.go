// Package ports declares the ports through which the product meets the
// platform's services: table service, object store, host list, rating service
// and weight store. Clients live in ports/client, an in-memory fake with
// the same semantics in ports/fake, and a stand-in server around the fake
// in internal/standin.
//
// Every call takes a context with a deadline and returns a *result.Error.
package ports

import (
	"context"
	"time"
)

// Row is one row of the table service.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version rises by one with each write of the row and starts at 1.
	Version uint64 `json:"version"`
}

// Write is one change inside a transaction. A nil Value deletes the row.
type Write struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Delete removes the row.
	Delete bool `json:"delete,omitempty"`
}

// Condition must hold for a transaction to take effect.
type Condition struct {
	Key string `json:"key"`
	// Version the row must have; 0 means the row must not exist.
	Version uint64 `json:"version"`
}

// Txn is a conditional multi-row write: all of it takes effect, or none.
type Txn struct {
	// OperationID identifies the transaction, so that a lost reply can be
	// resolved with Outcome. It must be unique.
	OperationID string      `json:"operationId"`
	Conditions  []Condition `json:"conditions,omitempty"`
	Writes      []Write     `json:"writes"`
}

// Table is the transactional table service.
//
// Commit returns TableConflict when a condition does not hold, TableUnknown
// when the reply was lost and the effect is not known, TableUnavailable when
// the service was not reached, TableLimited when it is over its rate.
type Table interface {
	Get(ctx context.Context, key string) (Row, bool, error)
	// Scan returns at most limit rows with from <= key < to, in key order.
	Scan(ctx context.Context, from, to string, limit int) ([]Row, error)
	Commit(ctx context.Context, txn Txn) error
	// Applied reports whether the transaction with the operation ID took
	// effect. The service keeps operation IDs for an hour.
	Applied(ctx context.Context, operationID string) (bool, error)
}

// Objects is the object store. Objects are never changed once put.
type Objects interface {
	// PutIfAbsent stores the object; an equal object that is there already
	// is no error.
	PutIfAbsent(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	Delete(ctx context.Context, name string) error
}

// HostState is one line of the host list.
type HostState struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
	// Leaving is set some time before the host goes away.
	Leaving bool `json:"leaving"`
}

// Hosts is the platform's list of live and leaving hosts. It lags.
type Hosts interface {
	List(ctx context.Context) ([]HostState, error)
}

// Rating is the verdict on one answer.
type Rating struct {
	RequestID string    `json:"requestId"`
	Version   string    `json:"version"`
	Class     string    `json:"class"`
	Good      bool      `json:"good"`
	At        time.Time `json:"at"`
}

// Ratings is the answer-rating service: sampled, late and at times away.
type Ratings interface {
	// Submit asks for a rating of the answer.
	Submit(ctx context.Context, s Sample) error
	// Since returns ratings made after the cursor, and the next cursor.
	Since(ctx context.Context, cursor uint64, limit int) ([]Rating, uint64, error)
}

// Sample is an answer handed in for rating.
type Sample struct {
	RequestID string `json:"requestId"`
	Version   string `json:"version"`
	Class     string `json:"class"`
	Prompt    string `json:"prompt"`
	Answer    string `json:"answer"`
}

// Weights is the rate-limited weight store from which engines load versions.
type Weights interface {
	// Reserve asks for a place in the weight store's rate limit. It returns
	// WeightsLimited with a time to come back.
	Reserve(ctx context.Context, version string) error
}
