package availability

import (
	"math"
	"time"
)

const (
	// bucketTime is the time for which a Bucket saves up tokens.
	bucketTime = 500 * time.Millisecond
	// phaseTime is how long a token of a slow bucket with a phase can be used.
	phaseTime = 500 * time.Millisecond
)

// Bucket is an immutable token bucket: a token is one request.
type Bucket struct {
	tokens  float64
	updated time.Time
}

// NewBucket returns a bucket with some tokens. The number may be negative.
func NewBucket(now time.Time, tokens float64) Bucket { return Bucket{tokens: tokens, updated: now} }

// WithRate returns the bucket at a later time after tokens were added at a rate a second. It keeps one and those of bucketTime.
func (b Bucket) WithRate(now time.Time, rate float64) Bucket {
	b = b.withTokens(now, rate)
	b.tokens = min(b.tokens, 1+rate*bucketTime.Seconds())
	return b
}

// WithPhase is WithRate for one of many buckets that share a rate. Below one token in phaseTime, a token that is not used
// within phaseTime is lost and the next one comes when it would have come anyway. So the buckets never hold a token each
// at the same time, unless their phases agree.
func (b Bucket) WithPhase(now time.Time, rate float64) Bucket {
	usable := rate * phaseTime.Seconds()
	if usable >= 1 {
		return b.WithRate(now, rate)
	}
	b = b.withTokens(now, rate)
	if b.tokens >= 1+usable {
		b.tokens -= math.Floor(b.tokens - usable)
	}
	return b
}

func (b Bucket) withTokens(now time.Time, rate float64) Bucket {
	if now.After(b.updated) {
		if !b.updated.IsZero() {
			b.tokens += rate * now.Sub(b.updated).Seconds()
		}
		b.updated = now
	}
	return b
}

// Tokens returns the number of whole tokens.
func (b Bucket) Tokens() int { return int(max(math.Floor(b.tokens), 0)) }

// Wait returns the time until a token is there at a rate a second, 0 if one is there.
func (b Bucket) Wait(rate float64) time.Duration {
	if b.tokens >= 1 {
		return 0
	}
	return max(time.Duration((1-b.tokens)/rate*float64(time.Second)), 1)
}

// Without returns the bucket without some tokens.
func (b Bucket) Without(tokens int) Bucket {
	b.tokens -= float64(tokens)
	return b
}
