// Package review_test plays a scripted case of the review of issue 83 against processes of the built program, with stand-ins for the platform's
// store, servers and requesters. It has no test: built by review/build-2.sh, it plays the case that REVIEW_CASE names, and exits with 1 if the
// rule of the case was broken, with 0 if it held, and with 2 if the case couldn't run.
package review_test

import (
	"context"
	_ "embed" // names.json
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"testing"
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
	"4": playChanges,
	"6": playAnonymous,
}

// names are the names of the users' pages, which stand in no Go file outside platform/.
var names struct {
	ConfigurationKey string `json:"configuration_key"`
	PathPrefix       string `json:"path_prefix"`
	ExpectedServer   string `json:"expected_server"`
	Signature        string `json:"signature"`
	Deadline         string `json:"deadline"`
}

//go:embed names.json
var namesText []byte

func TestMain(m *testing.M) {
	name := os.Getenv("REVIEW_CASE")
	if name == "" {
		os.Exit(m.Run())
	}

	if err := json.Unmarshal(namesText, &names); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}

	os.Exit(run(name, os.Getenv("REVIEW_RECORD"), os.Getenv("TROUBLE") != "0"))
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
