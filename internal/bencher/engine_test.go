package bencher

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type planned struct {
	at       time.Duration
	priority int
	length   float64
}

// playJobs runs the jobs on one engine and returns their ends in milliseconds.
func playJobs(batch int, jobs []planned, change func(*engine)) []int64 {
	clock := &timeline{}
	e := newEngine(ServerModel{Batch: batch, Step: 10 * time.Millisecond, Slowdown: 0.04}, clock)
	ends := make([]int64, len(jobs))

	for i, p := range jobs {
		clock.after(p.at, func() {
			e.submit(&job{priority: p.priority, length: p.length, first: func() {}, broken: func() { ends[i] = -1 },
				end: func() { ends[i] = clock.now.Round(time.Millisecond).Milliseconds() }})
		})
	}

	if change != nil {
		clock.after(45*time.Millisecond, func() { change(e) })
	}

	clock.run(time.Minute, func() bool { return false })

	return ends
}

func TestEngineTimes(t *testing.T) {
	ms := time.Millisecond
	cases := map[string]struct {
		batch  int
		jobs   []planned
		change func(*engine)
		want   []int64
	}{
		"four answers are 12 % slower each":         {4, []planned{{0, 1, 10}, {0, 1, 10}, {0, 1, 10}, {0, 1, 10}}, nil, []int64{112, 112, 112, 112}},
		"higher priority puts the running one back": {1, []planned{{0, 3, 10}, {45 * ms, 1, 10}}, nil, []int64{200, 145}},
		"equal priority waits":                      {1, []planned{{0, 2, 10}, {45 * ms, 2, 10}}, nil, []int64{100, 200}},
		"by priority, then arrival":                 {1, []planned{{0, 0, 10}, {0, 5, 10}, {ms, 4, 10}, {2 * ms, 4, 10}}, nil, []int64{100, 400, 200, 300}},
		"a straggler takes five times as long":      {1, []planned{{0, 1, 10}}, func(e *engine) { e.setFactor(straggleFactor) }, []int64{320}},
		"a crash breaks running and waiting":        {1, []planned{{0, 1, 10}, {0, 1, 10}}, (*engine).crash, []int64{-1, -1}},
		"silence ends nothing":                      {2, []planned{{0, 1, 10}, {0, 1, 10}}, (*engine).goSilent, []int64{0, 0}},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, playJobs(c.batch, c.jobs, c.change), c.want)
		})
	}
}
