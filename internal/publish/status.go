package publish

import "time"

// Status is what a state dump shows of a follower.
type Status struct {
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
	History  string `json:"history"`
	// Source tells where the revision came from: "store" or "peer".
	Source string `json:"source"`
	// Since is when the revision came into force here.
	Since time.Time `json:"since"`
	// StoreRevision is the revision of the head when last read.
	StoreRevision uint64 `json:"storeRevision"`
	// StoreRelation is equal, ahead, behind or foreign.
	StoreRelation string `json:"storeRelation"`
	// StoreError is the last failure to read from the store; empty when the
	// last read went well.
	StoreError string `json:"storeError,omitempty"`
	// Trouble says why the state in force is kept against the store.
	Trouble string `json:"trouble,omitempty"`
	// Polls, Pulls and Repairs count what was done so far.
	Polls   uint64 `json:"polls"`
	Pulls   uint64 `json:"pulls"`
	Repairs uint64 `json:"repairs"`
}
