package control_test

import (
	"fmt"
	"strings"

	"github.com/anishathalye/porcupine"

	"guavahitch.example/guavahitch/claim"
	"guavahitch.example/guavahitch/control"
	"guavahitch.example/guavahitch/wire"
)

type (
	// inventoryModel is the expected state of a single copy of the inventory. Answers are kept as lines of
	// text, so that states are comparable with ==.
	inventoryModel struct {
		revision         uint64
		text             string
		answers, winners string
	}

	// keyModel is the expected state of a single copy of one key.
	keyModel struct {
		state, id, text, answer string
		barred                  string
	}
)

// historyModel is the specification: one inventory and independent keys. An operation whose answer was lost may
// or may not have taken effect.
var historyModel = porcupine.NondeterministicModel{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, op := range ops {
			key := op.Input.(operation).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{nil} },
	Step: func(state, input, output any) []any {
		op, got := input.(operation), output.(string)
		next, want := stepModel(state, op)
		switch got {
		case noAnswer:
			return []any{state, next}
		case want:
			return []any{next}
		default:
			return nil
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

func stepModel(state any, op operation) (any, string) {
	if op.key != "" {
		m, _ := state.(keyModel)
		return m.step(op)
	}
	m, _ := state.(inventoryModel)
	return m.step(op)
}

func (m inventoryModel) step(op operation) (any, string) {
	if op.kind == "read" {
		return m, fmt.Sprintf("%d %s", m.revision, m.text)
	}
	content := fmt.Sprintf("%d %s", op.expected, op.text)
	if answer, known := lookup(m.answers, op.id); known {
		if rest, same := strings.CutPrefix(answer, content+"="); same {
			return m, rest
		}
		return m, control.ReasonReused
	}
	var answer string
	switch {
	case op.expected == m.revision:
		m.revision++
		m.text = op.text
		m.winners += fmt.Sprintf("\n%d:%s", m.revision, op.id)
		answer = fmt.Sprintf("accepted %d", m.revision)
	case op.expected > m.revision:
		answer = fmt.Sprintf("refused %d future", m.revision)
	default:
		winner, _ := lookup(m.winners, fmt.Sprint(op.expected+1))
		answer = fmt.Sprintf("refused %d lost %s", m.revision, winner)
	}
	m.answers += fmt.Sprintf("\n%s:%s=%s", op.id, content, answer)
	return m, answer
}

// lookup finds the line "name:rest" and returns its rest.
func lookup(lines, name string) (string, bool) {
	_, found, ok := strings.Cut(lines, "\n"+name+":")
	rest, _, _ := strings.Cut(found, "\n")
	return rest, ok
}

func (m keyModel) step(op operation) (any, string) {
	if op.kind == "claim" {
		return m.claim(op)
	}
	if m.id != op.id {
		return m, claim.StateStale
	}
	if m.state != claim.StateRunning && m.state != claim.StateUnknown {
		return m, m.state
	}
	switch op.text {
	case wire.Outcome_OUTCOME_RAN.String():
		m.state, m.answer = claim.StateSettled, "answer of "+op.id
	case wire.Outcome_OUTCOME_NOT_RUN.String():
		m.state, m.barred = claim.StateFree, m.barred+"\n"+op.id+":"
	default:
		m.state = claim.StateUnknown
	}
	return m, m.state
}

func (m keyModel) claim(op operation) (any, string) {
	if m.state != "" && m.text != op.text {
		return m, claim.StateMismatch
	}
	_, barred := lookup(m.barred, op.id)
	switch {
	case m.state == claim.StateFree && barred:
		return m, claim.StateRefused
	case m.state == "" || m.state == claim.StateFree:
		m.state, m.id, m.text = claim.StateRunning, op.id, op.text
		return m, claim.StateGranted
	case m.state == claim.StateRunning && m.id == op.id:
		return m, claim.StateGranted
	default:
		return m, strings.TrimSpace(m.state + " " + m.answer)
	}
}
