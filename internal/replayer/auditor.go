package replayer

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const auditLimit = 10 * time.Second

// ClassKey names a class of a service.
type ClassKey struct {
	Service, Class string
}

// String returns "service/class", as in reports and files of stated outcomes.
func (k ClassKey) String() string {
	return k.Service + "/" + k.Class
}

// KeyOf returns the class of an outcome.
func KeyOf(o Outcome) ClassKey {
	return ClassKey{Service: o.Event.Service, Class: o.Event.Class}
}

// Audit is what the stand-ins' own records say about a played trace.
type Audit struct {
	// Produced is the number of tokens that engines made, by class.
	Produced map[ClassKey]int
	// Unassigned is the number of tokens of runs whose caller never learnt the
	// request's id, such as when the connection broke before the first byte.
	Unassigned int
	// Doubles are the idempotency keys, or else the request ids, of not repeatable events that ran more than once, by class.
	Doubles map[ClassKey][]string
	// NotRunButRan has the ids of requests that ran although their caller was told that they did not.
	NotRunButRan map[ClassKey][]string
}

// standInRun is one row of a stand-in's record; Run is zero for engines.
type standInRun struct {
	RequestID      string    `json:"request_id"`
	IdempotencyKey string    `json:"idempotency_key"`
	Run            int       `json:"run"`
	Tokens         int       `json:"tokens"`
	Offset         int       `json:"offset"`
	StartedAt      time.Time `json:"started_at"`
	At             time.Time `json:"at"`
}

// AuditStandIns reads the records of the stand-ins at the given IP:port addresses and compares them with the result.
func AuditStandIns(ctx context.Context, client Doer, addresses []string, result Result) (Audit, error) {
	var runs []standInRun

	for _, v := range addresses {
		more, err := readRuns(ctx, client, v)
		if err != nil {
			return Audit{}, err
		}

		runs = append(runs, more...)
	}

	return compare(runs, result), nil
}

func readRuns(ctx context.Context, client Doer, address string) ([]standInRun, error) {
	ctx, cancel := context.WithTimeout(ctx, auditLimit)
	defer cancel()

	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/standin/runs", nil)
	if err != nil {
		return nil, errors.Wrapf(err, "stand-in %s", address)
	}

	response, err := client.Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "stand-in %s", address)
	}
	defer response.Body.Close()

	var runs []standInRun

	return runs, errors.Wrapf(json.NewDecoder(response.Body).Decode(&runs), "stand-in %s", address)
}

// auditor compares runs with outcomes.
type auditor struct {
	audit Audit
	// byID and byKey find the caller of a run by its request id or idempotency key.
	byID, byKey map[string]*Outcome
	notRun      map[string]bool
	// counts are the runs of each idempotency key or request id, without resumed ones.
	counts map[string]int
}

func compare(runs []standInRun, result Result) Audit {
	a := auditor{
		audit: Audit{
			Produced:     map[ClassKey]int{},
			Doubles:      map[ClassKey][]string{},
			NotRunButRan: map[ClassKey][]string{},
		},
		byID:   map[string]*Outcome{},
		byKey:  map[string]*Outcome{},
		notRun: map[string]bool{},
		counts: map[string]int{},
	}

	for i := range result.Outcomes {
		a.know(&result.Outcomes[i])
	}

	for _, v := range runs {
		if !v.StartedAt.Before(result.Started) || !v.At.Before(result.Started) {
			a.add(v)
		}
	}

	return a.audit
}

func (a *auditor) know(o *Outcome) {
	for _, id := range o.RequestIDs {
		a.byID[id] = o
	}

	for _, id := range o.NotRunIDs {
		a.notRun[id] = true
	}

	if o.Event.IdempotencyKey != "" {
		a.byKey[o.Event.IdempotencyKey] = o
	}
}

func (a *auditor) add(run standInRun) {
	owner := a.byID[run.RequestID]
	if owner == nil && run.IdempotencyKey != "" {
		owner = a.byKey[run.IdempotencyKey]
	}

	if owner == nil {
		a.audit.Unassigned += run.Tokens

		return
	}

	class := KeyOf(*owner)
	a.audit.Produced[class] += run.Tokens

	if a.notRun[run.RequestID] {
		a.audit.NotRunButRan[class] = append(a.audit.NotRunButRan[class], run.RequestID)
	}

	key := owner.Event.IdempotencyKey
	if key == "" {
		key = run.RequestID
	}

	if !owner.Event.NotRepeatable || run.Offset > 0 {
		return
	}

	if a.counts[key]++; a.counts[key] == 2 {
		a.audit.Doubles[class] = append(a.audit.Doubles[class], key)
	}
}
