// Package wire holds the JSON messages and paths between the platform client
// and the stand-in server.
package wire

import (
	"time"

	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/result"
)

// Paths of the services. An object's name follows PathObjects.
const (
	PathTableGet      = "/v1/table/get"
	PathTableScan     = "/v1/table/scan"
	PathTableCommit   = "/v1/table/commit"
	PathTableApplied  = "/v1/table/applied"
	PathObjects       = "/v1/objects/"
	PathHosts         = "/v1/hosts"
	PathRatingsSubmit = "/v1/ratings/submit"
	PathRatingsSince  = "/v1/ratings/since"
	PathWeights       = "/v1/weights/reserve"
)

// Paths of the stand-in's own administration.
const (
	PathAdminFaults   = "/admin/faults"
	PathAdminCounters = "/admin/counters"
	PathAdminBackup   = "/admin/backup"
	PathAdminRestore  = "/admin/restore"
	PathAdminHosts    = "/admin/hosts"
)

// KeyRequest names one row.
type KeyRequest struct {
	Key string `json:"key"`
}

// RowResponse is the answer to a read of one row.
type RowResponse struct {
	Found bool      `json:"found"`
	Row   ports.Row `json:"row"`
}

// ScanRequest asks for a key range.
type ScanRequest struct {
	From  string `json:"from"`
	To    string `json:"to"`
	Limit int    `json:"limit"`
}

// ScanResponse is the answer to a scan.
type ScanResponse struct {
	Rows []ports.Row `json:"rows"`
}

// AppliedRequest asks about one operation ID.
type AppliedRequest struct {
	OperationID string `json:"operationId"`
}

// AppliedResponse tells whether the operation took effect.
type AppliedResponse struct {
	Applied bool `json:"applied"`
}

// HostsResponse is the host list.
type HostsResponse struct {
	Hosts []ports.HostState `json:"hosts"`
}

// SinceRequest asks for the ratings after a cursor.
type SinceRequest struct {
	Cursor uint64 `json:"cursor"`
	Limit  int    `json:"limit"`
}

// SinceResponse is the answer to SinceRequest.
type SinceResponse struct {
	Ratings []ports.Rating `json:"ratings"`
	Next    uint64         `json:"next"`
}

// ReserveRequest asks the weight store for a place.
type ReserveRequest struct {
	Version string `json:"version"`
}

// Empty is the answer of a call that returns nothing.
type Empty struct{}

// Error is the body of a failed call.
type Error struct {
	Code         result.Code `json:"code"`
	Message      string      `json:"message"`
	RetryAfterMs int64       `json:"retryAfterMs,omitempty"`
}

// FromError makes the body for an error.
func FromError(err error) Error {
	e := result.From(err)
	return Error{Code: e.Code, Message: e.Message, RetryAfterMs: e.RetryAfter.Milliseconds()}
}

// Err returns the body as an error.
func (e Error) Err() *result.Error {
	return result.New(e.Code, "%s", e.Message).WithRetryAfter(time.Duration(e.RetryAfterMs) * time.Millisecond)
}
