package quarantiner

import (
	"context"
	"encoding/json"
	"time"
)

// reportParams and the types below are the payloads of the RPC methods between nodes.
type reportParams struct {
	Crashes []crashReport `json:"crashes"`
}

// crashReport lists requests of the sender that ran on an upstream when it crashed.
type crashReport struct {
	Instance
	// AgeMS is how long ago the crash was.
	AgeMS int64 `json:"age_ms"`
	// Answering are the requests of which part of the answer had arrived, Waiting the others.
	Waiting   []Key `json:"waiting,omitempty"`
	Answering []Key `json:"answering,omitempty"`
}

// newCrashReport returns the requests of a failure that were not reported yet.
func newCrashReport(failure *upstreamFailure, now time.Time) crashReport {
	report := crashReport{Instance: failure.instance, AgeMS: now.Sub(failure.at).Milliseconds()}

	for _, r := range failure.requests[failure.reported:] {
		if r.answering {
			report.Answering = append(report.Answering, r.key)
		} else {
			report.Waiting = append(report.Waiting, r.key)
		}
	}

	return report
}

type queryAnsweredParams struct {
	Suspects []suspectItem `json:"suspects"`
}

type suspectItem struct {
	Key Key `json:"key"`
	// AgeMS is how long ago its first crash was.
	AgeMS int64 `json:"age_ms"`
}

type queryAnsweredResult struct {
	// Answered are the suspects that the node saw answered since their first crash.
	Answered []Key `json:"answered,omitempty"`
}

type quarantineParams struct {
	Entries []Quarantine `json:"entries"`
}

// HandleReport handles MethodReport.
func (q *Quarantiner) HandleReport(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var told reportParams
	if err := json.Unmarshal(params, &told); err != nil {
		return nil, err
	}

	q.addReports(told.Crashes)

	return struct{}{}, nil
}

func (q *Quarantiner) addReports(reports []crashReport) {
	now := time.Now()
	quarantined := func(key Key) bool {
		_, held := q.table.find(now, key)

		return held
	}

	for _, r := range reports {
		at := now.Add(-time.Duration(r.AgeMS) * time.Millisecond)
		q.detector.addReport(now, at, r, quarantined)
	}
}

// HandleQueryAnswered handles MethodQueryAnswered.
func (q *Quarantiner) HandleQueryAnswered(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var asked queryAnsweredParams
	if err := json.Unmarshal(params, &asked); err != nil {
		return nil, err
	}

	return q.queryAnswered(asked), nil
}

func (q *Quarantiner) queryAnswered(asked queryAnsweredParams) queryAnsweredResult {
	now := time.Now()

	var answer queryAnsweredResult

	for _, s := range asked.Suspects {
		if q.answeredLog.contains(s.Key, now.Add(-time.Duration(s.AgeMS)*time.Millisecond)) {
			answer.Answered = append(answer.Answered, s.Key)
		}
	}

	return answer
}

// HandleQuarantine handles MethodQuarantine.
func (q *Quarantiner) HandleQuarantine(_ context.Context, from string, params json.RawMessage) (any, error) {
	var told quarantineParams
	if err := json.Unmarshal(params, &told); err != nil {
		return nil, err
	}

	now := time.Now()

	for _, entry := range told.Entries {
		if q.table.add(now, entry) {
			q.onQuarantined(entry, from)
		}
	}

	return struct{}{}, nil
}
