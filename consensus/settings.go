package consensus

// What a program that embeds a replica has to say: its identity, its peers, the state machine that the
// log drives, and the seams through which it reaches the network and the disk.

import (
	"crypto/rand"
	"encoding/binary"
	"time"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/journal"
	"guavahitch.example/guavahitch/wire"
)

const (
	// DefaultHeartbeat is the time between two heartbeats of a leader.
	DefaultHeartbeat = 60 * time.Millisecond
	// DefaultElectionTimeout is the shortest silence of a leader after which a replica stands for election.
	DefaultElectionTimeout = 500 * time.Millisecond
	// DefaultSlowSync is the longest sync that a replica puts up with before it steps aside.
	DefaultSlowSync = 3 * time.Second
	// DefaultSnapshotBytes is the size of the log at which a snapshot is made, unless the state is larger.
	DefaultSnapshotBytes = 8 << 20
	// MaxCommandBytes is the largest command.
	MaxCommandBytes = 4 << 20

	// minTimeoutHeartbeats is the least election timeout, in heartbeats.
	minTimeoutHeartbeats = 3
	// retainedShare is the part of the log, as a divisor, that stays behind a snapshot.
	retainedShare = 4
)

type (
	// Entry is one committed command.
	Entry struct {
		Index   uint64
		Term    uint64
		Command []byte
		// TimeMs is log time at the proposal, in milliseconds since 1970. It never decreases along the log, so
		// a state machine that takes it as its clock is deterministic, and it runs at most 1 % faster or
		// slower than the leader's monotonic clock, whatever wall clocks say.
		TimeMs int64
	}

	// Settings say which replica to open and what it works on.
	Settings struct {
		// ID names the replica; it stays the same when the disk is replaced.
		ID string
		// Address is where the other replicas reach this one; the log only passes it on.
		Address string
		// Members are the replicas that found the group, this one among them. They matter only while the
		// folder is empty; later members come from the log.
		Members []Member
		// Folder holds the replica's files.
		Folder string
		// Disk replaces the files of Folder, when set.
		Disk *journal.Disk
		// Apply changes the state machine by one committed command and returns its result.
		Apply func(Entry) []byte
		// Snapshot returns the whole state. Apply, Snapshot and Restore are called from one goroutine.
		Snapshot func() []byte
		// Restore replaces the whole state.
		Restore func([]byte) error
		// Send hands a message to the transport. It must not block, and may lose, repeat, delay or
		// reorder messages.
		Send func(to string, m *wire.ReplicaMessage)
		// Seed starts the generator of election timeouts; 0 draws one from the system.
		Seed uint64
		// Incarnation replaces the system's random numbers, from which the incarnation of a new folder is
		// drawn. No two folders may get the same one.
		Incarnation func() uint64
		// Heartbeat, ElectionTimeout, SlowSync and SnapshotBytes replace their defaults, when set.
		Heartbeat       time.Duration
		ElectionTimeout time.Duration
		SlowSync        time.Duration
		SnapshotBytes   int
		// IsAutoReplacing lets the leader replace a member that lost its disk on its own: the new incarnation
		// becomes a learner, catches up, is promoted, and the old one is removed.
		IsAutoReplacing bool
		// Voters is the number of voters that the leader keeps by itself, 0 for those that founded the group:
		// replicas that ask to join become voters while there are fewer, or in the place of silent ones.
		Voters int
		// IsJoining tells that a group exists, so that this replica founds none, whatever Members says.
		IsJoining bool
		// OnStatusChange, when set, is called from the control goroutine with each change of role or leader.
		OnStatusChange func(Status)
	}

	// Member is a replica of the group.
	Member struct {
		ID string
		// Incarnation is drawn at random when the replica's folder is made; 0 while it is not known.
		Incarnation uint64
		Address     string
		// IsVoter is false for a learner, which receives the log and does not vote.
		IsVoter bool
	}

	// Status is what a replica knows of itself and its group.
	Status struct {
		ID          string
		Incarnation uint64
		Term        uint64
		// Leader is the ID of the leader, empty while none is known.
		Leader string
		// Role is "blank", "learner", "follower", "candidate", "leader", "aside" or "closed".
		Role    string
		Members []Member
		// Joining are replicas with empty folders that asked to join.
		Joining []Member
		Commit  uint64
		Applied uint64
		// Fault tells why the replica stepped aside.
		Fault string
	}

	// NotLeaderError is in the chain of a refusal by a replica that does not lead.
	NotLeaderError struct {
		// Leader is the ID of the leader, empty while none is known.
		Leader string
	}
)

// Error names the leader.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "no leader is known"
	}
	return "the leader is " + e.Leader
}

func (s Settings) withDefaults() Settings {
	if s.Heartbeat == 0 {
		s.Heartbeat = DefaultHeartbeat
	}
	if s.ElectionTimeout == 0 {
		s.ElectionTimeout = DefaultElectionTimeout
	}
	if s.SlowSync == 0 {
		s.SlowSync = DefaultSlowSync
	}
	if s.SnapshotBytes == 0 {
		s.SnapshotBytes = DefaultSnapshotBytes
	}
	if s.Incarnation == nil {
		s.Incarnation = drawRandom
	}
	if s.Seed == 0 {
		s.Seed = drawRandom()
	}
	return s
}

func (s Settings) check() error {
	switch {
	case s.ID == "":
		return eris.New("consensus settings: ID is empty")
	case s.Folder == "" && s.Disk == nil:
		return eris.New("consensus settings: Folder is empty")
	case s.Apply == nil || s.Snapshot == nil || s.Restore == nil:
		return eris.New("consensus settings: Apply, Snapshot and Restore are needed")
	case s.Send == nil && len(s.Members) != 1:
		return eris.New("consensus settings: Send is needed unless the replica is alone")
	case s.ElectionTimeout < minTimeoutHeartbeats*s.Heartbeat:
		return eris.Errorf("consensus settings: ElectionTimeout %v is under %d heartbeats of %v",
			s.ElectionTimeout, minTimeoutHeartbeats, s.Heartbeat)
	}
	return nil
}

func (s Settings) core() CoreSettings {
	return CoreSettings{
		ID: s.ID, Address: s.Address, Founders: s.Members, Seed: s.Seed, Heartbeat: s.Heartbeat,
		ElectionTimeout: s.ElectionTimeout, RetainedBytes: s.SnapshotBytes / retainedShare,
		IsAutoReplacing: s.IsAutoReplacing, Voters: s.Voters, IsJoining: s.IsJoining,
	}
}

// drawRandom returns a random number other than 0.
func drawRandom() uint64 {
	for {
		var data [8]byte
		_, _ = rand.Read(data[:])
		if n := binary.LittleEndian.Uint64(data[:]); n != 0 {
			return n
		}
	}
}
