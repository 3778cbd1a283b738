// Package ledger bills each request exactly once. A Charger at the agent
// numbers charges and writes them in blocks to the table service. Copies at
// the entry hold each charge until its agent reports that it is durable, and
// hand it in to another agent if its agent dies. A Folder merges the blocks of
// a minute into a set keyed by request and step, so that a duplicate charge
// counts once, and keeps sums for each organisation, version and service.
package ledger
