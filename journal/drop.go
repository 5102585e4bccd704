package journal

// Deleted segments after a loss of power: each deletion may be undone, independently of the others, so that an older segment is
// there and its successor is not. The newest drop marker tells which segments are needed.

import (
	"encoding/binary"

	"github.com/rotisserie/eris"
)

const dropMarkerBytes = 8

func encodeDropMarker(firstNeeded uint64) []byte {
	return binary.LittleEndian.AppendUint64(nil, firstNeeded)
}

// completeDrop returns the numbers of the segments to replay, which are consecutive. If there is a gap, it deletes the segments
// that the newest drop marker excludes. A gap among the others is reported as a CorruptError.
func completeDrop(disk *Disk, numbers []uint64) ([]uint64, error) {
	if firstAfterGap(numbers) == 0 {
		return numbers, nil
	}
	firstNeeded, err := newestDropMarker(disk, numbers)
	if err != nil {
		return nil, err
	}
	for len(numbers) > 0 && numbers[0] < firstNeeded {
		if err := disk.Remove(segmentName(numbers[0])); err != nil {
			return nil, eris.Wrap(err, "remove journal segment")
		}
		numbers = numbers[1:]
	}
	if n := firstAfterGap(numbers); n != 0 {
		return nil, &CorruptError{File: segmentName(n), Detail: "the preceding segment is missing"}
	}
	return numbers, nil
}

// firstAfterGap returns the first number that does not follow the one before it, or 0 if all do.
func firstAfterGap(numbers []uint64) uint64 {
	for i, n := range numbers {
		if i > 0 && n != numbers[i-1]+1 {
			return n
		}
	}
	return 0
}

// newestDropMarker returns the number in the last drop marker of the newest segment that has one, or 0 if none has.
func newestDropMarker(disk *Disk, numbers []uint64) (uint64, error) {
	for i := len(numbers) - 1; i >= 0; i-- {
		firstNeeded, err := lastDropMarker(disk, segmentName(numbers[i]))
		if err != nil || firstNeeded > 0 {
			return firstNeeded, err
		}
	}
	return 0, nil
}

// lastDropMarker returns the number in the last drop marker of a segment, or 0 if it has none.
func lastDropMarker(disk *Disk, name string) (uint64, error) {
	f, err := disk.Open(name)
	if err != nil {
		return 0, eris.Wrapf(err, "open %s", name)
	}
	defer f.Close()
	data, err := readAll(f)
	if err != nil {
		return 0, eris.Wrapf(err, "read %s", name)
	}
	firstNeeded := uint64(0)
	for at := int64(segmentHeaderBytes); at < int64(len(data)); {
		h, payload, isWhole := decodeRecord(data[at:])
		if !isWhole {
			break
		}
		if h.kind == kindDropMarker && len(payload) == dropMarkerBytes {
			firstNeeded = binary.LittleEndian.Uint64(payload)
		}
		at += h.size()
	}
	return firstNeeded, nil
}
