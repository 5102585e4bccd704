// A segment is a sealed, immutable file of values sorted by key:
//
//	magic | values | index blocks | filter | first key of each block | footer
//
// An index block holds the entries of up to blockEntries keys and a checksum. An entry holds the key, offset,
// length, checksum and time of a value. Only the filter and the first keys stay in memory. All numbers are
// big-endian. The last byte of the magic is the version of the format.

package claim

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"io"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

const (
	segmentMagic = "GHSEGMT\x01"
	blockEntries = 64
	entrySize    = KeySize + 8 + 4 + 4 + 8
	checksumSize = 4
	footerSize   = 8 * 8
)

var (
	// ErrUnknownFormat means that a segment was written in another version of the format.
	ErrUnknownFormat = eris.New("unknown segment format")
	// ErrCorrupt means that the checksums or lengths of a segment do not match its content.
	ErrCorrupt = eris.New("segment is corrupt")
)

type (
	// segment reads one sealed file.
	segment struct {
		name      string
		file      io.ReaderAt
		closer    func() error
		length    int64
		footer    footer
		filter    filter
		firstKeys []Key
	}

	footer struct {
		indexOffset  uint64
		filterOffset uint64
		count        uint64
		newestMs     uint64
		// tailChecksum covers the filter and the first keys, contentChecksum everything before the footer.
		tailChecksum    uint64
		contentChecksum uint64
	}

	// entry locates one value in an index block. timeMs is the log time at which it was stored.
	entry struct {
		key      Key
		offset   uint64
		length   uint32
		checksum uint32
		timeMs   uint64
	}
)

// encodeSegment returns the encoded segment of the values and its footer.
func encodeSegment(values map[Key]value) ([]byte, footer) {
	keys := make([]Key, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b Key) int { return bytes.Compare(a[:], b[:]) })
	file := []byte(segmentMagic)
	entries := make([]entry, 0, len(keys))
	var f footer
	for _, key := range keys {
		v := values[key]
		entries = append(entries, entry{
			key: key, offset: uint64(len(file)), length: uint32(len(v.data)),
			checksum: crc32.ChecksumIEEE(v.data), timeMs: uint64(v.timeMs),
		})
		f.newestMs = max(f.newestMs, uint64(v.timeMs))
		file = append(file, v.data...)
	}
	f.indexOffset, f.count = uint64(len(file)), uint64(len(keys))
	file = appendIndex(file, entries)
	f.filterOffset = uint64(len(file))
	file = appendTail(file, keys)
	f.tailChecksum = xxhash.Sum64(file[f.filterOffset:])
	f.contentChecksum = xxhash.Sum64(file)
	return appendFooter(file, f), f
}

func appendIndex(file []byte, entries []entry) []byte {
	for block := range slices.Chunk(entries, blockEntries) {
		start := len(file)
		for _, e := range block {
			file = append(file, e.key[:]...)
			file = binary.BigEndian.AppendUint64(file, e.offset)
			file = binary.BigEndian.AppendUint32(file, e.length)
			file = binary.BigEndian.AppendUint32(file, e.checksum)
			file = binary.BigEndian.AppendUint64(file, e.timeMs)
		}
		file = binary.BigEndian.AppendUint32(file, crc32.ChecksumIEEE(file[start:]))
	}
	return file
}

// appendTail appends the part that stays in memory once the segment is open: the filter and the first keys.
func appendTail(file []byte, keys []Key) []byte {
	keyFilter := newFilter(len(keys))
	for _, key := range keys {
		keyFilter.add(key)
	}
	for _, word := range keyFilter {
		file = binary.BigEndian.AppendUint64(file, word)
	}
	for n := 0; n < len(keys); n += blockEntries {
		file = append(file, keys[n][:]...)
	}
	return file
}

func appendFooter(file []byte, f footer) []byte {
	start := len(file)
	for _, number := range []uint64{
		f.indexOffset, f.filterOffset, f.count, f.newestMs, f.tailChecksum, f.contentChecksum,
	} {
		file = binary.BigEndian.AppendUint64(file, number)
	}
	file = binary.BigEndian.AppendUint64(file, xxhash.Sum64(file[start:]))
	return append(file, segmentMagic...)
}

// openSegment reads the footer, the filter and the first keys of a segment.
func openSegment(name string, file io.ReaderAt, length int64) (*segment, error) {
	s := &segment{name: name, file: file, length: length}
	if length < int64(len(segmentMagic)+footerSize) {
		return nil, eris.Wrapf(ErrCorrupt, "%s: %d bytes are too short for a segment", name, length)
	}
	encoded := make([]byte, footerSize)
	if _, err := file.ReadAt(encoded, length-footerSize); err != nil {
		return nil, eris.Wrap(err, name)
	}
	if err := s.decodeFooter(encoded); err != nil {
		return nil, err
	}
	return s, s.readTail()
}

func (s *segment) decodeFooter(encoded []byte) error {
	magic := string(encoded[footerSize-8:])
	if magic[:7] != segmentMagic[:7] {
		return eris.Wrapf(ErrCorrupt, "%s: no footer", s.name)
	}
	if magic != segmentMagic {
		return eris.Wrapf(ErrUnknownFormat, "%s: version %d, expected %d", s.name, magic[7], segmentMagic[7])
	}
	numbersEnd := footerSize - 16
	if xxhash.Sum64(encoded[:numbersEnd]) != binary.BigEndian.Uint64(encoded[numbersEnd:]) {
		return eris.Wrapf(ErrCorrupt, "%s: wrong checksum of the footer", s.name)
	}
	numbers := []*uint64{
		&s.footer.indexOffset, &s.footer.filterOffset, &s.footer.count, &s.footer.newestMs,
		&s.footer.tailChecksum, &s.footer.contentChecksum,
	}
	for n, number := range numbers {
		*number = binary.BigEndian.Uint64(encoded[8*n:])
	}
	if s.footer.tailLength()+int64(s.footer.filterOffset)+footerSize != s.length || s.footer.indexLength() < 0 {
		return eris.Wrapf(ErrCorrupt, "%s: lengths and count in the footer disagree", s.name)
	}
	return nil
}

func (f footer) blocks() int64 { return (int64(f.count) + blockEntries - 1) / blockEntries }

// indexLength returns the length of the index blocks in bytes, or -1 if the offsets and the count disagree.
func (f footer) indexLength() int64 {
	length := int64(f.filterOffset) - int64(f.indexOffset)
	if length != int64(f.count)*entrySize+f.blocks()*checksumSize || f.count > 1<<32 {
		return -1
	}
	return length
}

func (f footer) filterWords() int64 { return int64(f.count)*filterBitsPerKey/wordBits + 1 }

// tailLength returns the length of the filter and the first keys in bytes, or -1 if the count is out of range.
func (f footer) tailLength() int64 {
	if f.count > 1<<32 {
		return -1
	}
	return f.filterWords()*8 + f.blocks()*KeySize
}

func (s *segment) readTail() error {
	tail := make([]byte, s.footer.tailLength())
	if _, err := s.file.ReadAt(tail, int64(s.footer.filterOffset)); err != nil {
		return eris.Wrap(err, s.name)
	}
	if xxhash.Sum64(tail) != s.footer.tailChecksum {
		return eris.Wrapf(ErrCorrupt, "%s: wrong checksum of the filter", s.name)
	}
	words := s.footer.filterWords()
	s.filter = make(filter, words)
	for n := range s.filter {
		s.filter[n] = binary.BigEndian.Uint64(tail[8*n:])
	}
	s.firstKeys = make([]Key, s.footer.blocks())
	for n := range s.firstKeys {
		copy(s.firstKeys[n][:], tail[words*8+int64(n)*KeySize:])
	}
	return nil
}

// get returns the value of a key and its time. ok is false if the segment does not contain the key.
func (s *segment) get(key Key) (found value, ok bool, err error) {
	if !s.filter.has(key) {
		return value{}, false, nil
	}
	block, exact := slices.BinarySearchFunc(s.firstKeys, key, compareKeys)
	if !exact {
		block--
	}
	if block < 0 {
		return value{}, false, nil
	}
	entries, err := s.block(block)
	if err != nil {
		return value{}, false, err
	}
	n, ok := slices.BinarySearchFunc(entries, key, func(e entry, key Key) int { return compareKeys(e.key, key) })
	if !ok {
		return value{}, false, nil
	}
	found, err = s.read(entries[n])
	return found, err == nil, err
}

func compareKeys(a, b Key) int { return bytes.Compare(a[:], b[:]) }

// block reads the entries of one index block.
func (s *segment) block(n int) ([]entry, error) {
	count := min(blockEntries, int(s.footer.count)-n*blockEntries)
	encoded := make([]byte, count*entrySize+checksumSize)
	offset := int64(s.footer.indexOffset) + int64(n)*(blockEntries*entrySize+checksumSize)
	if _, err := s.file.ReadAt(encoded, offset); err != nil {
		return nil, eris.Wrap(err, s.name)
	}
	body := encoded[:count*entrySize]
	if crc32.ChecksumIEEE(body) != binary.BigEndian.Uint32(encoded[len(body):]) {
		return nil, eris.Wrapf(ErrCorrupt, "%s: wrong checksum of index block %d", s.name, n)
	}
	entries := make([]entry, count)
	for i := range entries {
		e := body[i*entrySize:]
		copy(entries[i].key[:], e)
		entries[i].offset = binary.BigEndian.Uint64(e[KeySize:])
		entries[i].length = binary.BigEndian.Uint32(e[KeySize+8:])
		entries[i].checksum = binary.BigEndian.Uint32(e[KeySize+12:])
		entries[i].timeMs = binary.BigEndian.Uint64(e[KeySize+16:])
	}
	return entries, nil
}

func (s *segment) read(e entry) (value, error) {
	if e.offset+uint64(e.length) > s.footer.indexOffset {
		return value{}, eris.Wrapf(ErrCorrupt, "%s: entry points outside the values", s.name)
	}
	data := make([]byte, e.length)
	if _, err := s.file.ReadAt(data, int64(e.offset)); err != nil {
		return value{}, eris.Wrap(err, s.name)
	}
	if crc32.ChecksumIEEE(data) != e.checksum {
		return value{}, eris.Wrapf(ErrCorrupt, "%s: wrong checksum of a value", s.name)
	}
	return value{data: data, timeMs: int64(e.timeMs)}, nil
}

// scan calls fn with the values from the given key on, in key order, until fn returns false. It reports whether
// fn returned true for all of them.
func (s *segment) scan(from Key, fn func(Key, []byte) bool) (bool, error) {
	first, exact := slices.BinarySearchFunc(s.firstKeys, from, compareKeys)
	if !exact && first > 0 {
		first--
	}
	for n := first; n < len(s.firstKeys); n++ {
		entries, err := s.block(n)
		if err != nil {
			return false, err
		}
		for _, e := range entries {
			if compareKeys(e.key, from) < 0 {
				continue
			}
			found, err := s.read(e)
			if err != nil {
				return false, err
			}
			if !fn(e.key, found.data) {
				return false, nil
			}
		}
	}
	return true, nil
}

// memoryBytes returns the memory that the open segment uses for its filter and first keys.
func (s *segment) memoryBytes() int {
	return len(s.filter)*8 + len(s.firstKeys)*KeySize
}
