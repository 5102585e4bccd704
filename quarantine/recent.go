package quarantine

import "time"

// maxRecent is the number of parts in each half of recentParts.
const maxRecent = 2048

// recentParts holds the parts of which requests were answered well, with the last time. It keeps at least the latest
// maxRecent of them.
type recentParts struct {
	latest, earlier map[key]time.Time
}

// add records that a request with a part was answered well.
func (p *recentParts) add(k key, at time.Time) {
	if len(p.latest) >= maxRecent || p.latest == nil {
		p.earlier, p.latest = p.latest, make(map[key]time.Time, maxRecent)
	}
	p.latest[k] = at
}

// last returns the last time that add was called for a part, the zero time if that is not known.
func (p *recentParts) last(k key) time.Time { return later(p.latest[k], p.earlier[k]) }
