// The files of a store: written whole under another name, synced, then renamed, so that a file with a
// segment's name is complete. Without a directory the same bytes stay in memory.

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
	// PartBytes is the largest part of a segment that is read for a peer at once.
	PartBytes = 1 << 20
)

// files keeps segments in a directory, or in memory when it is empty.
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

// segmentName names a segment by its number and content.
func segmentName(sequence, checksum uint64) string {
	return fmt.Sprintf("%010d-%016x%s", sequence, checksum, segmentSuffix)
}

// write encodes the batch, saves it and opens it.
func (f files) write(b *batch) (*segment, error) {
	encoded, end := encodeSegment(b.values)
	name := segmentName(b.sequence, end.whole)
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

// keepOnly removes every file but those of the given segments.
func (f files) keepOnly(names map[string]bool) error {
	if f.directory == "" {
		return nil
	}
	found, err := os.ReadDir(f.directory)
	if err != nil {
		return eris.Wrapf(err, "read the folder %s", f.directory)
	}
	for _, file := range found {
		isOurs := strings.HasSuffix(file.Name(), segmentSuffix) || strings.HasSuffix(file.Name(), temporarySuffix)
		if isOurs && !names[file.Name()] {
			f.remove(file.Name())
		}
	}
	return nil
}

// part returns up to PartBytes of a segment's file from an offset on, empty at its end.
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
	part := make([]byte, min(PartBytes, s.length-offset))
	_, err = s.file.ReadAt(part, offset)
	return part, eris.Wrapf(err, "read %s", name)
}

// VerifySegment reads a whole encoded segment and returns what is wrong with it, or nil. The name must be
// that of the content.
func VerifySegment(name string, encoded []byte) error {
	s, err := openSegment(name, bytes.NewReader(encoded), int64(len(encoded)))
	if err != nil {
		return err
	}
	whole := xxhash.Sum64(encoded[:len(encoded)-footerSize])
	if whole != s.footer.whole || !strings.HasSuffix(name, fmt.Sprintf("-%016x%s", whole, segmentSuffix)) {
		return eris.Wrapf(ErrCorrupt, "%s: content", name)
	}
	_, err = s.scan(Key{}, func(Key, []byte) bool { return true })
	return err
}
