// Package peer carries the messages of the replicated log between control replicas, over twirp. A Sender
// queues messages for each replica, gathers what waits into one call and keeps a few calls under way at once;
// a Receiver puts the batches back into their order. Messages may be lost: the protocol repeats them.
package peer
