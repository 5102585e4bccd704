package expertmap

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/wire"
)

// Encode returns the map as a wire.ExpertMap. Equal maps have equal bytes.
func (m Map) Encode() []byte {
	message := m.message()
	message.Checksum = m.Checksum()
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		panic(eris.Wrap(err, "expert map: encode"))
	}
	return encoded
}

// Decode returns an encoded map. It returns an error when the bytes are truncated or not a wire.ExpertMap, when the
// checksum is wrong, or when a layer does not place every expert.
func Decode(encoded []byte) (Map, error) {
	var message wire.ExpertMap
	if err := proto.Unmarshal(encoded, &message); err != nil {
		return Map{}, eris.Wrap(err, "expert map: decode")
	}
	m := Map{
		group:   message.Group,
		version: message.Version,
		shape: Shape{
			Ranks: int(message.Ranks), Experts: int(message.Experts),
			Layers: int(message.Layers), Slots: int(message.Slots),
		},
	}
	if len(message.Placed)%2 != 0 || len(message.Weights)%2 != 0 {
		return Map{}, eris.New("expert map: a slot is cut in half")
	}
	m.placed = make([]int16, len(message.Placed)/2)
	for n := range m.placed {
		m.placed[n] = int16(binary.LittleEndian.Uint16(message.Placed[2*n:]))
	}
	m.weights = make([]uint16, len(message.Weights)/2)
	for n := range m.weights {
		m.weights[n] = binary.LittleEndian.Uint16(message.Weights[2*n:])
	}
	if err := m.validate(); err != nil {
		return Map{}, err
	}
	if sum := m.Checksum(); sum != message.Checksum {
		return Map{}, eris.Errorf("expert map: checksum is %016x, the map says %016x", sum, message.Checksum)
	}
	return m, nil
}

// Checksum returns the xxhash64 of the map's fields. Two maps with equal checksums are taken as equal.
func (m Map) Checksum() uint64 {
	message := m.message()
	hash := xxhash.New()
	header := binary.LittleEndian.AppendUint64(nil, message.Version)
	for _, field := range []uint32{message.Ranks, message.Experts, message.Layers, message.Slots, uint32(len(m.group))} {
		header = binary.LittleEndian.AppendUint32(header, field)
	}
	for _, part := range [][]byte{header, []byte(m.group), message.Placed, message.Weights} {
		_, _ = hash.Write(part)
	}
	return hash.Sum64()
}

// message returns the wire form without its checksum.
func (m Map) message() *wire.ExpertMap {
	message := &wire.ExpertMap{
		Group: m.group, Version: m.version,
		Ranks: uint32(m.shape.Ranks), Experts: uint32(m.shape.Experts),
		Layers: uint32(m.shape.Layers), Slots: uint32(m.shape.Slots),
		Placed:  make([]byte, 0, 2*len(m.placed)),
		Weights: make([]byte, 0, 2*len(m.weights)),
	}
	for n, e := range m.placed {
		message.Placed = binary.LittleEndian.AppendUint16(message.Placed, uint16(e))
		message.Weights = binary.LittleEndian.AppendUint16(message.Weights, m.weights[n])
	}
	return message
}
