//go:build review

// Package standin runs the cases of the review: it starts the daemons of the deploy file as processes, with a
// platform, servers and clients that follow the users' pages, and checks one rule. It is built as a test program of
// its own (review/build.sh) and takes no part in the usual tests.
//
// # Usage
//
//	target/review-standin NAME RECORD-FILE # in the root of the repository
//
// TROUBLE=0 leaves the disruption out. The exit code is 1 if the rule was broken, 0 if it held and 2 if the case
// could not run.
package standin

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// maxTime bounds the start of the daemons, lastTime a case as a whole.
const (
	maxTime  = 60 * time.Second
	lastTime = 115 * time.Second
)

// endOnSignal ends all processes that were started when this one is to end, or when a case takes too long.
func endOnSignal(w *world) {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-stop:
	case <-time.After(lastTime):
	}
	w.close()
	os.Exit(2)
}

var cases = map[string]func(context.Context, *world) (broken []string, err error){}

// TestMain runs one case in place of tests.
func TestMain(*testing.M) { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin NAME RECORD-FILE")
		return 2
	}
	// A reader that is gone must not end this process before it has ended the daemons.
	signal.Ignore(syscall.SIGPIPE)
	record, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.printf("case %s, disruption %v", os.Args[1], trouble)
	w, err := newWorld(record, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	go endOnSignal(w)
	ctx, cancel := context.WithTimeout(context.Background(), maxTime)
	defer cancel()
	broken, err := cases[os.Args[1]](ctx, w)
	w.close()
	if err != nil {
		record.printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for _, b := range broken {
		record.printf("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	if len(broken) > 0 {
		return 1
	}
	record.printf("the rule held")
	fmt.Println("the rule held")
	return 0
}
