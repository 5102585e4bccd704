// The files of a store. Each file is written under a temporary name, synced and then renamed, so a file with
// the name of a segment is always complete. Without a directory the same bytes stay in memory.

package claim

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

const (
	segmentSuffix   = ".segment"
	temporarySuffix = ".part"
	fileMode        = 0o600
	directoryMode   = 0o700
	// MaxPartBytes limits the part of a segment that one read for a peer returns.
	MaxPartBytes = 1 << 20
)

// files stores segments in a directory, or in memory if the directory is empty.
type files struct {
	directory string
	mutex     *sync.Mutex
	memory    map[string][]byte
}

func newFiles(directory string) (files, error) {
	f := files{directory: directory, mutex: &sync.Mutex{}, memory: make(map[string][]byte)}
	if directory == "" {
		return f, nil
	}
	return f, eris.Wrapf(os.MkdirAll(directory, directoryMode), "create the folder %s", directory)
}

// segmentName returns the file name of a segment, made from its sequence number and checksum.
func segmentName(sequence, checksum uint64) string {
	return fmt.Sprintf("%010d-%016x%s", sequence, checksum, segmentSuffix)
}

// write encodes a batch, saves it as a segment and opens the segment.
func (f files) write(b *batch) (*segment, error) {
	encoded, end := encodeSegment(b.values)
	name := segmentName(b.sequence, end.contentChecksum)
	if err := f.save(name, encoded); err != nil {
		return nil, err
	}
	return f.open(name)
}

func (f files) save(name string, encoded []byte) error {
	if f.directory == "" {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.memory[name] = encoded
		return nil
	}
	temporary := filepath.Join(f.directory, name+temporarySuffix)
	if err := writeSynced(temporary, encoded); err != nil {
		return eris.Wrapf(err, "write %s", temporary)
	}
	if err := os.Rename(temporary, filepath.Join(f.directory, name)); err != nil {
		return eris.Wrapf(err, "rename %s", temporary)
	}
	return f.syncDirectory()
}

func writeSynced(path string, encoded []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return err
	}
	defer file.Close()
	if _, err := file.Write(encoded); err != nil {
		return err
	}
	return file.Sync()
}

// syncDirectory makes renames in the directory durable.
func (f files) syncDirectory() error {
	directory, err := os.Open(f.directory)
	if err != nil {
		return eris.Wrapf(err, "open %s", f.directory)
	}
	defer directory.Close()
	return eris.Wrapf(directory.Sync(), "sync %s", f.directory)
}

func (f files) open(name string) (*segment, error) {
	if f.directory == "" {
		f.mutex.Lock()
		encoded, ok := f.memory[name]
		f.mutex.Unlock()
		if !ok {
			return nil, eris.Wrapf(os.ErrNotExist, "open %s", name)
		}
		return openSegment(name, bytes.NewReader(encoded), int64(len(encoded)))
	}
	file, err := os.Open(filepath.Join(f.directory, name))
	if err != nil {
		return nil, eris.Wrapf(err, "open %s", name)
	}
	s, err := f.openFile(name, file)
	if err != nil {
		file.Close()
	}
	return s, err
}

func (f files) openFile(name string, file *os.File) (*segment, error) {
	info, err := file.Stat()
	if err != nil {
		return nil, eris.Wrapf(err, "open %s", name)
	}
	s, err := openSegment(name, file, info.Size())
	if err == nil {
		s.closer = file.Close
	}
	return s, err
}

func (f files) close(s *segment) {
	if s.closer != nil {
		s.closer()
	}
}

func (f files) remove(name string) {
	if f.directory == "" {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		delete(f.memory, name)
		return
	}
	os.Remove(filepath.Join(f.directory, name))
}

// removeAllExcept removes every file of the store except the named segments. It leaves files of other kinds
// alone.
func (f files) removeAllExcept(names map[string]bool) error {
	if f.directory == "" {
		return nil
	}
	found, err := os.ReadDir(f.directory)
	if err != nil {
		return eris.Wrapf(err, "read the folder %s", f.directory)
	}
	for _, file := range found {
		isStoreFile := strings.HasSuffix(file.Name(), segmentSuffix) || strings.HasSuffix(file.Name(), temporarySuffix)
		if isStoreFile && !names[file.Name()] {
			f.remove(file.Name())
		}
	}
	return nil
}

// part returns up to MaxPartBytes of a segment from the offset on. It returns nothing at the end of the
// segment.
func (f files) part(name string, offset int64) ([]byte, error) {
	if filepath.Base(name) != name || !strings.HasSuffix(name, segmentSuffix) || offset < 0 {
		return nil, eris.Errorf("no segment has the name %q", name)
	}
	s, err := f.open(name)
	if err != nil {
		return nil, err
	}
	defer f.close(s)
	if offset >= s.length {
		return nil, nil
	}
	part := make([]byte, min(MaxPartBytes, s.length-offset))
	_, err = s.file.ReadAt(part, offset)
	return part, eris.Wrapf(err, "read %s", name)
}

// VerifySegment checks a full encoded segment and returns the first fault, or nil. The name must match the
// content.
func VerifySegment(name string, encoded []byte) error {
	s, err := openSegment(name, bytes.NewReader(encoded), int64(len(encoded)))
	if err != nil {
		return err
	}
	checksum := xxhash.Sum64(encoded[:len(encoded)-footerSize])
	if checksum != s.footer.contentChecksum || !strings.HasSuffix(name, fmt.Sprintf("-%016x%s", checksum, segmentSuffix)) {
		return eris.Wrapf(ErrCorrupt, "%s: wrong checksum of the content", name)
	}
	_, err = s.scan(Key{}, func(Key, []byte) bool { return true })
	return err
}
