package fencing

import (
	"context"
	"time"

	"guavahitch.example/guavahitch/outcome"
)

// Executor carries out the steps of a Gate over a connection to the engine. It is safe for use by several
// goroutines; orders wait for each other.
type Executor struct {
	// Send gives a command to the engine and returns its report.
	Send func(context.Context, Command) (Report, error)
	// Read returns the engine's report.
	Read func(context.Context) (Report, error)

	peer string
	gate *Gate
	turn chan struct{}
}

// NewExecutor returns an executor to the named engine behind the gate.
func NewExecutor(peer string, gate *Gate) *Executor {
	return &Executor{peer: peer, gate: gate, turn: make(chan struct{}, 1)}
}

// RaiseTerm tells the leader's term as control announced it to this process.
func (p *Executor) RaiseTerm(ctx context.Context, term uint64) error {
	if err := p.acquire(ctx); err != nil {
		return err
	}
	defer p.release()
	p.gate.RaiseTerm(term)
	return nil
}

// Execute carries an order out and returns the engine's report. The error is an *outcome.Error: NotRun when
// the engine never got the order, Unknown when it did not confirm it.
func (p *Executor) Execute(ctx context.Context, o Order) (Report, error) {
	if err := p.acquire(ctx); err != nil {
		return Report{}, err
	}
	defer p.release()
	step := p.gate.Begin(o)
	var cause error
	for step.Result == 0 {
		step, cause = p.perform(ctx, step)
	}
	return step.Report, p.failure(o, step.Result, cause)
}

func (p *Executor) perform(ctx context.Context, s Step) (Step, error) {
	if s.Wait > 0 {
		return p.wait(ctx, s.Wait)
	}
	var report Report
	var err error
	if s.Command != nil {
		report, err = p.Send(ctx, *s.Command)
	} else {
		report, err = p.Read(ctx)
	}
	return p.gate.Reply(report, err), err
}

func (p *Executor) wait(ctx context.Context, d time.Duration) (Step, error) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return p.gate.Wake(), nil
	case <-ctx.Done():
		return p.gate.Reply(Report{}, ctx.Err()), ctx.Err()
	}
}

func (p *Executor) failure(o Order, v Result, cause error) error {
	if v == Done {
		return nil
	}
	failure := outcome.Error{
		Step: "order " + o.Kind, Peer: p.peer, Outcome: outcome.NotRun, Reason: v.String(), Detail: "token " + o.Token.String(),
	}
	if v == Uncertain {
		failure.Outcome = outcome.Unknown
	}
	if cause != nil {
		return failure.WithCause(cause)
	}
	return &failure
}

func (p *Executor) acquire(ctx context.Context) error {
	select {
	case p.turn <- struct{}{}:
		return nil
	case <-ctx.Done():
		return outcome.Error{
			Step: "order", Peer: p.peer, Outcome: outcome.NotRun, Reason: "timeout", Detail: "another order is in progress",
		}.WithCause(ctx.Err())
	}
}

func (p *Executor) release() { <-p.turn }
