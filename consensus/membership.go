package consensus

// The members of the group as a value. A member is identified by ID and incarnation: a replica that lost its disk
// returns with a new incarnation, which is no member and has no vote.

import (
	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/wire"
)

type (
	// identity identifies one replica for the lifetime of its folder.
	identity struct {
		ID          string
		Incarnation uint64
	}

	// membership is the list of members in the order in which they were added. It is never changed in place.
	membership []Member

	// membershipAt is a membership and the index of the log entry that set it.
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

// named returns the members with an ID; there are two while a new incarnation replaces an old one.
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

// quorum returns the number of voters that form a majority.
func (m membership) quorum() int { return len(m.voters())/2 + 1 }

// With returns a copy of the membership in which the member is added, or replaced when its identity is listed.
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

// Without returns a copy of the membership without the member.
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
