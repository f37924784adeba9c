package balancer

import (
	"time"

	"quincepath.example/quincepath/internal/gateway/estimator"
)

// ServerReport is the state of one server as the pool sees it.
type ServerReport struct {
	ID      string `json:"id"`
	Running int    `json:"running"`
	// Foreign is the number of requests at the server that other nodes sent without this pool.
	Foreign float64 `json:"foreign"`
	// BacklogTokens is the number of prompt tokens of requests without a first event.
	BacklogTokens float64 `json:"backlog_tokens"`
	// Slowdown is the learned ratio of real to expected times.
	Slowdown float64 `json:"speed"`
	// Failures is the recent fraction of failed requests.
	Failures float64 `json:"failures"`
	// OverdueMS is how much longer than expected the server has answered nothing.
	OverdueMS float64 `json:"overdue_ms"`
	Draining  bool    `json:"draining,omitempty"`
	// LimitPerSecond is the rate that the server names, LimitTokens the number of requests that it may get at once by this
	// node's account. Both are 0 without a limit.
	LimitPerSecond float64 `json:"limit_per_second,omitempty"`
	LimitTokens    float64 `json:"limit_tokens,omitempty"`
	// Brittle is set if the server falls over when it has to reject too many requests; it then gets BrittleRoom at once.
	Brittle     bool    `json:"brittle,omitempty"`
	BrittleRoom float64 `json:"brittle_room,omitempty"`
	// Pace is the lasting ratio of the server's times to those of the pool's usual server, Slowness the momentary ratio to its
	// lasting ones, WorkTime what it last reported, in percent. Slots is the number of slots that it reported. All are 0 if the
	// pool keeps no pace, or if nothing is known.
	Pace     float64 `json:"pace,omitempty"`
	Slowness float64 `json:"slowness,omitempty"`
	WorkTime float64 `json:"work_time,omitempty"`
	Slots    int     `json:"reported_slots,omitempty"`
}

// Estimates returns the estimated performance of the pool's servers.
func (p *Pool) Estimates() estimator.Estimates {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.model.Estimates()
}

// Report returns the state of the pool's servers.
func (p *Pool) Report(now time.Time) []ServerReport {
	p.mu.Lock()
	defer p.mu.Unlock()

	reports := make([]ServerReport, 0, len(p.servers))
	for _, s := range p.servers {
		report := ServerReport{
			ID:            s.ID,
			Running:       len(s.running),
			Foreign:       s.foreignNow(now),
			BacklogTokens: s.backlog,
			Slowdown:      s.slowdownNow(now),
			Failures:      s.failuresNow(now),
			OverdueMS:     s.overdueMS(now),
			Draining:      s.Draining,
		}

		if limit := s.bucket.Limit(); limit.Active() {
			report.LimitPerSecond, report.LimitTokens = limit.PerSecond, s.bucket.Requests(now)
		}

		if _, brittle := p.isBrittle(now, s); brittle {
			report.Brittle, report.BrittleRoom = true, p.brittleRoom(s)
		}

		if v := s.pace; v != nil {
			report.Pace, report.Slowness, report.WorkTime = v.lasting(now), v.slownessNow(now), v.reported
			report.Slots = v.slots
		}

		reports = append(reports, report)
	}

	return reports
}
