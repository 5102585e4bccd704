package registry

import (
	"bytes"
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/item"
	"guavahitch.example/guavahitch/wire"
)

// This file splits and sends the frames of a stream, and names the kinds of items in them.

// The kinds of items in frames, calls and log entries.
const (
	kindAnnouncement item.Kind = "announcement"
	kindUpstream     item.Kind = "upstream"
	kindRenewal      item.Kind = "renewal"
	kindLoad         item.Kind = "load"
	kindLimit        item.Kind = "limit"
	kindEvidence     item.Kind = "evidence"
	kindDemand       item.Kind = "demand"
	kindGrant        item.Kind = "grant"
	kindDeparture    item.Kind = "departure"
	kindCommand      item.Kind = "command"
)

// maxFrameItemBytes bounds the items of one frame. More of them are sent in several frames, so that no frame exceeds what a
// follower reads.
const maxFrameItemBytes = 2 << 20

// frameLists returns the lists of items of a frame in the order in which they are sent.
func frameLists(frame *wire.WatchFrame) []*[][]byte {
	return []*[][]byte{&frame.Upstreams, &frame.Renewals, &frame.Loads, &frame.Limits, &frame.Evidence}
}

// splitFrame returns frames that together hold the items of a frame. Each holds at most maxFrameItemBytes of them and all other
// fields of the frame.
func splitFrame(frame *wire.WatchFrame) []*wire.WatchFrame {
	if proto.Size(frame) <= maxFrameItemBytes {
		return []*wire.WatchFrame{frame}
	}
	lists := frameLists(frame)
	items := make([][][]byte, len(lists))
	for n, list := range lists {
		items[n], *list = *list, nil
	}
	frames, size := []*wire.WatchFrame{proto.CloneOf(frame)}, 0
	for n, list := range items {
		for _, data := range list {
			if size > 0 && size+len(data) > maxFrameItemBytes {
				frames, size = append(frames, proto.CloneOf(frame)), 0
			}
			last := frameLists(frames[len(frames)-1])[n]
			*last = append(*last, data)
			size += len(data)
		}
	}
	return frames
}

// sendFrame encodes and writes a frame, in several parts if it is large. It returns the cause of an error.
func sendFrame(w http.ResponseWriter, frame *wire.WatchFrame) (cause string, err error) {
	control := http.NewResponseController(w)
	for _, part := range splitFrame(frame) {
		var encoded bytes.Buffer
		if _, err := protodelim.MarshalTo(&encoded, part); err != nil {
			return endOfEncoding, eris.Wrap(err, "encode the frame")
		}
		_ = control.SetWriteDeadline(time.Now().Add(frameWriteTimeout))
		if _, err := w.Write(encoded.Bytes()); err != nil {
			return causeOfWriteError(err), eris.Wrap(err, "write the frame")
		}
	}
	err = control.Flush()
	return causeOfWriteError(err), eris.Wrap(err, "write the frame")
}

// causeOfWriteError tells a follower that does not read from one that has disconnected.
func causeOfWriteError(err error) string {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return endOfTimeout
	}
	return endOfFollower
}
