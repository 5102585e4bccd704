package consensus

// The identity of a replica's folder: a small JSON file with format, ID and incarnation. It is written once,
// after the journal was made, so that a folder with an identity has a journal.

import (
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/journal"
)

const (
	// FolderFormat is the version of the folder that this program reads and writes.
	FolderFormat = 1

	identityName  = "identity.json"
	identityDraft = "temporary-identity"
)

type (
	identityFile struct {
		Format      int
		ID          string
		Incarnation uint64
	}

	// FolderError tells why a folder cannot be used.
	FolderError struct {
		File   string
		Detail string
	}
)

// Error names the file and what is wrong with it.
func (e *FolderError) Error() string { return e.File + ": " + e.Detail }

// readIdentity returns the identity of the folder, and false for a folder without one.
func readIdentity(disk *journal.Disk) (identityFile, bool, error) {
	data, isThere, err := readFile(disk, identityName)
	if err != nil || !isThere {
		return identityFile{}, false, err
	}
	stored, err := decodeIdentity(data)
	return stored, true, err
}

func decodeIdentity(data []byte) (identityFile, error) {
	var stored identityFile
	if err := json.Unmarshal(data, &stored); err != nil {
		return stored, &FolderError{File: identityName, Detail: "is damaged: " + err.Error()}
	}
	if stored.Format != FolderFormat {
		return stored, &FolderError{File: identityName, Detail: fmt.Sprintf(
			"has folder format %d, this program knows format %d", stored.Format, FolderFormat)}
	}
	if stored.ID == "" || stored.Incarnation == 0 {
		return stored, &FolderError{File: identityName, Detail: "has no ID or no incarnation"}
	}
	return stored, nil
}

func writeIdentity(disk *journal.Disk, stored identityFile) error {
	data, err := json.Marshal(stored)
	if err != nil {
		return eris.Wrap(err, "encode identity")
	}
	return writeFile(disk, identityDraft, identityName, data)
}

// writeFile stores a whole file, so that after a crash it is there as a whole or not at all.
func writeFile(disk *journal.Disk, draft, name string, data []byte) error {
	f, err := disk.Open(draft)
	if err != nil {
		return eris.Wrapf(err, "make %s", draft)
	}
	defer f.Close()
	if err := f.Truncate(0); err != nil {
		return eris.Wrapf(err, "truncate %s", draft)
	}
	if _, err := f.WriteAt(data, 0); err != nil {
		return eris.Wrapf(err, "write %s", draft)
	}
	if err := f.Sync(); err != nil {
		return eris.Wrapf(err, "sync %s", draft)
	}
	return publish(disk, draft, name)
}

// publish gives a synced file its name.
func publish(disk *journal.Disk, draft, name string) error {
	if err := disk.Rename(draft, name); err != nil {
		return eris.Wrapf(err, "rename %s to %s", draft, name)
	}
	return eris.Wrap(disk.Sync(), "sync folder")
}

func readFile(disk *journal.Disk, name string) (data []byte, isThere bool, err error) {
	names, err := disk.List()
	if err != nil {
		return nil, false, eris.Wrap(err, "list folder")
	}
	for _, n := range names {
		isThere = isThere || n == name
	}
	if !isThere {
		return nil, false, nil
	}
	f, err := disk.Open(name)
	if err != nil {
		return nil, false, eris.Wrapf(err, "open %s", name)
	}
	defer f.Close()
	size, err := f.Size()
	if err != nil {
		return nil, false, eris.Wrapf(err, "read %s", name)
	}
	data = make([]byte, size)
	if _, err := f.ReadAt(data, 0); err != nil && size > 0 {
		return nil, false, eris.Wrapf(err, "read %s", name)
	}
	return data, true, nil
}
