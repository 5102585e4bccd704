// Package peer is the transport for the messages of the replicated log between control replicas. A Sender keeps one
// connection to each other replica and writes the queued messages as one frame. A Receiver reads frames, delivers
// their messages in order and acknowledges them. Connections start as HTTP/1.1 requests that are upgraded, so that
// they share the port and TLS with the other protocols. Messages may be lost; the protocol of the log retransmits
// them.
package peer
