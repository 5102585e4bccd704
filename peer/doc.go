// Package peer carries the messages of the replicated log between control replicas. A Sender keeps one
// connection to each replica and writes what waits for it as one frame; a Receiver reads the frames, hands
// their messages on in order, and answers each with a receipt. Connections start as HTTP/1.1 requests that
// are upgraded, so they share port and TLS with the other protocols. Messages may be lost: the log's
// protocol repeats them.
package peer
