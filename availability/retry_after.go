package availability

import (
	"net/http"
	"strings"
	"time"
)

// maxBackoff bounds the times that ParseRetryAfter returns, so that times computed from them do not overflow.
const maxBackoff = 100 * 365 * 24 * time.Hour

// ParseRetryAfter returns how long a Retry-After field asks to wait: seconds, with a fraction or without, or a date. The
// date is compared with the Date field of the same response, or with now if that is missing, since the clocks of two
// instances may disagree. isValid is false for a field that is missing or malformed. A date in the past gives 0.
func ParseRetryAfter(header http.Header, now time.Time) (length time.Duration, isValid bool) {
	value := strings.TrimSpace(header.Get("Retry-After"))
	if seconds, isNumber := parseSeconds(value); isNumber {
		return seconds, true
	}
	at, err := http.ParseTime(value)
	if err != nil {
		return 0, false
	}
	if sent, err := http.ParseTime(header.Get("Date")); err == nil {
		now = sent
	}
	return min(max(at.Sub(now), 0), maxBackoff), true
}

// parseSeconds parses a number of seconds. Large ones give maxBackoff.
func parseSeconds(value string) (length time.Duration, isNumber bool) {
	seconds, isNumber := parseDecimal(value, maxBackoff.Seconds())
	if seconds >= maxBackoff.Seconds() {
		return maxBackoff, isNumber
	}
	return time.Duration(seconds * float64(time.Second)), isNumber
}

// parseDecimal parses decimal digits with at most one point, and spaces around them. Numbers of any length are allowed;
// those above the largest give that one.
func parseDecimal(value string, largest float64) (number float64, isNumber bool) {
	whole, fraction, hasPoint := strings.Cut(strings.TrimSpace(value), ".")
	if whole == "" || hasPoint && fraction == "" {
		return 0, false
	}
	scale := 1.0
	for _, digits := range []string{whole, fraction} {
		for _, digit := range digits {
			if digit < '0' || digit > '9' {
				return 0, false
			}
		}
	}
	for _, digit := range whole {
		number = min(number*10+float64(digit-'0'), largest)
	}
	for _, digit := range fraction {
		scale /= 10
		number += scale * float64(digit-'0')
	}
	return min(number, largest), true
}
