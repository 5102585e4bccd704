package peer

// The layout of the stream: a frame is a length of four bytes and a ReplicaBatch; an acknowledgement is the sequence
// number of the last batch read, in eight bytes. Numbers are little-endian.

import (
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/wire"
)

const (
	// Path is the URL path at which a Receiver's handler is mounted and to which a Sender connects.
	Path = "/replica-stream"
	// Protocol is the name and version of the stream in the Upgrade header.
	Protocol = "guavahitch-replica/1"

	lengthBytes = 4
	ackBytes    = 8
	// maxFrameBytes is the largest frame that ReadFrame accepts.
	maxFrameBytes = 24 << 20
	// readChunkBytes limits the memory that is allocated for a frame before its data arrives.
	readChunkBytes = 1 << 20
)

func encodeFrame(batch *wire.ReplicaBatch) ([]byte, error) {
	data, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, lengthBytes, lengthBytes+proto.Size(batch)), batch)
	if err != nil {
		return nil, eris.Wrap(err, "encode frame")
	}
	binary.LittleEndian.PutUint32(data, uint32(len(data)-lengthBytes))
	return data, nil
}

// ReadFrame reads one frame and decodes its batch. It returns an error for a frame that is too large.
func ReadFrame(r io.Reader) (*wire.ReplicaBatch, error) {
	length, err := readLength(r)
	if err != nil {
		return nil, err
	}
	data := make([]byte, 0, min(length, readChunkBytes))
	for len(data) < length {
		start := len(data)
		data = append(data, make([]byte, min(length-start, readChunkBytes))...)
		if _, err := io.ReadFull(r, data[start:]); err != nil {
			return nil, err
		}
	}
	return decodeBatch(data)
}

// readLength reads the length of a frame.
func readLength(r io.Reader) (int, error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, err
	}
	length := int(binary.LittleEndian.Uint32(head[:]))
	if length > maxFrameBytes {
		return 0, eris.Errorf("frame of %d bytes is over the limit of %d bytes", length, maxFrameBytes)
	}
	return length, nil
}

func decodeBatch(data []byte) (*wire.ReplicaBatch, error) {
	batch := &wire.ReplicaBatch{}
	return batch, eris.Wrap(proto.Unmarshal(data, batch), "decode frame")
}

func encodeAck(sequence uint64) []byte {
	return binary.LittleEndian.AppendUint64(nil, sequence)
}

func readAck(r io.Reader) (uint64, error) {
	var data [ackBytes]byte
	if _, err := io.ReadFull(r, data[:]); err != nil {
		return 0, err
	}
	return binary.LittleEndian.Uint64(data[:]), nil
}
