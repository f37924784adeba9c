package bencher

import "quincepath.example/quincepath/internal/scheduler"

// Choice is one policy that can be compared.
type Choice struct {
	Name  string
	Build func(World) Policy
}

// defaultPool is how a node's pools decide by default.
var defaultPool = scheduler.Options{EnginePriority: true}

// Choices returns the policies in the order of the tables; the baseline comes first.
func Choices() []Choice {
	return []Choice{
		{Name: baselineName, Build: NewBaseline},
		queueChoice(QueueOptions{Name: "queue", Pool: defaultPool}),
		queueChoice(QueueOptions{Name: "queue_prefixes", Prefixes: true, Pool: defaultPool}),
		queueChoice(QueueOptions{Name: "queue_batched", Batched: true, Pool: defaultPool}),
		queueChoice(QueueOptions{Name: "queue_steered", Steered: true, Pool: defaultPool}),
		queueChoice(QueueOptions{Name: "queue_preemption"}),
		queueChoice(QueueOptions{Name: "queue_no_preemption", Pool: scheduler.Options{NoPreemption: true}}),
	}
}

func queueChoice(options QueueOptions) Choice {
	return Choice{Name: options.Name, Build: NewQueue(options)}
}
