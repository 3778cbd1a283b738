// Package membership tells an entry which hosts can take work. It watches a
// bounded subset of the hosts by heartbeats whose rate is bounded in bytes,
// and takes everything else from the answers that arrive anyway. The
// platform's host list is a second source that lags.
//
// View is the state machine; it does no I/O and takes the time as an argument.
// Runner sends the heartbeats and reads the list.
package membership
