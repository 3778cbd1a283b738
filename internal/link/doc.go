// Package link is the transport between an entry and the agents. Attempts run
// as server streams of connect-go over HTTP/1.1, so that a silent connection
// hurts one stream.
//
// On the agent's side a producer writes an answer into an AnswerLog, and a
// Handler serves it to one reader after another. On the entry's side a Client
// opens a Stream, which checks attempt, incarnation, order, length and digest
// of every frame, and resumes over a new connection when the present one
// fails or goes silent.
package link
