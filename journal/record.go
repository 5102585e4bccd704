package journal

// The layout of a record: a header of 24 bytes and a payload, padded to a multiple of 8 bytes. The header holds
// the offset up to which the segment was known to be synced when the record was written. Damage before such an
// offset is a fault of the disk and not the result of a crash before a sync.

import (
	"encoding/binary"
	"hash/crc32"
)

const (
	headerBytes = 24
	alignment   = 8
	sectorBytes = 512
	// MaxPayloadBytes is the largest payload of one record, in bytes.
	MaxPayloadBytes = 16 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type header struct {
	// length is the size of the payload without padding, in bytes.
	length int
	kind   uint32
	// synced is the offset up to which the segment was known to be synced when the record was written.
	synced     int64
	payloadSum uint32
}

func (h header) size() int64 {
	return alignedSize(headerBytes + int64(h.length))
}

func alignedSize(size int64) int64 {
	return (size + alignment - 1) / alignment * alignment
}

func appendRecord(buffer []byte, kind uint32, synced int64, payload []byte) []byte {
	start := len(buffer)
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.LittleEndian.AppendUint32(buffer, kind)
	buffer = binary.LittleEndian.AppendUint64(buffer, uint64(synced))
	buffer = binary.LittleEndian.AppendUint32(buffer, crc32.Checksum(payload, castagnoli))
	buffer = binary.LittleEndian.AppendUint32(buffer, crc32.Checksum(buffer[start:], castagnoli))
	buffer = append(buffer, payload...)
	for (len(buffer)-start)%alignment != 0 {
		buffer = append(buffer, 0)
	}
	return buffer
}

// decodeHeader decodes the header at the start of data and reports whether it is complete and valid.
func decodeHeader(data []byte) (header, bool) {
	if len(data) < headerBytes {
		return header{}, false
	}
	sum := binary.LittleEndian.Uint32(data[20:])
	if crc32.Checksum(data[:20], castagnoli) != sum {
		return header{}, false
	}
	h := header{
		length:     int(binary.LittleEndian.Uint32(data)),
		kind:       binary.LittleEndian.Uint32(data[4:]),
		synced:     int64(binary.LittleEndian.Uint64(data[8:])),
		payloadSum: binary.LittleEndian.Uint32(data[16:]),
	}
	return h, h.length <= MaxPayloadBytes && h.synced >= 0
}

// decodeRecord decodes the record at the start of data and reports whether it is complete and both its checksums
// match.
func decodeRecord(data []byte) (header, []byte, bool) {
	h, isWhole := decodeHeader(data)
	if !isWhole || h.size() > int64(len(data)) {
		return h, nil, false
	}
	payload := data[headerBytes : headerBytes+h.length]
	return h, payload, crc32.Checksum(payload, castagnoli) == h.payloadSum
}

// isTornWrite reports whether a crash before a sync can explain the damaged record at the offset. In that case a
// sector that was never written reads as zeros, or the file ends before the record does.
func isTornWrite(data []byte, offset int64) bool {
	end := offset + headerBytes
	if h, isWhole := decodeHeader(data[offset:]); isWhole {
		end = offset + h.size()
	}
	if end > int64(len(data)) {
		return true
	}
	for at := offset; at < end; {
		next := min((at/sectorBytes+1)*sectorBytes, end)
		if isAllZero(data[at:next]) {
			return true
		}
		at = next
	}
	return false
}

func isAllZero(data []byte) bool {
	for _, b := range data {
		if b != 0 {
			return false
		}
	}
	return true
}
