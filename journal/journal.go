package journal

// The journal itself: records are appended to the last segment, gathered in memory, and written and synced
// together. Closed segments are dropped once their owner no longer needs them.

import (
	"github.com/rotisserie/eris"
)

const (
	// DefaultSegmentBytes is the size of a segment.
	DefaultSegmentBytes = 4 << 20

	// Kinds of records that the journal writes for itself; those of its owner start at FirstKind.
	kindMark   = 0
	kindClosed = 1
	// FirstKind is the smallest kind of an owner's record.
	FirstKind = 16
)

type (
	// Record is one replayed record. Its payload is valid during the call only.
	Record struct {
		Kind    uint32
		Payload []byte
	}

	// Settings say how a journal is opened.
	Settings struct {
		// SegmentBytes is the size of a segment; 0 takes DefaultSegmentBytes.
		SegmentBytes int
		// Replay is called with each record, oldest first, and returns the record's mark: Drop removes
		// segments by it. An error ends the opening.
		Replay func(Record) (mark uint64, err error)
	}

	// Journal is an open journal. It is not safe for concurrent use.
	Journal struct {
		disk         *Disk
		segmentBytes int
		segments     []segment
		file         *File
		buffer       []byte
		// offset is the end of what was written, synced the end of what was synced.
		offset   int64
		synced   int64
		isMarked bool
	}
)

// Open replays the journal of a folder and makes it ready for appending. A tail torn by a crash is cut;
// the loss of anything that was synced is a CorruptError, an unknown format a VersionError.
func Open(disk *Disk, settings Settings) (*Journal, error) {
	j := &Journal{disk: disk, segmentBytes: settings.SegmentBytes, isMarked: true}
	if j.segmentBytes == 0 {
		j.segmentBytes = DefaultSegmentBytes
	}
	numbers, err := listSegments(disk)
	if err != nil {
		return nil, err
	}
	if len(numbers) == 0 {
		return j, j.create(1)
	}
	for i, n := range numbers {
		if i > 0 && n != numbers[i-1]+1 {
			return nil, &CorruptError{File: segmentName(n), Detail: "the segment before it is missing"}
		}
		if err := j.replay(n, i == len(numbers)-1, settings.Replay); err != nil {
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

func (j *Journal) create(number uint64) error {
	f, err := createSegment(j.disk, number, j.segmentBytes)
	if err != nil {
		return err
	}
	j.file = f
	j.offset, j.synced = segmentHeader, segmentHeader
	j.segments = append(j.segments, segment{number: number})
	return nil
}

func (j *Journal) replay(number uint64, isLast bool, replay func(Record) (uint64, error)) error {
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
	scan := scanSegment(data, replay)
	if scan.err != nil {
		return eris.Wrapf(scan.err, "replay %s", name)
	}
	j.segments = append(j.segments, segment{number: number, high: scan.high})
	if scan.isClosed {
		return j.afterClosed(number, isLast)
	}
	if detail := damage(data, scan.end, isLast); detail != "" {
		return &CorruptError{File: name, Offset: scan.end, Detail: detail}
	}
	return j.cut(data, scan.end)
}

// afterClosed goes on behind a closed segment: a crash may have come before the next one was made.
func (j *Journal) afterClosed(number uint64, isLast bool) error {
	if !isLast {
		return nil
	}
	_ = j.file.Close()
	return j.create(number + 1)
}

// cut wipes everything behind the last whole record.
func (j *Journal) cut(data []byte, end int64) error {
	j.offset, j.synced = end, end
	if isZero(data[end:]) {
		return j.file.Sync()
	}
	if _, err := j.file.WriteAt(make([]byte, int64(len(data))-end), end); err != nil {
		return eris.Wrap(err, "cut torn tail")
	}
	return eris.Wrap(j.file.Sync(), "cut torn tail")
}

type scan struct {
	end      int64
	high     uint64
	isClosed bool
	err      error
}

func scanSegment(data []byte, replay func(Record) (uint64, error)) scan {
	s := scan{end: segmentHeader}
	for s.end < int64(len(data)) {
		h, payload, isWhole := decodeRecord(data[s.end:])
		if !isWhole {
			return s
		}
		s.end += h.size()
		if h.kind == kindClosed {
			s.isClosed = true
			return s
		}
		if h.kind < FirstKind {
			continue
		}
		mark, err := replay(Record{Kind: h.kind, Payload: payload})
		if err != nil {
			s.err = err
			return s
		}
		s.high = max(s.high, mark)
	}
	return s
}

// damage says what is wrong behind the last whole record, and returns nothing for a clean or torn tail.
func damage(data []byte, end int64, isLast bool) string {
	if !isLast {
		return "the segment has no closing record"
	}
	if isZero(data[end:]) {
		return ""
	}
	for at := end + alignment; at+headerBytes <= int64(len(data)); at += alignment {
		h, _, isWhole := decodeRecord(data[at:])
		if isWhole && h.synced > end {
			return "a later record shows that this one was synced"
		}
	}
	if !isTorn(data, end) {
		return "the record is whole in length and wrong in content"
	}
	return ""
}

// Append adds a record to the next write. The mark is its order for Drop.
func (j *Journal) Append(kind uint32, mark uint64, payload []byte) error {
	if len(payload) > MaxPayloadBytes {
		return eris.Errorf("record of %d bytes is over the limit of %d bytes", len(payload), MaxPayloadBytes)
	}
	j.buffer = appendRecord(j.buffer, kind, j.synced, payload)
	last := &j.segments[len(j.segments)-1]
	last.high = max(last.high, mark)
	return nil
}

// Sync writes what was appended and returns when it would survive a loss of power. After an error the
// journal must not be used any more: what the disk holds is not known.
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
	j.isMarked = false
	return nil
}

// WriteSyncMarker notes, without a sync of its own, that all before it was synced. It is for idle moments.
func (j *Journal) WriteSyncMarker() error {
	if j.isMarked || len(j.buffer) > 0 {
		return nil
	}
	j.isMarked = true
	j.buffer = appendRecord(j.buffer, kindMark, j.synced, nil)
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

// IsFull reports whether the last segment has reached its size and Rotate is due.
func (j *Journal) IsFull() bool {
	return j.offset+int64(len(j.buffer)) >= int64(j.segmentBytes)
}

// Rotate syncs and closes the last segment and begins another.
func (j *Journal) Rotate() error {
	j.buffer = appendRecord(j.buffer, kindClosed, j.synced, nil)
	if err := j.Sync(); err != nil {
		return err
	}
	_ = j.file.Close()
	return j.create(j.segments[len(j.segments)-1].number + 1)
}

// Drop removes the oldest segments whose marks are all at most the given one. The last segment stays.
func (j *Journal) Drop(mark uint64) error {
	for len(j.segments) > 1 && j.segments[0].high <= mark {
		if err := j.disk.Remove(segmentName(j.segments[0].number)); err != nil {
			return eris.Wrap(err, "remove journal segment")
		}
		j.segments = j.segments[1:]
	}
	return nil
}

// Close closes the last segment's file without a sync.
func (j *Journal) Close() {
	if j.file != nil {
		_ = j.file.Close()
	}
}
