// Command cases plays a scripted case of the review of issue 83 against processes of the built program, with stand-ins for the platform's
// store, servers and requesters. It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case couldn't run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync"
	"time"
)

// limit is how long a case may run.
const limit = 110 * time.Second

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// write writes one line with the seconds since the start.
func (r *record) write(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()

	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// play plays a case and returns whether its rule was broken.
type play func(ctx context.Context, r *record, trouble bool) (broken bool, err error)

var cases = map[string]play{
	"changes":   playChanges,
	"anonymous": playAnonymous,
}

func main() {
	name := flag.String("case", "", "the case to play")
	path := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "whether the disruption takes place")
	flag.Parse()

	os.Exit(run(*name, *path, *trouble))
}

func run(name, path string, trouble bool) int {
	played, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "there is no case", name)

		return exitNotRun
	}

	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return exitNotRun
	}
	defer file.Close()

	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()

	r := &record{file: file, began: time.Now()}
	broken, err := played(ctx, r, trouble)

	switch {
	case err != nil:
		r.write("the case couldn't run: %v", err)
		fmt.Println("not run:", err)

		return exitNotRun
	case broken:
		r.write("the rule was broken")
		fmt.Println("broken")

		return exitBroken
	default:
		r.write("the rule held")
		fmt.Println("held")

		return exitHeld
	}
}
