package fencing

import (
	"context"
	"time"

	"guavahitch.example/guavahitch/outcome"
)

// Executor performs the steps of a Gate over a connection to the engine. It is safe for concurrent use; concurrent
// orders are executed one after another.
type Executor struct {
	// Send sends a command to the engine and returns the engine's report.
	Send func(context.Context, Command) (Report, error)
	// Read returns the engine's report.
	Read func(context.Context) (Report, error)

	peer      string
	gate      *Gate
	semaphore chan struct{}
}

// NewExecutor returns an executor for the named engine. The caller sets Send and Read before the first order.
func NewExecutor(peer string, gate *Gate) *Executor {
	return &Executor{peer: peer, gate: gate, semaphore: make(chan struct{}, 1)}
}

// RaiseTerm passes the leader's term, as control announced it to this process, to the gate. It waits for an order in
// progress and fails when the context ends before that order does.
func (p *Executor) RaiseTerm(ctx context.Context, term uint64) error {
	if err := p.acquire(ctx); err != nil {
		return err
	}
	defer p.release()
	p.gate.RaiseTerm(term)
	return nil
}

// Execute sends an order through the gate and returns the engine's report. The error is an *outcome.Error: its outcome
// is NotRun when the order was not sent, and Unknown when it was sent and the engine did not confirm it.
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

// perform executes one step and returns the next one.
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

// failure returns the error for the result of an order, nil for Done.
func (p *Executor) failure(o Order, result Result, cause error) error {
	if result == Done {
		return nil
	}
	failure := outcome.Error{
		Step: "order " + o.Kind, Peer: p.peer, Outcome: outcome.NotRun, Reason: result.String(),
		Detail: "token " + o.Token.String(),
	}
	if result == Uncertain {
		failure.Outcome = outcome.Unknown
	}
	if cause != nil {
		return failure.WithCause(cause)
	}
	return &failure
}

func (p *Executor) acquire(ctx context.Context) error {
	select {
	case p.semaphore <- struct{}{}:
		return nil
	case <-ctx.Done():
		return outcome.Error{
			Step: "order", Peer: p.peer, Outcome: outcome.NotRun, Reason: "timeout", Detail: "another order is in progress",
		}.WithCause(ctx.Err())
	}
}

func (p *Executor) release() { <-p.semaphore }
