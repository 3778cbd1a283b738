// Package learned hands what an entry has learned of versions to the entries
// that start after it: from entry to entry over the link, and through one row
// of the table service for the time after a restart of all.
package learned
