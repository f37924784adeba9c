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
	Address string `json:"address,omitempty"`
	Service string `json:"service,omitempty"`
	// AgeMS is how long ago the crash was.
	AgeMS int64 `json:"age_ms"`
	// Answering are the requests of which part of the answer had arrived, Waiting the others.
	Waiting   []Key `json:"waiting,omitempty"`
	Answering []Key `json:"answering,omitempty"`
	// Parts are the prompt parts that these requests named.
	Parts []reportedPart `json:"parts,omitempty"`
}

// reportedPart is a prompt part that requests named which ran on an upstream when it crashed.
type reportedPart struct {
	Key Key    `json:"key"`
	ID  string `json:"id"`
	// Position is the largest index of the part in the prompts.
	Position int `json:"position"`
	// SentAgeMS is how long ago the latest of the requests was sent.
	SentAgeMS int64 `json:"sent_age_ms"`
	// Request is the only request of the report that named the part; the zero Key if there were several.
	Request Key `json:"request"`
}

// newCrashReport returns the requests of a failure that were not reported yet.
func newCrashReport(failure *upstreamFailure, now time.Time) crashReport {
	report := crashReport{
		Instance: failure.instance, Address: failure.address, Service: failure.service, AgeMS: now.Sub(failure.at).Milliseconds(),
	}
	runs := make(map[Key]*partRun)

	var parts []Part

	for _, r := range failure.requests[failure.reported:] {
		if r.answering {
			report.Answering = append(report.Answering, r.Content)
		} else {
			report.Waiting = append(report.Waiting, r.Content)
		}

		for i, part := range r.Parts {
			run := partRun{id: part.ID, position: i, sentAt: r.sentAt, request: r.Content}

			if known, ok := runs[part.Key]; ok {
				known.add(run)

				continue
			}

			runs[part.Key] = &run

			parts = append(parts, part)
		}
	}

	for _, part := range parts {
		run := runs[part.Key]
		report.Parts = append(report.Parts, reportedPart{
			Key: part.Key, ID: part.ID, Position: run.position, SentAgeMS: now.Sub(run.sentAt).Milliseconds(), Request: run.request,
		})
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
	// Service is the service whose upstreams crashed; set for prompt parts only.
	Service string `json:"service,omitempty"`
}

type queryAnsweredResult struct {
	// Answered are the suspects that the node saw answered since their first crash.
	Answered []Key `json:"answered,omitempty"`
	// Known are the prompt parts that the node saw answered before.
	Known []Key `json:"known,omitempty"`
	// Serving are the prompt parts since whose first crash the node saw some request to their service answered.
	Serving []Key `json:"serving,omitempty"`
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
		since := now.Add(-time.Duration(s.AgeMS) * time.Millisecond)

		switch {
		case q.answeredLog.contains(s.Key, since) || q.answeredParts.containsSince(s.Key, since):
			answer.Answered = append(answer.Answered, s.Key)
		case q.answeredParts.containsSince(s.Key, time.Time{}):
			answer.Known = append(answer.Known, s.Key)
		}

		if s.Service != "" && q.answeredParts.serves(s.Service, since) {
			answer.Serving = append(answer.Serving, s.Key)
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
