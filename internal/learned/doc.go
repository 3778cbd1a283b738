// Package learned transfers the learned state of entries (the statistics on the
// quality, output length and latency of versions, see quality.Snapshot) to entries
// that start later. An entry that starts fetches it from its peers over the link.
// A stored copy in one row of the table service survives a restart of all entries.
package learned
