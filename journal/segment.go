package journal

// One file of the journal. It is created under a temporary name and filled with zeros, so that later syncs need
// not update the length of the file. It is renamed when it is complete, so that a crash leaves no partial segment.

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	// Version is the version of the segment format that this package reads and writes.
	Version = 1

	segmentMagic       = "GUAVAJNL"
	segmentHeaderBytes = 24
	segmentPrefix      = "journal-"
	temporaryName      = "temporary-journal"
)

type (
	// CorruptError reports that synced data in a segment is damaged or missing.
	CorruptError struct {
		File string
		// Offset is the start of the first damaged record, in bytes from the start of the file.
		Offset int64
		Detail string
	}

	// VersionError reports that a segment has a format version that this program cannot read.
	VersionError struct {
		File    string
		Version uint32
	}

	segment struct {
		number uint64
		// maxPosition is the largest position of a record in the segment.
		maxPosition uint64
	}
)

// Error returns a message with the file, the offset and what is damaged.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is corrupt at offset %d: %s", e.File, e.Offset, e.Detail)
}

// Error returns a message with the file, its format version and the supported version.
func (e *VersionError) Error() string {
	return fmt.Sprintf("%s has format version %d, this program knows version %d", e.File, e.Version, Version)
}

func segmentName(number uint64) string {
	return fmt.Sprintf("%s%016x", segmentPrefix, number)
}

func segmentNumber(name string) (uint64, bool) {
	text, isSegment := strings.CutPrefix(name, segmentPrefix)
	if !isSegment {
		return 0, false
	}
	number, err := strconv.ParseUint(text, 16, 64)
	return number, err == nil
}

func encodeSegmentHeader(number uint64) []byte {
	data := []byte(segmentMagic)
	data = binary.LittleEndian.AppendUint32(data, Version)
	data = binary.LittleEndian.AppendUint64(data, number)
	return binary.LittleEndian.AppendUint32(data, crc32.Checksum(data, castagnoli))
}

func checkSegmentHeader(name string, number uint64, data []byte) error {
	if len(data) < segmentHeaderBytes || string(data[:8]) != segmentMagic {
		return &CorruptError{File: name, Detail: "not a journal segment"}
	}
	if version := binary.LittleEndian.Uint32(data[8:]); version != Version {
		return &VersionError{File: name, Version: version}
	}
	if string(data[:segmentHeaderBytes]) != string(encodeSegmentHeader(number)) {
		return &CorruptError{File: name, Detail: "damaged header"}
	}
	return nil
}

// createSegment creates an empty segment of the given size in bytes and returns it open.
func createSegment(disk *Disk, number uint64, size int) (*File, error) {
	f, err := disk.Open(temporaryName)
	if err != nil {
		return nil, eris.Wrap(err, "create journal segment")
	}
	data := make([]byte, size)
	copy(data, encodeSegmentHeader(number))
	if err := writeAndSync(f, data); err != nil {
		_ = f.Close()
		return nil, eris.Wrap(err, "fill journal segment")
	}
	if err := disk.Rename(temporaryName, segmentName(number)); err != nil {
		_ = f.Close()
		return nil, eris.Wrap(err, "rename journal segment")
	}
	if err := disk.Sync(); err != nil {
		_ = f.Close()
		return nil, eris.Wrap(err, "sync folder after creating a journal segment")
	}
	return f, nil
}

func writeAndSync(f *File, data []byte) error {
	if err := f.Truncate(0); err != nil {
		return err
	}
	if _, err := f.WriteAt(data, 0); err != nil {
		return err
	}
	return f.Sync()
}

func readAll(f *File) ([]byte, error) {
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	data := make([]byte, size)
	if _, err := f.ReadAt(data, 0); err != nil && size > 0 {
		return nil, err
	}
	return data, nil
}

// IsSegment reports whether name is the file name of a journal segment.
func IsSegment(name string) bool {
	_, isSegment := segmentNumber(name)
	return isSegment
}
