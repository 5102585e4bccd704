package journal_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/journal"
)

const (
	kind         = journal.FirstKind
	segmentBytes = 4096
)

// openAndReplay opens the journal in a folder and returns it with the payloads of its records.
func openAndReplay(folder string) (*journal.Journal, []string, error) {
	disk, err := journal.NewDisk(folder)
	if err != nil {
		return nil, nil, err
	}
	var found []string
	j, err := journal.Open(disk, journal.Settings{SegmentBytes: segmentBytes, Replay: func(r journal.Record) (uint64, error) {
		found = append(found, string(r.Payload))
		return uint64(len(found)), nil
	}})
	return j, found, err
}

func appendAndSync(t *testing.T, j *journal.Journal, payloads ...string) {
	t.Helper()
	for i, p := range payloads {
		require.NoError(t, j.Append(kind, uint64(i+1), []byte(p)))
	}
	require.NoError(t, j.Sync())
}

// writeTwoBatches writes two synced batches. It returns the path of the segment and the offsets of the first payload
// of each batch.
func writeTwoBatches(t *testing.T, folder string) (path string, first, second int64) {
	t.Helper()
	j, _, err := openAndReplay(folder)
	require.NoError(t, err)
	defer j.Close()
	appendAndSync(t, j, "one", "two")
	path = filepath.Join(folder, "journal-0000000000000001")
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	first = int64(bytes.Index(data, []byte("one")))
	appendAndSync(t, j, "three", "four")
	data, err = os.ReadFile(path)
	require.NoError(t, err)
	return path, first, int64(bytes.Index(data, []byte("three")))
}

func rewriteFile(t *testing.T, path string, change func(data []byte) []byte) {
	t.Helper()
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, change(data), 0o600))
}

func Example() {
	folder, _ := os.MkdirTemp("", "journal")
	defer os.RemoveAll(folder)
	disk, _ := journal.NewDisk(folder)
	show := func(r journal.Record) (uint64, error) {
		fmt.Println(string(r.Payload))
		return 0, nil
	}
	j, _ := journal.Open(disk, journal.Settings{Replay: show})
	_ = j.Append(journal.FirstKind, 1, []byte("deposit of 20"))
	_ = j.Sync()
	j.Close()
	j, err := journal.Open(disk, journal.Settings{Replay: show})
	fmt.Println(err)
	j.Close()
	// Output:
	// deposit of 20
	// <nil>
}

func TestRecordsSurviveSegments(t *testing.T) {
	folder := t.TempDir()
	j, _, err := openAndReplay(folder)
	require.NoError(t, err)
	var want []string
	for i := range 400 {
		want = append(want, fmt.Sprint("record ", i))
		require.NoError(t, j.Append(kind, uint64(i+1), []byte(want[i])))
		require.NoError(t, j.Sync())
		if j.IsFull() {
			require.NoError(t, j.Rotate())
		}
	}
	j.Close()
	j, found, err := openAndReplay(folder)
	require.NoError(t, err)
	require.Equal(t, want, found)
	require.NoError(t, j.Drop(300))
	j.Close()
	_, found, err = openAndReplay(folder)
	require.NoError(t, err)
	require.Less(t, len(found), 200)
	require.Equal(t, want[len(want)-len(found):], found)
}

// A crash during a write leaves an incomplete record at the end: Open must discard it, keep the records before it
// and accept new ones after it.
func TestTornTailIsDiscarded(t *testing.T) {
	for name, change := range map[string]func(data []byte, at int64) []byte{
		"file ends in the record": func(data []byte, at int64) []byte { return data[:at+2] },
		"nothing was written":     func(data []byte, at int64) []byte { clear(data[at-24:]); return data },
		"one sector was written": func(data []byte, _ int64) []byte {
			clear(data[512:])
			return data
		},
	} {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			j, _, err := openAndReplay(folder)
			require.NoError(t, err)
			appendAndSync(t, j, "one", "two")
			require.NoError(t, j.Append(kind, 3, bytes.Repeat([]byte("x"), 1500)))
			require.NoError(t, j.Sync())
			j.Close()
			path := filepath.Join(folder, "journal-0000000000000001")
			rewriteFile(t, path, func(data []byte) []byte {
				return change(data, int64(bytes.Index(data, []byte("xxx"))))
			})
			j, found, err := openAndReplay(folder)
			require.NoError(t, err)
			require.Equal(t, []string{"one", "two"}, found)
			appendAndSync(t, j, "after")
			j.Close()
			_, found, err = openAndReplay(folder)
			require.NoError(t, err)
			require.Equal(t, []string{"one", "two", "after"}, found)
		})
	}
}

// Damage to synced records must not pass for an incomplete write, since Open would then discard them silently.
func TestCorruptionIsRefusedWithFileAndOffset(t *testing.T) {
	for name, change := range map[string]func(data []byte, first, second int64) ([]byte, int64){
		"in the middle": func(data []byte, first, _ int64) ([]byte, int64) {
			data[first]++
			return data, first - 24
		},
		"a synced batch reads as zeros before a later one": func(data []byte, first, second int64) ([]byte, int64) {
			clear(data[first-24 : second-24])
			return data, first - 24
		},
		"in the last record": func(data []byte, _, _ int64) ([]byte, int64) {
			at := int64(bytes.Index(data, []byte("four")))
			data[at]++
			return data, at - 24
		},
		"in the length of the last record": func(data []byte, _, _ int64) ([]byte, int64) {
			at := int64(bytes.Index(data, []byte("four"))) - 24
			data[at+2] = 0xff
			return data, at
		},
	} {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			path, first, second := writeTwoBatches(t, folder)
			var offset int64
			rewriteFile(t, path, func(data []byte) []byte {
				data, offset = change(data, first, second)
				return data
			})
			_, _, err := openAndReplay(folder)
			var corrupt *journal.CorruptError
			require.ErrorAs(t, err, &corrupt)
			require.Equal(t, "journal-0000000000000001", corrupt.File)
			require.Equal(t, offset, corrupt.Offset)
		})
	}
}

// When the disk loses the last synced record, only a sync marker after it shows that it was synced. Without the
// marker, the loss looks like an incomplete write and is not reported.
func TestSyncMarkerExposesLostSyncedRecords(t *testing.T) {
	isRefused := func(withMarker bool) bool {
		folder := t.TempDir()
		j, _, err := openAndReplay(folder)
		require.NoError(t, err)
		appendAndSync(t, j, "one")
		if withMarker {
			require.NoError(t, j.WriteSyncMarker())
		}
		j.Close()
		rewriteFile(t, filepath.Join(folder, "journal-0000000000000001"), func(data []byte) []byte {
			at := bytes.Index(data, []byte("one"))
			clear(data[at-24 : at+8])
			return data
		})
		_, _, err = openAndReplay(folder)
		return err != nil
	}
	require.True(t, isRefused(true))
	require.False(t, isRefused(false))
}

// Guards against a journal that cannot be opened after a loss of power which undoes some of the deletions of segments. Each
// subset of them may come back.
func TestAnySubsetOfDeletionsMayBeUndone(t *testing.T) {
	const dropped = 4
	for subset := range 1 << dropped {
		t.Run(fmt.Sprintf("%04b", subset), func(t *testing.T) {
			folder := t.TempDir()
			j, _, err := openAndReplay(folder)
			require.NoError(t, err)
			contents := map[string][]byte{}
			for i := range uint64(dropped) {
				require.NoError(t, j.Append(kind, i+1, []byte("old")))
				require.NoError(t, j.Rotate())
				path := filepath.Join(folder, fmt.Sprintf("journal-%016x", i+1))
				contents[path], err = os.ReadFile(path)
				require.NoError(t, err)
			}
			require.NoError(t, j.Append(kind, dropped+1, []byte("kept")))
			require.NoError(t, j.Rotate())
			require.NoError(t, j.Append(kind, dropped+2, []byte("kept, too")))
			require.NoError(t, j.Sync())
			require.NoError(t, j.Drop(dropped))
			j.Close()
			undone := 0
			for path, content := range contents {
				require.NoFileExists(t, path)
				var number int
				_, err := fmt.Sscanf(filepath.Base(path), "journal-%x", &number)
				require.NoError(t, err)
				if subset&(1<<(number-1)) != 0 {
					undone++
					require.NoError(t, os.WriteFile(path, content, 0o600))
				}
			}
			for range 2 {
				j, found, err := openAndReplay(folder)
				require.NoError(t, err)
				j.Close()
				require.LessOrEqual(t, len(found), undone+2)
				require.Equal(t, []string{"kept", "kept, too"}, found[len(found)-2:])
			}
		})
	}
}

func TestMissingSegmentIsRefused(t *testing.T) {
	folder := t.TempDir()
	j, _, err := openAndReplay(folder)
	require.NoError(t, err)
	for range 2 {
		appendAndSync(t, j, "x")
		require.NoError(t, j.Rotate())
	}
	j.Close()
	require.NoError(t, os.Remove(filepath.Join(folder, "journal-0000000000000002")))
	_, _, err = openAndReplay(folder)
	var corrupt *journal.CorruptError
	require.ErrorAs(t, err, &corrupt)
}

func TestUnknownVersionIsRefused(t *testing.T) {
	folder := t.TempDir()
	path, _, _ := writeTwoBatches(t, folder)
	rewriteFile(t, path, func(data []byte) []byte { data[8] = 9; return data })
	_, _, err := openAndReplay(folder)
	var version *journal.VersionError
	require.ErrorAs(t, err, &version)
	require.EqualError(t, version, "journal-0000000000000001 has format version 9, this program knows version 1")
}

func TestFolderIsLocked(t *testing.T) {
	folder := t.TempDir()
	unlock, err := journal.Lock(folder)
	require.NoError(t, err)
	_, err = journal.Lock(folder)
	require.ErrorContains(t, err, "in use")
	unlock()
	unlock, err = journal.Lock(folder)
	require.NoError(t, err)
	unlock()
}

// A crash during a sync can lose any of the sectors being written. The test reverts random sectors of the file to
// their content before the last batch; the records that were synced before it must still be replayed.
func TestLostSectorsKeepSyncedRecords(t *testing.T) {
	for seed := uint64(1); seed <= 200; seed++ {
		random := rand.New(rand.NewPCG(seed, 0))
		folder := t.TempDir()
		path, _, _ := writeTwoBatches(t, folder)
		before, err := os.ReadFile(path)
		require.NoError(t, err)
		j, _, err := openAndReplay(folder)
		require.NoError(t, err)
		for i := range 6 {
			require.NoError(t, j.Append(kind, uint64(i+5), bytes.Repeat([]byte{'x'}, random.IntN(700))))
		}
		require.NoError(t, j.Sync())
		j.Close()
		rewriteFile(t, path, func(data []byte) []byte {
			for at := 0; at < len(before); at += 512 {
				if random.IntN(2) == 0 {
					copy(data[at:at+512], before[at:at+512])
				}
			}
			return data
		})
		_, found, err := openAndReplay(folder)
		require.NoError(t, err, "seed %d", seed)
		require.GreaterOrEqual(t, len(found), 4)
		require.Equal(t, []string{"one", "two", "three", "four"}, found[:4])
	}
}

func TestFailingDiskIsReported(t *testing.T) {
	disk, err := journal.NewDisk(t.TempDir())
	require.NoError(t, err)
	full := errors.New("no space left on device")
	underlying := disk.Open
	disk.Open = func(name string) (*journal.File, error) {
		f, err := underlying(name)
		if err == nil {
			f.WriteAt = func([]byte, int64) (int, error) { return 0, full }
		}
		return f, err
	}
	_, err = journal.Open(disk, journal.Settings{})
	require.ErrorIs(t, err, full)
}

func FuzzOpen(f *testing.F) {
	folder := f.TempDir()
	j, _, err := openAndReplay(folder)
	require.NoError(f, err)
	require.NoError(f, j.Append(kind, 1, []byte("one")))
	require.NoError(f, j.Append(kind, 2, bytes.Repeat([]byte("x"), 900)))
	require.NoError(f, j.Sync())
	require.NoError(f, j.WriteSyncMarker())
	j.Close()
	seed, err := os.ReadFile(filepath.Join(folder, "journal-0000000000000001"))
	require.NoError(f, err)
	f.Add(seed)
	f.Add(seed[:1000])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		folder := t.TempDir()
		require.NoError(t, os.WriteFile(filepath.Join(folder, "journal-0000000000000001"), data, 0o600))
		j, found, err := openAndReplay(folder)
		if err != nil {
			return
		}
		require.NoError(t, j.Append(kind, 9, []byte("after")))
		require.NoError(t, j.Sync())
		j.Close()
		_, again, err := openAndReplay(folder)
		require.NoError(t, err)
		require.Equal(t, append(found, "after"), again)
	})
}
