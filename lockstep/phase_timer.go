package lockstep

import (
	"fmt"
	"strings"
	"time"
)

// phaseTimer measures the phases of a switch. A phase is named by its order.
type phaseTimer struct {
	began time.Time
	text  []string
}

func (p *phaseTimer) start() { p.began = time.Now() }

// end ends a phase. The next one begins.
func (p *phaseTimer) end(phase Kind) {
	p.text = append(p.text, fmt.Sprintf("%s %v", phase, time.Since(p.began).Round(time.Millisecond)))
	p.start()
}

// String lists the phases that have ended and the time since then.
func (p phaseTimer) String() string {
	return strings.Join(append(p.text, fmt.Sprintf("since then %v", time.Since(p.began).Round(time.Millisecond))), ", ")
}
