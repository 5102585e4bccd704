package lockstep

import (
	"fmt"
	"strings"
	"time"
)

// phaseTimer measures the phases of a switch. A phase is named by its order.
type phaseTimer struct {
	began time.Time
	ended []string
}

func (p *phaseTimer) start() { p.began = time.Now() }

// end ends a phase. The next one begins.
func (p *phaseTimer) end(phase Kind) {
	p.ended = append(p.ended, fmt.Sprintf("%s %v", phase, p.sinceLast()))
	p.start()
}

// sinceLast returns the time since the last phase ended.
func (p *phaseTimer) sinceLast() time.Duration { return time.Since(p.began).Round(time.Millisecond) }

// String lists the phases that have ended.
func (p *phaseTimer) String() string { return strings.Join(p.ended, ", ") }
