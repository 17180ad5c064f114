// Command cases plays the cases of the review. Each starts controllers as processes, with stand-ins for all else.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"

	"bitternwing/internal/wire"
)

// cases are the cases by number. A case returns what broke the rule, or "".
var cases = map[string]func(*environment) (string, error){
	"waiting": caseWaiting,
	"rollout": caseRollout,
	"huge":    caseHuge,
}

func main() {
	runtime.LockOSThread() // the controllers end with this thread
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// longestRun is when a case is given up.
const longestRun = 118 * time.Second

func run(name, folder string) int {
	log, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = log.Close() }()
	dir, err := os.MkdirTemp("", "bitternwing-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	e := &environment{trouble: os.Getenv("TROUBLE") != "0", dir: dir, log: log, startedAt: time.Now(), jobs: map[string]*wire.Job{},
		faultyJobs: map[string]bool{}, runTimes: map[string]time.Duration{}, bootTime: 1500 * time.Millisecond}
	defer e.tearDown()
	time.AfterFunc(longestRun, func() {
		fmt.Println("could not run: no result in time")
		e.tearDown()
		os.Exit(2)
	})
	broken, err := cases[name](e)
	var noRun errCantRun
	switch {
	case errors.As(err, &noRun):
		e.record("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case err != nil:
		e.record("error: %v", err)
		fmt.Println("error:", err)
		return 2
	case broken != "":
		e.record("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return 1
	}
	e.record("the rule held")
	fmt.Println("held")
	return 0
}
