package consensus

// The settings of a Node: its identity, its peers, the state machine that the log drives, and the functions
// through which it reaches the network and the disk. Member, Status and Entry are the types of its interface.

import (
	"crypto/rand"
	"encoding/binary"
	"time"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/journal"
	"guavahitch.example/guavahitch/wire"
)

const (
	// DefaultHeartbeat is the interval between two heartbeats of a leader.
	DefaultHeartbeat = 60 * time.Millisecond
	// DefaultElectionTimeout is the shortest time without contact from a leader after which a replica starts
	// an election.
	DefaultElectionTimeout = 500 * time.Millisecond
	// DefaultSyncTimeout is the longest time that a write and its sync may take before the replica steps aside.
	DefaultSyncTimeout = 3 * time.Second
	// DefaultSnapshotBytes is the size of the log in memory at which a snapshot is taken, in bytes. When the
	// last snapshot is larger, its size is the limit instead, up to maxLogBytes.
	DefaultSnapshotBytes = 8 << 20
	// MaxCommandBytes is the size of the largest command that Node.Propose takes, in bytes.
	MaxCommandBytes = 4 << 20

	// minTimeoutHeartbeats is the shortest valid election timeout, in heartbeat intervals.
	minTimeoutHeartbeats = 3
	// retainedDivisor sets the size of the log that is kept after a snapshot: Settings.SnapshotBytes divided
	// by it.
	retainedDivisor = 4
)

type (
	// Entry is one committed command.
	Entry struct {
		Index   uint64
		Term    uint64
		Command []byte
		// TimeMs is the log time of the proposal, in milliseconds since 1970. It never decreases along the log,
		// so a state machine that uses it as its clock is deterministic. It runs at most 1 % faster or slower
		// than the leader's monotonic clock, even when wall clocks are wrong or step.
		TimeMs int64
	}

	// Settings configure a replica that Open starts.
	Settings struct {
		// ID is the name of the replica. It stays the same when the disk is replaced.
		ID string
		// Address is the network address of this replica. The package does not use it; it passes it on in Member.
		Address string
		// Members are the initial members of the group, including this one. They are used to bootstrap the
		// group while the folder is empty, and as addressees of hello messages; the log holds the current members.
		Members []Member
		// Folder is the path of the folder for the replica's files.
		Folder string
		// Disk, when set, is used instead of the files in Folder.
		Disk *journal.Disk
		// Apply applies one committed command to the state machine and returns the result for the proposer.
		Apply func(Entry) []byte
		// Snapshot returns the whole state of the state machine, encoded. Apply, Snapshot and Restore are
		// called from one goroutine.
		Snapshot func() []byte
		// Restore replaces the whole state of the state machine with one that Snapshot returned.
		Restore func([]byte) error
		// Send passes a message for the named replica to the transport. It must not block. It may lose,
		// repeat, delay or reorder messages.
		Send func(to string, m *wire.ReplicaMessage)
		// Seed initialises the random generator of election timeouts; 0 takes a random seed from the system.
		Seed uint64
		// Incarnation, when set, returns the incarnation of a new folder. The default returns a random number
		// from the system. No two folders may get the same incarnation.
		Incarnation func() uint64
		// Heartbeat, ElectionTimeout, SyncTimeout and SnapshotBytes replace their defaults, when set.
		Heartbeat       time.Duration
		ElectionTimeout time.Duration
		SyncTimeout     time.Duration
		SnapshotBytes   int
		// IsAutoReplacing lets the leader replace a member that lost its disk, without an operator: the new
		// incarnation becomes a learner, catches up and is promoted, and the old incarnation is removed.
		IsAutoReplacing bool
		// Voters is the number of voters that the leader maintains when IsAutoReplacing is set: replicas that
		// ask to join become voters while there are fewer, or in place of inactive voters. With 0 the leader
		// keeps the voters that the group has, and only replaces members by new incarnations of the same ID.
		Voters int
		// IsJoining states that the group exists already, so this replica does not bootstrap one, even when
		// Members would allow it.
		IsJoining bool
		// OnStatusChange, when set, is called from the control goroutine with the status after each change of
		// term, role, leader, members, group, fault or number of joining replicas. The replica handles no other
		// event until it returns.
		OnStatusChange func(Status)
	}

	// Member is a voter or a learner of the group, or a replica that asks to join it.
	Member struct {
		ID string
		// Incarnation is a random number that is set when the replica's folder is created; 0 while unknown.
		Incarnation uint64
		Address     string
		// IsVoter is false for a learner, which receives the log and does not vote.
		IsVoter bool
	}

	// Status is a replica's own state and its view of the group.
	Status struct {
		ID          string
		Incarnation uint64
		Term        uint64
		// Leader is the ID of the leader, empty while none is known.
		Leader string
		// Role is "blank", "learner", "follower", "candidate", "leader", "aside" or "closed". A blank replica
		// has no group yet. A replica is "aside" after a fault: it takes no part in the group until it is
		// opened again.
		Role    string
		Members []Member
		// Joining lists replicas that are not members and asked to join. It is filled on the leader only.
		Joining []Member
		// Commit and Applied are the indexes of the last entry known to be committed and of the last entry
		// that was applied.
		Commit  uint64
		Applied uint64
		// Fault is the reason why the replica stepped aside, empty otherwise.
		Fault string
	}

	// NotLeaderError is the cause in the error of a call that only the leader can serve.
	NotLeaderError struct {
		// Leader is the ID of the leader, empty while none is known.
		Leader string
	}
)

// Error returns a message with the ID of the leader.
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
	if s.SyncTimeout == 0 {
		s.SyncTimeout = DefaultSyncTimeout
	}
	if s.SnapshotBytes == 0 {
		s.SnapshotBytes = DefaultSnapshotBytes
	}
	if s.Incarnation == nil {
		s.Incarnation = randomNonzero
	}
	if s.Seed == 0 {
		s.Seed = randomNonzero()
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
		return eris.New("consensus settings: Apply, Snapshot and Restore are required")
	case s.Send == nil && len(s.Members) != 1:
		return eris.New("consensus settings: Send is required unless Members lists exactly one replica")
	case s.ElectionTimeout < minTimeoutHeartbeats*s.Heartbeat:
		return eris.Errorf("consensus settings: ElectionTimeout %v is shorter than %d heartbeats of %v",
			s.ElectionTimeout, minTimeoutHeartbeats, s.Heartbeat)
	}
	return nil
}

func (s Settings) core() CoreSettings {
	return CoreSettings{
		ID: s.ID, Address: s.Address, InitialMembers: s.Members, Seed: s.Seed, Heartbeat: s.Heartbeat,
		ElectionTimeout: s.ElectionTimeout, RetainedBytes: s.SnapshotBytes / retainedDivisor,
		IsAutoReplacing: s.IsAutoReplacing, Voters: s.Voters, IsJoining: s.IsJoining,
	}
}

// randomNonzero returns a random number other than 0.
func randomNonzero() uint64 {
	for {
		var data [8]byte
		_, _ = rand.Read(data[:])
		if n := binary.LittleEndian.Uint64(data[:]); n != 0 {
			return n
		}
	}
}
