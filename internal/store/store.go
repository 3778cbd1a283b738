// Package store declares the port to the store that keeps what must last:
// rows with revisions, one atomic transaction and one feed of changes.
//
// The client of the users' platform implements it (platform.Store), and
// storefake holds an in-memory one with the same semantics for tests.
package store

import (
	"context"
	"time"
)

// Key names a row. Rows of one transaction share a part.
type Key struct {
	Table string
	// Part groups rows that are written together; it may be empty.
	Part string
	Name string
}

// Row is one row at one revision.
type Row struct {
	Key
	Value []byte
	// Rev is the store-wide revision of the transaction that wrote the row.
	Rev uint64
	// Removed marks a deleted row in a feed.
	Removed bool
}

// Page is a consistent set of rows.
type Page struct {
	Rows []Row
	// Rev is the newest revision the store had when it answered.
	Rev uint64
	// Now is the store's steady clock when it answered.
	Now time.Duration
}

// Expect is a condition of a transaction: the row must have this revision;
// zero means that it must not exist.
type Expect struct {
	Key
	Rev uint64
}

// Txn is written whole or not at all. All keys share one part.
type Txn struct {
	Expect []Expect
	Set    []Row
	Delete []Key
}

// Outcome tells what a transaction did.
type Outcome struct {
	// Applied is false when a condition did not hold; Current then holds the
	// rows that were expected, as they are now.
	Applied bool
	Current []Row
	Rev     uint64
	Now     time.Duration
}

// Store is the port. Every error is a *result.Error: TableUnavailable when
// nothing was done, TableLimited when the store is over its rate,
// TableUnknown when a write may have been done or may still be done later,
// and HistoryGone when a feed must start from a new list.
type Store interface {
	// List returns all rows of a part of a table.
	List(ctx context.Context, table, part string) (Page, error)
	// Feed returns rows changed after the revision, as soon as there is one
	// or when wait has passed.
	Feed(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error)
	// Commit applies a transaction.
	Commit(ctx context.Context, txn Txn) (Outcome, error)
}
