package consensus_test

import (
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"

	"guavahitch.example/guavahitch/journal"
)

const sectorBytes = 512

var errPowerLost = errors.New("power lost")

type (
	// memoryDisk is a folder in memory that discards unsynced data when the power fails. live holds the current
	// files, durable those that were there at the last sync of the folder.
	memoryDisk struct {
		live, durable map[string]*memoryFile
		// names decides which changes of the folder survive a loss of power.
		names *rand.Rand
		// isDroppingSyncs makes the disk ignore every sync of a file after the first one and report success. A power failure
		// then discards all data that these syncs should have kept.
		isDroppingSyncs bool
		// isFailing makes the power fail at a sync, after syncsLeft successful ones.
		isFailing bool
		syncsLeft int
	}

	memoryFile struct {
		data, durable []byte
		pending       []span
		isSynced      bool
	}

	span struct{ from, to int }
)

func newMemoryDisk() *memoryDisk {
	return &memoryDisk{
		live: map[string]*memoryFile{}, durable: map[string]*memoryFile{}, names: rand.New(rand.NewPCG(1, 1)),
	}
}

func (d *memoryDisk) disk() *journal.Disk {
	return &journal.Disk{Open: d.open, List: d.list, Rename: d.rename, Remove: d.remove, Sync: d.sync}
}

func (d *memoryDisk) open(name string) (*journal.File, error) {
	f := d.live[name]
	if f == nil {
		f = &memoryFile{}
		d.live[name] = f
	}
	return &journal.File{
		ReadAt: func(p []byte, at int64) (int, error) { return copy(p, f.data[at:]), nil },
		WriteAt: func(p []byte, at int64) (int, error) {
			end := int(at) + len(p)
			if end > len(f.data) {
				f.data = append(f.data, make([]byte, end-len(f.data))...)
			}
			f.pending = append(f.pending, span{int(at), end})
			return copy(f.data[at:], p), nil
		},
		Truncate: func(size int64) error {
			f.data, f.pending = f.data[:size], nil
			f.durable = f.durable[:min(len(f.durable), int(size))]
			return nil
		},
		Size:  func() (int64, error) { return int64(len(f.data)), nil },
		Sync:  func() error { return d.syncFile(f) },
		Close: func() error { return nil },
	}, nil
}

// fails reports whether the power fails at this sync.
func (d *memoryDisk) fails() bool {
	if !d.isFailing {
		return false
	}
	d.syncsLeft--
	return d.syncsLeft < 0
}

func (d *memoryDisk) syncFile(f *memoryFile) error {
	if d.fails() {
		return errPowerLost
	}
	if d.isDroppingSyncs && f.isSynced {
		return nil
	}
	f.isSynced = true
	for _, s := range f.pending {
		f.store(s)
	}
	f.pending = nil
	return nil
}

func (f *memoryFile) store(s span) {
	if s.to > len(f.durable) {
		f.durable = append(f.durable, make([]byte, s.to-len(f.durable))...)
	}
	copy(f.durable[s.from:s.to], f.data[s.from:s.to])
}

// losePower discards unsynced data, except for randomly chosen sectors, which count as written before the failure. Each name that
// was created, renamed or removed since the last sync of the folder is kept or lost independently.
func (d *memoryDisk) losePower(random *rand.Rand) {
	d.isFailing, d.syncsLeft = false, 0
	live := map[string]*memoryFile{}
	for _, name := range d.allNames() {
		f := d.durable[name]
		if d.live[name] != f && d.names.IntN(2) == 0 && !d.isDroppingSyncs {
			f = d.live[name]
		}
		if f == nil {
			continue
		}
		for _, s := range f.pending {
			for at := s.from; at < s.to; {
				next := min((at/sectorBytes+1)*sectorBytes, s.to)
				if random.IntN(2) == 0 && !d.isDroppingSyncs {
					f.store(span{at, next})
				}
				at = next
			}
		}
		f.data, f.pending = append([]byte(nil), f.durable...), nil
		live[name] = f
	}
	d.live = live
}

// allNames returns the names of the files that are there or were there at the last sync of the folder, sorted.
func (d *memoryDisk) allNames() []string {
	all := map[string]*memoryFile{}
	maps.Copy(all, d.live)
	maps.Copy(all, d.durable)
	return slices.Sorted(maps.Keys(all))
}

func (d *memoryDisk) list() ([]string, error) {
	names := make([]string, 0, len(d.live))
	for name := range d.live {
		names = append(names, name)
	}
	sort.Strings(names)
	return names, nil
}

func (d *memoryDisk) rename(from, to string) error {
	d.live[to] = d.live[from]
	delete(d.live, from)
	return nil
}

func (d *memoryDisk) remove(name string) error {
	delete(d.live, name)
	return nil
}

func (d *memoryDisk) sync() error {
	if d.fails() {
		return errPowerLost
	}
	d.durable = map[string]*memoryFile{}
	for name, f := range d.live {
		d.durable[name] = f
	}
	return nil
}
