package journal

// The seam between the journal and the operating system: a folder and its files as function fields, which
// tests replace by files in memory that lose unsynced writes.

import (
	"os"
	"path/filepath"
	"sort"

	"github.com/rotisserie/eris"
)

const (
	fileMode   = 0o600
	folderMode = 0o700
)

type (
	// File is an open file.
	File struct {
		ReadAt   func(p []byte, offset int64) (int, error)
		WriteAt  func(p []byte, offset int64) (int, error)
		Truncate func(size int64) error
		// Size returns the length in bytes.
		Size func() (int64, error)
		// Sync returns when all that was written would survive a loss of power.
		Sync  func() error
		Close func() error
	}

	// Disk is a folder that holds files and no folders.
	Disk struct {
		// Open opens a file for reading and writing, and makes it when it is missing.
		Open func(name string) (*File, error)
		// List returns the names of all files, sorted.
		List   func() ([]string, error)
		Rename func(from, to string) error
		Remove func(name string) error
		// Sync makes the making, renaming and removing of files survive a loss of power.
		Sync func() error
	}
)

// NewDisk returns the folder at the path, and makes it when it is missing.
func NewDisk(path string) (*Disk, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, eris.Wrapf(err, "make folder %s", path)
	}
	at := func(name string) string { return filepath.Join(path, name) }
	return &Disk{
		Open:   func(name string) (*File, error) { return openFile(at(name)) },
		List:   func() ([]string, error) { return listFiles(path) },
		Rename: func(from, to string) error { return os.Rename(at(from), at(to)) },
		Remove: func(name string) error { return os.Remove(at(name)) },
		Sync:   func() error { return syncFolder(path) },
	}, nil
}

func openFile(path string) (*File, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	return &File{
		ReadAt: f.ReadAt, WriteAt: f.WriteAt, Truncate: f.Truncate, Close: f.Close,
		Size: func() (int64, error) {
			info, err := f.Stat()
			if err != nil {
				return 0, err
			}
			return info.Size(), nil
		},
		Sync: func() error { return syncData(f) },
	}, nil
}

func listFiles(path string) ([]string, error) {
	items, err := os.ReadDir(path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, i := range items {
		if !i.IsDir() {
			names = append(names, i.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

func syncFolder(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}
