// Package sharder runs the tests of a test binary side by side, each test function in a process of
// its own.
//
// It serves tests that cannot run side by side in one process, such as whole fleets in
// testing/synctest bubbles, of which the race detector allows only one per process, on one
// processor. The test binary lists its tests, starts itself again for each of them, and prints the
// output of each when it has ended. New test functions need no registration.
//
// The flags of go test work as usual: -run and -skip select the tests, -parallel bounds the number
// of processes further, -timeout applies to all of them together, and the others are handed on. The tests
// run in the calling process as if there were no sharder, so that debuggers and profilers can be
// used, if only one test is selected or a flag is set that concerns one process, such as -bench,
// -fuzz, -cover and the profiles. Results are not cached by go test.
//
// # Usage
//
//	func TestMain(m *testing.M) { os.Exit(sharder.New(sharder.Config{}).Run(m)) }
package sharder

import (
	"bytes"
	"cmp"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"regexp"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// shardEnv is the environment variable that marks a process which runs one test for a sharder.
const shardEnv = "BRASSCHUTE_TEST_SHARD"

// singleProcessFlags are the flags that a run over several processes cannot honour. They are unset
// or have the default that is given here, or all tests run in one process.
var singleProcessFlags = map[string]string{
	"test.bench": "", "test.blockprofile": "", "test.coverprofile": "", "test.cpuprofile": "", "test.fuzz": "",
	"test.gocoverdir": "", "test.list": "", "test.memprofile": "", "test.mutexprofile": "", "test.shuffle": "off", "test.trace": "",
}

// Config configures a sharder. The zero value serves a TestMain.
type Config struct {
	// Output receives the output of the tests; os.Stdout by default.
	Output io.Writer
	// First names tests that are started before the others: a long one that starts last would
	// run alone at the end.
	First []string
	// Processes bounds the tests that run at the same time, besides -parallel; by default half as
	// many as processors, because go test runs the tests of other packages beside these.
	Processes int
}

// Sharder runs the tests of one test binary.
type Sharder struct {
	c      Config
	start  time.Time
	failed atomic.Bool
	mu     sync.Mutex // guards writes to c.Output
}

// New returns a sharder.
func New(c Config) *Sharder {
	if c.Output == nil {
		c.Output = os.Stdout
	}
	if c.Processes == 0 {
		c.Processes = (runtime.GOMAXPROCS(0) + 1) / 2
	}
	return &Sharder{c: c, start: time.Now()}
}

// Run runs the selected tests and returns the exit code of the test binary.
func (s *Sharder) Run(m *testing.M) int {
	if !flag.Parsed() {
		flag.Parse()
	}
	if os.Getenv(shardEnv) != "" {
		go exitWithParent()
		return m.Run()
	}
	names, err := selectedTests()
	if err != nil {
		fmt.Fprintln(s.c.Output, "sharder:", err)
		return 2
	}
	if len(names) <= 1 {
		return m.Run()
	}
	s.runAll(names)
	// With -v=test2json, lines that report results begin with this character.
	prefix := ""
	if verbose, ok := flag.Lookup("test.v").Value.(flag.Getter); ok && verbose.Get() == "test2json" {
		prefix = "\x16"
	}
	if s.failed.Load() {
		fmt.Fprintf(s.c.Output, "%sFAIL\n", prefix)
		return 1
	}
	fmt.Fprintf(s.c.Output, "%sPASS\n", prefix)
	return 0
}

// exitWithParent ends this process when the sharder that started it has ended in whatever way,
// which closes the pipe.
func exitWithParent() {
	_, _ = io.Copy(io.Discard, os.Stdin)
	os.Exit(2)
}

// selectedTests lists the tests that the flags select. It returns none if they must run in one
// process.
func selectedTests() ([]string, error) {
	if flag.NArg() > 0 {
		return nil, nil
	}
	for name, standard := range singleProcessFlags {
		if f := flag.Lookup(name); f != nil && f.Value.String() != standard {
			return nil, nil
		}
	}
	run, skip := flag.Lookup("test.run").Value.String(), flag.Lookup("test.skip").Value.String()
	// Patterns with alternatives of several levels are left to package testing.
	if strings.Contains(run+skip, "/") && strings.Contains(run+skip, "|") {
		return nil, nil
	}
	list, err := execSelf("-test.list=.")
	if err != nil {
		return nil, fmt.Errorf("list the tests: %w\n%s", err, list)
	}
	return filterNames(strings.Fields(string(list)), run, skip)
}

// filterNames returns the names of tests that run selects and skip does not. A skip pattern of
// several levels concerns subtests only.
func filterNames(names []string, run, skip string) (out []string, err error) {
	first, _, _ := strings.Cut(run, "/")
	selects, err := regexp.Compile(first)
	if err != nil {
		return nil, err
	}
	skips, err := regexp.Compile(skip)
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		skipped := skip != "" && !strings.Contains(skip, "/") && skips.MatchString(name)
		if selects.MatchString(name) && !skipped && !strings.HasPrefix(name, "Benchmark") {
			out = append(out, name)
		}
	}
	return out, nil
}

// runAll runs the tests in processes of their own, as many at a time as allowed.
func (s *Sharder) runAll(names []string) {
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(s.rank(a), s.rank(b)) })
	parallel := flag.Lookup("test.parallel").Value.(flag.Getter).Get().(int)
	failFast := flag.Lookup("test.failfast").Value.String() == "true"
	slots := make(chan struct{}, max(1, min(parallel, s.c.Processes)))
	var running sync.WaitGroup
	for _, name := range names {
		slots <- struct{}{}
		if failFast && s.failed.Load() {
			break
		}
		running.Go(func() {
			defer func() { <-slots }()
			s.runTest(name)
		})
	}
	running.Wait()
}

// rank returns the place of a test in the order of their start.
func (s *Sharder) rank(name string) int {
	if i := slices.Index(s.c.First, name); i >= 0 {
		return i
	}
	return len(s.c.First)
}

// runTest runs one test in a process of its own and prints its output.
func (s *Sharder) runTest(name string) {
	start := time.Now()
	out, err := s.execTest(name)
	if err == nil && bytes.Contains(out, []byte("testing: warning: no tests to run")) {
		err = fmt.Errorf("the process ran no test")
	}
	out = trimResult(out)
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.c.Output.Write(out)
	if err == nil {
		return
	}
	s.failed.Store(true)
	// A process that ended before the test did reports no failure itself.
	if !bytes.Contains(out, []byte("--- FAIL: "+name+" ")) {
		fmt.Fprintf(s.c.Output, "--- FAIL: %s (%.2fs)\n    sharder: %v\n", name, time.Since(start).Seconds(), err)
	}
}

// execTest runs one test in a process of its own and returns its output.
func (s *Sharder) execTest(name string) ([]byte, error) {
	pattern := "^" + name + "$"
	if _, subtests, ok := strings.Cut(flag.Lookup("test.run").Value.String(), "/"); ok {
		pattern += "/" + subtests
	}
	args := slices.Concat(os.Args[1:], []string{"-test.run=" + pattern, "-test.testlogfile="})
	if timeout := flag.Lookup("test.timeout").Value.(flag.Getter).Get().(time.Duration); timeout > 0 {
		left := timeout - time.Since(s.start)
		if left <= 0 {
			return nil, fmt.Errorf("not run: the tests have run for %v", timeout)
		}
		args = append(args, "-test.timeout="+left.String())
	}
	return execSelf(args...)
}

// execSelf runs this test binary in another process, which ends with this one, and returns its
// output.
func execSelf(args ...string) ([]byte, error) {
	path, err := os.Executable()
	if err != nil {
		return nil, err
	}
	c := exec.Command(path, args...)
	c.Env = append(os.Environ(), shardEnv+"=1")
	stdin, err := c.StdinPipe()
	if err != nil {
		return nil, err
	}
	defer stdin.Close()
	return c.CombinedOutput()
}

// trimResult removes the last line of a test binary that has ended by itself, which is printed
// once for all tests.
func trimResult(out []byte) []byte {
	for _, line := range []string{"PASS\n", "FAIL\n"} {
		if rest, ok := bytes.CutSuffix(out, []byte(line)); ok {
			return bytes.TrimSuffix(rest, []byte("\x16"))
		}
	}
	return out
}
