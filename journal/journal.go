package journal

// The journal itself: records are buffered in memory, then written to the last segment and synced together.
// The caller drops closed segments when it no longer needs their records.

import (
	"github.com/rotisserie/eris"
)

const (
	// DefaultSegmentBytes is the default size of a segment, in bytes.
	DefaultSegmentBytes = 4 << 20

	// Kinds below FirstKind are reserved for records that the journal itself writes. A sync marker carries only
	// the synced offset in its header; a segment end is the last record of a closed segment; a drop marker holds the number
	// of the first segment that is still needed.
	kindSyncMarker = 0
	kindSegmentEnd = 1
	kindDropMarker = 2
	// FirstKind is the smallest kind that callers of Append may use.
	FirstKind = 16
)

type (
	// Record is one replayed record. Its payload is valid only until the Replay call returns.
	Record struct {
		Kind    uint32
		Payload []byte
	}

	// Settings configure Open.
	Settings struct {
		// SegmentBytes is the size of a segment, in bytes; 0 selects DefaultSegmentBytes.
		SegmentBytes int
		// Replay is called with each record, oldest first. It returns the record's position, as
		// passed to Append, which Drop uses to choose segments. An error makes Open fail.
		Replay func(Record) (position uint64, err error)
	}

	// Journal is a journal open for appending. It is not safe for concurrent use.
	Journal struct {
		disk         *Disk
		segmentBytes int
		segments     []segment
		file         *File
		buffer       []byte
		// offset is the end of the written data in the last segment, synced the end of its synced data.
		offset int64
		synced int64
		// hasSyncMarker is set while no sync marker is due, because nothing was synced since Open or the last marker.
		hasSyncMarker bool
	}
)

// Open replays the journal in a folder and prepares it for appending. It creates the first segment if there is
// none. An incomplete write at the end, left by a crash, is discarded. Damage to synced data is reported as a
// CorruptError, an unknown format as a VersionError.
func Open(disk *Disk, settings Settings) (*Journal, error) {
	j := &Journal{disk: disk, segmentBytes: settings.SegmentBytes, hasSyncMarker: true}
	if j.segmentBytes == 0 {
		j.segmentBytes = DefaultSegmentBytes
	}
	numbers, err := listSegments(disk)
	if err != nil {
		return nil, err
	}
	if len(numbers) == 0 {
		return j, j.startSegment(1)
	}
	if numbers, err = completeDrop(disk, numbers); err != nil {
		return nil, err
	}
	for i, n := range numbers {
		if err := j.replaySegment(n, i == len(numbers)-1, settings.Replay); err != nil {
			j.Close()
			return nil, err
		}
	}
	return j, nil
}

func listSegments(disk *Disk) ([]uint64, error) {
	names, err := disk.List()
	if err != nil {
		return nil, eris.Wrap(err, "list journal segments")
	}
	var numbers []uint64
	for _, n := range names {
		if number, isSegment := segmentNumber(n); isSegment {
			numbers = append(numbers, number)
		}
	}
	return numbers, nil
}

func (j *Journal) startSegment(number uint64) error {
	f, err := createSegment(j.disk, number, j.segmentBytes)
	if err != nil {
		return err
	}
	j.file = f
	j.offset, j.synced = segmentHeaderBytes, segmentHeaderBytes
	j.segments = append(j.segments, segment{number: number})
	return nil
}

func (j *Journal) replaySegment(number uint64, isLast bool, replay func(Record) (uint64, error)) error {
	name := segmentName(number)
	f, err := j.disk.Open(name)
	if err != nil {
		return eris.Wrapf(err, "open %s", name)
	}
	if j.file != nil {
		_ = j.file.Close()
	}
	j.file = f
	data, err := readAll(f)
	if err != nil {
		return eris.Wrapf(err, "read %s", name)
	}
	if err := checkSegmentHeader(name, number, data); err != nil {
		return err
	}
	result := scanSegment(data, replay)
	if result.err != nil {
		return eris.Wrapf(result.err, "replay %s", name)
	}
	j.segments = append(j.segments, segment{number: number, maxPosition: result.maxPosition})
	if result.isClosed {
		return j.continueAfterClosed(number, isLast)
	}
	if detail := describeDamage(data, result.end, isLast); detail != "" {
		return &CorruptError{File: name, Offset: result.end, Detail: detail}
	}
	return j.zeroTail(data, result.end)
}

// continueAfterClosed starts the next segment when the last one is closed: the process may have crashed between
// closing it and creating its successor.
func (j *Journal) continueAfterClosed(number uint64, isLast bool) error {
	if !isLast {
		return nil
	}
	_ = j.file.Close()
	return j.startSegment(number + 1)
}

// zeroTail overwrites everything after the last complete record with zeros and syncs the file.
func (j *Journal) zeroTail(data []byte, end int64) error {
	j.offset, j.synced = end, end
	if isAllZero(data[end:]) {
		return j.file.Sync()
	}
	if _, err := j.file.WriteAt(make([]byte, int64(len(data))-end), end); err != nil {
		return eris.Wrap(err, "zero incomplete record at the end of the journal")
	}
	return eris.Wrap(j.file.Sync(), "sync journal after zeroing an incomplete record")
}

// scanResult describes a replayed segment; end is the offset after its last complete record.
type scanResult struct {
	end         int64
	maxPosition uint64
	isClosed    bool
	err         error
}

func scanSegment(data []byte, replay func(Record) (uint64, error)) scanResult {
	s := scanResult{end: segmentHeaderBytes}
	for s.end < int64(len(data)) {
		h, payload, isWhole := decodeRecord(data[s.end:])
		if !isWhole {
			return s
		}
		s.end += h.size()
		if h.kind == kindSegmentEnd {
			s.isClosed = true
			return s
		}
		if h.kind < FirstKind {
			continue
		}
		position, err := replay(Record{Kind: h.kind, Payload: payload})
		if err != nil {
			s.err = err
			return s
		}
		s.maxPosition = max(s.maxPosition, position)
	}
	return s
}

// describeDamage describes the corruption after the last complete record, which ends at end. It returns "" when
// the rest is unused or is an incomplete write that a crash explains.
func describeDamage(data []byte, end int64, isLast bool) string {
	if !isLast {
		return "the segment is not the last one and has no end record"
	}
	if isAllZero(data[end:]) {
		return ""
	}
	for at := end + alignment; at+headerBytes <= int64(len(data)); at += alignment {
		h, _, isWhole := decodeRecord(data[at:])
		if isWhole && h.synced > end {
			return "the record is damaged, and a later record shows that it was synced"
		}
	}
	if !isTornWrite(data, end) {
		return "the record has its full length and a wrong checksum"
	}
	return ""
}

// Append buffers a record for the next Sync. Drop compares the position to decide whether the record is still
// needed.
func (j *Journal) Append(kind uint32, position uint64, payload []byte) error {
	if len(payload) > MaxPayloadBytes {
		return eris.Errorf("record of %d bytes is over the limit of %d bytes", len(payload), MaxPayloadBytes)
	}
	j.buffer = appendRecord(j.buffer, kind, j.synced, payload)
	last := &j.segments[len(j.segments)-1]
	last.maxPosition = max(last.maxPosition, position)
	return nil
}

// Sync writes the appended records and returns when they would survive a loss of power. After an error the
// journal must not be used any more, since the state of the file on disk is unknown.
func (j *Journal) Sync() error {
	if len(j.buffer) > 0 {
		if err := j.flush(); err != nil {
			return err
		}
	}
	if j.synced == j.offset {
		return nil
	}
	if err := j.file.Sync(); err != nil {
		return eris.Wrap(err, "sync journal")
	}
	j.synced = j.offset
	j.hasSyncMarker = false
	return nil
}

// WriteSyncMarker appends a record stating that everything before it was synced, unless one is there already or
// records are waiting to be written. It does not sync. Callers use it while idle: without a later record, a synced
// record that the disk loses looks like an incomplete write, and Open would discard it silently.
func (j *Journal) WriteSyncMarker() error {
	if j.hasSyncMarker || len(j.buffer) > 0 {
		return nil
	}
	j.hasSyncMarker = true
	j.buffer = appendRecord(j.buffer, kindSyncMarker, j.synced, nil)
	return j.flush()
}

func (j *Journal) flush() error {
	if _, err := j.file.WriteAt(j.buffer, j.offset); err != nil {
		return eris.Wrap(err, "write journal")
	}
	j.offset += int64(len(j.buffer))
	if cap(j.buffer) > j.segmentBytes {
		j.buffer = nil
	}
	j.buffer = j.buffer[:0]
	return nil
}

// IsFull reports whether the last segment has reached its size, so that the caller should call Rotate.
func (j *Journal) IsFull() bool {
	return j.offset+int64(len(j.buffer)) >= int64(j.segmentBytes)
}

// Rotate syncs and closes the last segment and creates the next one.
func (j *Journal) Rotate() error {
	j.buffer = appendRecord(j.buffer, kindSegmentEnd, j.synced, nil)
	if err := j.Sync(); err != nil {
		return err
	}
	_ = j.file.Close()
	return j.startSegment(j.segments[len(j.segments)-1].number + 1)
}

// Drop deletes the oldest segments in which no record has a position above the given one. It stops at the first
// segment that has one, and never deletes the last segment. A loss of power may undo any of the deletions, so Drop first
// syncs a drop marker, by which Open knows which segments are not needed.
func (j *Journal) Drop(position uint64) error {
	dropped := 0
	for dropped < len(j.segments)-1 && j.segments[dropped].maxPosition <= position {
		dropped++
	}
	if dropped == 0 {
		return nil
	}
	j.buffer = appendRecord(j.buffer, kindDropMarker, j.synced, encodeDropMarker(j.segments[dropped].number))
	if err := j.Sync(); err != nil {
		return err
	}
	for _, s := range j.segments[:dropped] {
		if err := j.disk.Remove(segmentName(s.number)); err != nil {
			return eris.Wrap(err, "remove journal segment")
		}
	}
	j.segments = j.segments[dropped:]
	return nil
}

// Close closes the file of the last segment without syncing it; buffered records are lost.
func (j *Journal) Close() {
	if j.file != nil {
		_ = j.file.Close()
	}
}
