package consensus

// The members of the group as a value. A member is known by ID and incarnation: a replica that lost its disk
// comes back under another incarnation, as a stranger that has no vote.

import (
	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/wire"
)

type (
	// identity names one replica for the life of its folder.
	identity struct {
		ID          string
		Incarnation uint64
	}

	// membership is the list of members, oldest first. It is never changed in place.
	membership []Member

	// membershipAt is the membership that an entry of the log brought.
	membershipAt struct {
		index   uint64
		members membership
	}
)

func (m Member) identity() identity { return identity{m.ID, m.Incarnation} }

func (m membership) find(id identity) (Member, bool) {
	for _, member := range m {
		if member.identity() == id {
			return member, true
		}
	}
	return Member{}, false
}

func (m membership) named(id string) []Member {
	var found []Member
	for _, member := range m {
		if member.ID == id {
			found = append(found, member)
		}
	}
	return found
}

func (m membership) isVoter(id identity) bool {
	member, found := m.find(id)
	return found && member.IsVoter
}

func (m membership) voters() []identity {
	var voters []identity
	for _, member := range m {
		if member.IsVoter {
			voters = append(voters, member.identity())
		}
	}
	return voters
}

// quorum is the number of voters that makes a majority.
func (m membership) quorum() int { return len(m.voters())/2 + 1 }

// With returns the membership with the member added or replaced.
func (m membership) With(member Member) membership {
	changed := make(membership, 0, len(m)+1)
	isKnown := false
	for _, old := range m {
		if old.identity() == member.identity() {
			old, isKnown = member, true
		}
		changed = append(changed, old)
	}
	if !isKnown {
		changed = append(changed, member)
	}
	return changed
}

// Without returns the membership with the member left out.
func (m membership) Without(id identity) membership {
	changed := make(membership, 0, len(m))
	for _, old := range m {
		if old.identity() != id {
			changed = append(changed, old)
		}
	}
	return changed
}

func (m membership) wire() *wire.ReplicaMembership {
	message := &wire.ReplicaMembership{}
	for _, member := range m {
		message.Members = append(message.Members, &wire.ReplicaMember{
			Id: member.ID, Incarnation: member.Incarnation, Address: member.Address, Voter: member.IsVoter,
		})
	}
	return message
}

func (m membership) encode() []byte {
	data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(m.wire())
	return data
}

func membershipOf(message *wire.ReplicaMembership) membership {
	var m membership
	for _, member := range message.GetMembers() {
		m = append(m, Member{
			ID: member.GetId(), Incarnation: member.GetIncarnation(), Address: member.GetAddress(),
			IsVoter: member.GetVoter(),
		})
	}
	return m
}

func decodeMembership(data []byte) (membership, error) {
	message := &wire.ReplicaMembership{}
	if err := proto.Unmarshal(data, message); err != nil {
		return nil, err
	}
	return membershipOf(message), nil
}
