package quarantiner

import (
	"context"
	"encoding/json"
	"time"
)

// reportParams and the types below are the messages between nodes.
type reportParams struct {
	Crashes []crashReport `json:"crashes"`
}

// crashReport names requests of the sender that ran on an upstream when it crashed.
type crashReport struct {
	Instance
	// AgeMS is how long ago that was.
	AgeMS int64 `json:"age_ms"`
	// Answering are those of which part of the answer had come, Waiting the others.
	Waiting   []Key `json:"waiting,omitempty"`
	Answering []Key `json:"answering,omitempty"`
}

// newCrashReport returns what the judges weren't told of a crash.
func newCrashReport(s *seen, now time.Time) crashReport {
	report := crashReport{Instance: s.instance, AgeMS: now.Sub(s.at).Milliseconds()}

	for _, r := range s.runs[s.told:] {
		if r.answering {
			report.Answering = append(report.Answering, r.key)
		} else {
			report.Waiting = append(report.Waiting, r.key)
		}
	}

	return report
}

type testifyParams struct {
	Suspects []suspicion `json:"suspects"`
}

type suspicion struct {
	Key Key `json:"key"`
	// AgeMS is how long ago the first crash under it was.
	AgeMS int64 `json:"age_ms"`
}

type testimony struct {
	// Answered are the requests that the node has seen answered since.
	Answered []Key `json:"answered,omitempty"`
}

type quarantineParams struct {
	Entries []Quarantine `json:"entries"`
}

// HandleReport answers MethodReport.
func (q *Quarantiner) HandleReport(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var told reportParams
	if err := json.Unmarshal(params, &told); err != nil {
		return nil, err
	}

	q.takeIn(told.Crashes)

	return struct{}{}, nil
}

func (q *Quarantiner) takeIn(reports []crashReport) {
	now := time.Now()
	quarantined := func(key Key) bool {
		_, held := q.table.find(now, key)

		return held
	}

	for _, r := range reports {
		at := now.Add(-time.Duration(r.AgeMS) * time.Millisecond)
		q.judge.report(now, at, r, quarantined)
	}
}

// HandleQueryAnswered answers MethodQueryAnswered.
func (q *Quarantiner) HandleQueryAnswered(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var asked testifyParams
	if err := json.Unmarshal(params, &asked); err != nil {
		return nil, err
	}

	return q.testify(asked), nil
}

func (q *Quarantiner) testify(asked testifyParams) testimony {
	now := time.Now()

	var answer testimony

	for _, s := range asked.Suspects {
		if q.witness.saw(s.Key, now.Add(-time.Duration(s.AgeMS)*time.Millisecond)) {
			answer.Answered = append(answer.Answered, s.Key)
		}
	}

	return answer
}

// HandleQuarantine answers MethodQuarantine.
func (q *Quarantiner) HandleQuarantine(_ context.Context, from string, params json.RawMessage) (any, error) {
	var told quarantineParams
	if err := json.Unmarshal(params, &told); err != nil {
		return nil, err
	}

	now := time.Now()

	for _, entry := range told.Entries {
		if q.table.add(now, entry) {
			q.enter(entry, from)
		}
	}

	return struct{}{}, nil
}
