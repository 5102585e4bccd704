package consensus_test

// Tests of single mechanisms of the protocol. A test that compares two setups shows that the failure happens when the
// mechanism is switched off, and does not happen otherwise.

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/consensus"
)

// newFaultlessSimulation returns a simulation without random faults after a leader was elected.
func newFaultlessSimulation(t *testing.T, count int, b setup) *simulation {
	t.Helper()
	s := newSimulation(5, count, b)
	s.isFaultless = true
	s.runFor(2 * time.Second)
	require.NotNil(t, s.leading())
	return s
}

// leading returns the leader of the newest term, or nil.
func (s *simulation) leading() *simReplica {
	var found *simReplica
	for _, r := range s.replicas {
		if !r.isUp || r.core.Status().Role != "leader" {
			continue
		}
		if found == nil || r.core.Status().Term > found.core.Status().Term {
			found = r
		}
	}
	return found
}

// cutOff blocks all messages between a replica and the others.
func (s *simulation) cutOff(r *simReplica) {
	for _, other := range s.replicas {
		s.blocked[[2]string{r.id, other.id}] = true
		s.blocked[[2]string{other.id, r.id}] = true
	}
}

// commit submits puts to the leader. It returns how many of them were answered up to one second after the last one.
func (s *simulation) commit(count int) int {
	answered := 0
	for i := range count {
		r := s.leading()
		if r == nil {
			s.runFor(time.Second)
			continue
		}
		r.submit(&call{
			input: simInput{Kind: "put", Key: fmt.Sprint("k", i%simKeys), Value: fmt.Sprint(i)},
			done: func(_ simOutput, isKnown, _ bool) {
				if isKnown {
					answered++
				}
			},
		})
		if i%20 == 0 {
			s.runFor(10 * time.Millisecond)
		}
	}
	s.runFor(time.Second)
	return answered
}

func (s *simulation) follower() *simReplica {
	for _, r := range s.replicas {
		if r != s.leading() {
			return r
		}
	}
	return nil
}

// TestReturningReplicaDoesNotDeposeTheLeader guards against an election that a replica forces with a higher term when
// it returns from a partition. Pre-vote prevents it.
func TestReturningReplicaDoesNotDeposeTheLeader(t *testing.T) {
	isDeposed := func(b setup) bool {
		s := newFaultlessSimulation(t, 3, b)
		before := s.leading().core.Status()
		s.cutOff(s.follower())
		s.runFor(5 * time.Second)
		clear(s.blocked)
		s.runFor(2 * time.Second)
		after := s.leading().core.Status()
		return after.Term != before.Term
	}
	require.False(t, isDeposed(setup{}))
	require.True(t, isDeposed(setup{disabled: consensus.Mechanisms{PreVote: true}}))
}

// TestCutOffLeaderStopsLeading guards against a leader that is cut off from all others and continues to lead. Check
// quorum prevents it.
func TestCutOffLeaderStopsLeading(t *testing.T) {
	isLeading := func(b setup) bool {
		s := newFaultlessSimulation(t, 3, b)
		old := s.leading()
		s.cutOff(old)
		s.runFor(2 * time.Second)
		require.NotEqual(t, old, s.leading())
		return old.core.Status().Role == "leader"
	}
	require.False(t, isLeading(setup{}))
	require.True(t, isLeading(setup{disabled: consensus.Mechanisms{CheckQuorum: true}}))
}

// TestReplacementHasNoVoteBeforeItHasCaughtUp guards against a group that cannot commit, because it promoted a
// replacement that holds too little of the log and was then cut off.
func TestReplacementHasNoVoteBeforeItHasCaughtUp(t *testing.T) {
	answered := func(b setup) int {
		s := newFaultlessSimulation(t, 3, b)
		s.commit(100)
		r := s.follower()
		r.crash()
		r.disk = newMemoryDisk()
		s.runFor(time.Second)
		r.start()
		// The replacement is cut off as soon as the leader has added it as a learner.
		for len(s.leading().core.Status().Members) == 3 {
			s.runFor(time.Millisecond)
		}
		s.cutOff(r)
		s.runFor(100 * time.Millisecond)
		return s.commit(20)
	}
	require.Equal(t, 20, answered(setup{}))
	require.Zero(t, answered(setup{disabled: consensus.Mechanisms{CatchUp: true}}))
}

// TestLeaderLossRightAfterDiskReplacement guards against a replacement that counts as repaired before the group can
// lose another replica: the leader crashes as soon as all members are voters of the current incarnations.
func TestLeaderLossRightAfterDiskReplacement(t *testing.T) {
	s := newFaultlessSimulation(t, 3, setup{})
	w := &workload{simulation: s}
	require.Equal(t, 100, s.commit(100))
	first := s.follower()
	first.crash()
	first.disk = newMemoryDisk()
	first.start()
	for range 5000 {
		if w.isRepaired() {
			break
		}
		s.runFor(time.Millisecond)
	}
	require.True(t, w.isRepaired())
	s.leading().crash()
	s.runFor(2 * time.Second)
	require.Equal(t, 50, s.commit(50))
}

// TestRestartAfterHundredsOfCommands guards against a replica that does not catch up after it missed entries that the
// leader has compacted. It must receive a snapshot.
func TestRestartAfterHundredsOfCommands(t *testing.T) {
	s := newFaultlessSimulation(t, 3, setup{})
	r := s.follower()
	r.crash()
	require.Equal(t, 600, s.commit(600))
	r.start()
	s.runFor(2 * time.Second)
	require.NoError(t, s.err)
	require.Positive(t, s.installed, "the replica did not catch up with a snapshot")
	require.Equal(t, s.leading().stateText(), r.stateText())
	require.Equal(t, s.leading().core.Status().Commit, r.core.Status().Commit)
}

// TestWholeGroupRestarts guards against committed commands that are lost when all replicas crash at once.
func TestWholeGroupRestarts(t *testing.T) {
	s := newFaultlessSimulation(t, 5, setup{})
	require.Equal(t, 300, s.commit(300))
	want := s.leading().stateText()
	for _, r := range s.replicas {
		r.crash()
	}
	for _, r := range s.replicas {
		r.start()
	}
	s.runFor(3 * time.Second)
	require.NoError(t, s.err)
	for _, r := range s.replicas {
		require.Equal(t, want, r.stateText())
	}
}

// TestOneChangeOfMembershipAtATime checks that a second change is refused while the first one is not committed, and
// that a learner which has not caught up is not promoted.
func TestOneChangeOfMembershipAtATime(t *testing.T) {
	s := newFaultlessSimulation(t, 3, setup{})
	r := s.leading()
	_, _, err := r.core.Change(s.now, consensus.AddLearner, consensus.Member{ID: "r9", Incarnation: 9})
	require.NoError(t, err)
	_, _, err = r.core.Change(s.now, consensus.AddLearner, consensus.Member{ID: "r8", Incarnation: 8})
	var refusal *consensus.ChangeError
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, "in-progress", refusal.Reason)
	r.flush()
	s.runFor(time.Second)
	_, _, err = r.core.Change(s.now, consensus.Promote, consensus.Member{ID: "r9", Incarnation: 9})
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, "behind", refusal.Reason)
	_, _, err = r.core.Change(s.now, consensus.Remove, consensus.Member{ID: "r9", Incarnation: 9})
	require.NoError(t, err)
}

// TestReplicaThatLostItsDiskDoesNotVote guards against the loss of committed entries when a replica with an empty disk
// votes for another one that lacks them.
func TestReplicaThatLostItsDiskDoesNotVote(t *testing.T) {
	s := newFaultlessSimulation(t, 3, setup{})
	require.Equal(t, 100, s.commit(100))
	// One follower misses entries, the other one loses its disk, and the leader, which alone has all entries,
	// crashes.
	leading := s.leading()
	var behind, lost *simReplica
	for _, r := range s.replicas {
		switch {
		case r == leading:
		case behind == nil:
			behind = r
		default:
			lost = r
		}
	}
	s.cutOff(behind)
	require.Equal(t, 10, s.commit(10))
	lost.crash()
	lost.disk = newMemoryDisk()
	leading.crash()
	clear(s.blocked)
	lost.start()
	s.runFor(5 * time.Second)
	require.Nil(t, s.leading(), "a replica without the committed commands was elected")
	leading.start()
	s.runFor(5 * time.Second)
	require.Equal(t, 10, s.commit(10))
	require.True(t, (&workload{simulation: s}).isRepaired())
}

// TestTransferAvoidsTheElectionTimeout guards against a planned stop that takes as long as a failover.
func TestTransferAvoidsTheElectionTimeout(t *testing.T) {
	elapsed := func(isTransferring bool) time.Duration {
		s := newFaultlessSimulation(t, 3, setup{})
		require.Equal(t, 20, s.commit(20))
		old, start := s.leading(), s.now
		if isTransferring {
			require.NoError(t, old.core.Transfer(s.now, ""))
			old.flush()
			for old.core.Status().Role == "leader" {
				s.runFor(time.Millisecond)
			}
		}
		old.crash()
		for s.leading() == nil {
			s.runFor(time.Millisecond)
		}
		return s.now.Sub(start)
	}
	require.Less(t, elapsed(true), 50*time.Millisecond)
	require.Greater(t, elapsed(false), 100*time.Millisecond)
}

// TestConcurrentMembershipChangesWouldSplitTheGroup guards against two leaders at once. A leader that reaches only two
// learners and promotes both would form a quorum of the new membership, while the other replicas form a quorum of the
// old one.
func TestConcurrentMembershipChangesWouldSplitTheGroup(t *testing.T) {
	leaders := func(b setup) int {
		b.nonFounders = 2
		s := newFaultlessSimulation(t, 5, b)
		old := s.leading()
		var added []consensus.Member
		for _, r := range s.replicas[3:] {
			member := consensus.Member{ID: r.id, Incarnation: r.core.Status().Incarnation}
			_, _, err := old.core.Change(s.now, consensus.AddLearner, member)
			require.NoError(t, err)
			old.flush()
			s.runFor(time.Second)
			added = append(added, member)
		}
		// The leader can reach only the learners, and promotes both.
		for _, r := range s.replicas[:3] {
			if r != old {
				s.cutOff(r)
			}
		}
		for _, r := range s.replicas[:3] {
			for _, other := range s.replicas[:3] {
				if r != old && other != old {
					delete(s.blocked, [2]string{r.id, other.id})
				}
			}
		}
		for _, member := range added {
			_, _, _ = old.core.Change(s.now, consensus.Promote, member)
		}
		old.flush()
		s.runFor(3 * time.Second)
		count := 0
		for _, r := range s.replicas {
			if r.core.Status().Role == "leader" {
				count++
			}
		}
		return count
	}
	require.Equal(t, 1, leaders(setup{}))
	require.Equal(t, 2, leaders(setup{disabled: consensus.Mechanisms{OneChange: true}}))
}

// TestLearnerOfOverwrittenChangeJoinsAgain guards against a learner that stays out of the group for good: it was added
// by a change that a new leader overwrote before it was committed, and must ask to join again.
func TestLearnerOfOverwrittenChangeJoinsAgain(t *testing.T) {
	s := newFaultlessSimulation(t, 4, setup{nonFounders: 1})
	old, learner := s.leading(), s.replicas[3]
	for _, r := range s.replicas[:3] {
		if r != old {
			s.blocked[[2]string{old.id, r.id}] = true
		}
	}
	member := consensus.Member{ID: learner.id, Incarnation: learner.core.Status().Incarnation}
	_, _, err := old.core.Change(s.now, consensus.AddLearner, member)
	require.NoError(t, err)
	old.flush()
	s.runFor(2 * time.Second)
	require.Len(t, learner.core.Status().Members, 4)
	clear(s.blocked)
	s.runFor(2 * time.Second)
	require.Len(t, s.leading().core.Status().Members, 3)
	require.Equal(t, []consensus.Member{{ID: learner.id, Incarnation: member.Incarnation, Address: learner.id}},
		s.leading().core.Status().Joining)
	_, _, err = s.leading().core.Change(s.now, consensus.AddLearner, member)
	require.NoError(t, err)
	s.leading().flush()
	s.runFor(2 * time.Second)
	require.Equal(t, s.leading().core.Status().Commit, learner.core.Status().Commit)
}

// TestWrongWallClocksDoNotMoveLogTime guards against log time that jumps when the wall clocks of all replicas step by a
// day and the leader changes.
func TestWrongWallClocksDoNotMoveLogTime(t *testing.T) {
	s := newFaultlessSimulation(t, 3, setup{})
	require.Equal(t, 10, s.commit(10))
	start, began := s.leading().timeMs, s.now
	for _, skew := range []time.Duration{24 * time.Hour, -24 * time.Hour} {
		// All wall clocks step, and then another replica becomes leader.
		for _, r := range s.replicas {
			r.skew = skew
		}
		require.Equal(t, 10, s.commit(10))
		require.NoError(t, s.leading().core.Transfer(s.now, ""))
		s.leading().flush()
		s.runFor(20 * time.Second)
		require.Equal(t, 10, s.commit(10))
		elapsed := s.now.Sub(began).Milliseconds()
		require.InDelta(t, elapsed, s.leading().timeMs-start, float64(elapsed)/50+2000)
	}
}

// TestLogTimeNeverDecreases guards against log time that goes back when all replicas restart with their wall clocks an
// hour behind.
func TestLogTimeNeverDecreases(t *testing.T) {
	s := newFaultlessSimulation(t, 3, setup{})
	require.Equal(t, 10, s.commit(10))
	before := s.leading().timeMs
	for _, r := range s.replicas {
		r.crash()
		r.skew = -time.Hour
	}
	for _, r := range s.replicas {
		r.start()
	}
	s.runFor(2 * time.Second)
	require.Equal(t, 10, s.commit(10))
	require.GreaterOrEqual(t, s.leading().timeMs, before)
}
