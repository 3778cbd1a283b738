// Package membership tracks which hosts can take work. It sends heartbeats to
// a bounded subset of the hosts, within a byte rate, and learns the rest from
// the responses to ordinary requests. The platform's host list is a second
// source that lags.
//
// View is the state machine; it does no I/O and takes the time as an argument.
// Runner sends the heartbeats and reads the list.
package membership
