package journal

// The journal's access to the file system: one folder and its files, as structs of functions. Tests replace them
// with in-memory files that lose unsynced writes.

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
		// Size returns the length of the file, in bytes.
		Size func() (int64, error)
		// Sync returns when all written data would survive a loss of power.
		Sync  func() error
		Close func() error
	}

	// Disk gives access to one folder. It does not support subfolders.
	Disk struct {
		// Open opens a file for reading and writing, and creates it if it does not exist.
		Open func(name string) (*File, error)
		// List returns the names of all files, sorted.
		List   func() ([]string, error)
		Rename func(from, to string) error
		Remove func(name string) error
		// Sync returns when all creations, renames and removals of files would survive a loss of power.
		Sync func() error
	}
)

// NewDisk returns a Disk for the folder at path, and creates the folder if it does not exist.
func NewDisk(path string) (*Disk, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, eris.Wrapf(err, "create folder %s", path)
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
