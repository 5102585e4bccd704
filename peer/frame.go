package peer

// The layout of the stream: a frame is its length in four bytes and a ReplicaBatch; a receipt is the sequence
// of the last batch read, in eight bytes. Numbers are little-endian.

import (
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/wire"
)

const (
	// Path is where a Receiver's handler is mounted and a Sender connects.
	Path = "/replica-stream"
	// Protocol names the stream and its version in the upgrade of a connection.
	Protocol = "guavahitch-replica/1"

	lengthBytes  = 4
	receiptBytes = 8
	// maxFrameBytes is the largest frame that is read, in bytes.
	maxFrameBytes = 24 << 20
	// readStep bounds what is set aside for a frame before its bytes have come, in bytes.
	readStep = 1 << 20
)

func encodeFrame(batch *wire.ReplicaBatch) ([]byte, error) {
	data, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, lengthBytes, lengthBytes+proto.Size(batch)), batch)
	if err != nil {
		return nil, eris.Wrap(err, "encode frame")
	}
	binary.LittleEndian.PutUint32(data, uint32(len(data)-lengthBytes))
	return data, nil
}

// ReadFrame reads one frame.
func ReadFrame(r io.Reader) (*wire.ReplicaBatch, error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	length := int(binary.LittleEndian.Uint32(head[:]))
	if length > maxFrameBytes {
		return nil, eris.Errorf("frame of %d bytes is over the limit of %d bytes", length, maxFrameBytes)
	}
	data := make([]byte, 0, min(length, readStep))
	for len(data) < length {
		start := len(data)
		data = append(data, make([]byte, min(length-start, readStep))...)
		if _, err := io.ReadFull(r, data[start:]); err != nil {
			return nil, err
		}
	}
	batch := &wire.ReplicaBatch{}
	return batch, eris.Wrap(proto.Unmarshal(data, batch), "decode frame")
}

func encodeReceipt(sequence uint64) []byte {
	return binary.LittleEndian.AppendUint64(nil, sequence)
}

func readReceipt(r io.Reader) (uint64, error) {
	var data [receiptBytes]byte
	if _, err := io.ReadFull(r, data[:]); err != nil {
		return 0, err
	}
	return binary.LittleEndian.Uint64(data[:]), nil
}
