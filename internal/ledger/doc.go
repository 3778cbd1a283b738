// Package ledger bills each request exactly once. A Charger at the agent
// numbers charges and writes them in blocks to the table service. Copies at
// the entry keep each charge until its agent says that it is durable, and hand
// it in when the agent dies. A Folder brings the blocks of a minute together
// as a set keyed by request and step, so that a charge that came twice counts
// once, and keeps sums for each organisation, version and service.
package ledger
