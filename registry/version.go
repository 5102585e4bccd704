package registry

// heldVersion is the version of the newest configuration that a process knows, if it knows one. The first configuration may have the
// version 0, so a number alone could not be told from none. It is immutable, and its zero value is none.
type heldVersion struct {
	version uint64
	isHeld  bool
}

// versionOf returns the version of a frame, which is nil before there is a configuration.
func versionOf(version *uint64) heldVersion {
	if version == nil {
		return heldVersion{}
	}
	return heldVersion{version: *version, isHeld: true}
}

// isOlderThan reports whether another version is known and is newer, or is the first one.
func (h heldVersion) isOlderThan(other heldVersion) bool {
	return other.isHeld && (!h.isHeld || h.version < other.version)
}

// withNewer returns the newer one of two versions.
func (h heldVersion) withNewer(other heldVersion) heldVersion {
	if h.isOlderThan(other) {
		return other
	}
	return h
}
