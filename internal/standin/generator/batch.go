package generator

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"quincepath.example/quincepath/internal/standin/supporter"
)

// slowdown is the part of the base token time that each further running answer adds.
const slowdown = 0.04

// Job is the work of one answer.
type Job struct {
	// Priority orders the queue; lower is served first.
	Priority int
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// Offset is the number of tokens that the reader has already; at most Length.
	Offset int
	// Length is the number of tokens of the whole answer.
	Length int
	// Cached, when not nil, is asked as the prefill begins for the number of prompt tokens that needn't be read.
	Cached func() int
}

// Batch runs up to a number of answers at a time. The time of a token grows with the running answers.
type Batch struct {
	slots   *supporter.Slots
	step    time.Duration
	prefill time.Duration
	factor  atomic.Uint64
}

// NewBatch returns an idle batch. Step is the time of a token of a lone answer, prefill the time for each prompt token.
func NewBatch(slots int, step, prefill, loadLag time.Duration) *Batch {
	b := &Batch{slots: supporter.NewSlots(slots, true, loadLag), step: step, prefill: prefill}
	b.SetFactor(1)
	return b
}

// SetFactor multiplies the time of all further tokens.
func (b *Batch) SetFactor(f float64) {
	b.factor.Store(math.Float64bits(f))
}

// Load returns the delayed load.
func (b *Batch) Load() supporter.Load {
	return b.slots.Load()
}

// Run waits for a slot, then calls emit with each token's offset, counted from 1, from job.Offset+1 on.
// While the answer is put back for one of higher priority, no token is emitted.
// It returns the context's error or emit's; the slot is free on return.
func (b *Batch) Run(ctx context.Context, j Job, emit func(offset int) error) error {
	t := b.slots.Enter(j.Priority)
	defer b.slots.Leave(t)
	if err := b.slots.Await(ctx, t); err != nil {
		return err
	}
	toRead := j.PromptTokens + j.Offset
	if j.Cached != nil {
		toRead -= min(j.Cached(), j.PromptTokens)
	}
	p := pacer{due: time.Now()}
	if err := p.wait(ctx, b.prefill*time.Duration(toRead)); err != nil {
		return err
	}
	for o := j.Offset + 1; o <= j.Length; o++ {
		if err := p.wait(ctx, b.tokenTime()); err != nil {
			return err
		}
		if err := b.slots.Await(ctx, t); err != nil {
			return err
		}
		if err := emit(o); err != nil {
			return err
		}
	}
	return nil
}

func (b *Batch) tokenTime() time.Duration {
	n := max(b.slots.Running(), 1)
	f := math.Float64frombits(b.factor.Load())
	return time.Duration(float64(b.step) * f * (1 + slowdown*float64(n-1)))
}

// pacer waits until due times instead of for durations.
// Otherwise the lateness of each timer would add up and answers would run slower than the settings say.
type pacer struct {
	due   time.Time
	timer *time.Timer
}

func (p *pacer) wait(ctx context.Context, d time.Duration) error {
	now := time.Now()
	if now.Sub(p.due) > d {
		p.due = now
	}
	p.due = p.due.Add(d)
	rest := p.due.Sub(now)
	if rest <= 0 {
		return ctx.Err()
	}
	if p.timer == nil {
		p.timer = time.NewTimer(rest)
	} else {
		p.timer.Reset(rest)
	}
	select {
	case <-p.timer.C:
		return nil
	case <-ctx.Done():
		p.timer.Stop()
		return ctx.Err()
	}
}
