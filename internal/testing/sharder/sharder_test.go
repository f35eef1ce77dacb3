package sharder

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// fixtureEnv names the directory in which the sample tests meet. Without it they do nothing.
const fixtureEnv = "BRASSCHUTE_SHARDER_FIXTURES"

// The test binary starts itself with fixtureEnv set to run the sample tests below in a sharder.
func TestMain(m *testing.M) {
	if os.Getenv(fixtureEnv) != "" {
		os.Exit(New(Config{First: []string{"TestSamplePassB"}, Processes: 2}).Run(m))
	}
	os.Exit(m.Run())
}

// sample returns the directory in which the sample tests meet, and false outside a sharder.
func sample() (dir string, ok bool) {
	dir = os.Getenv(fixtureEnv)
	return dir, dir != ""
}

// meet waits until the other of two sample tests runs too.
func meet(t *testing.T, own, other string) {
	dir, ok := sample()
	if !ok {
		return
	}
	if err := os.WriteFile(filepath.Join(dir, own), []byte(strconv.Itoa(os.Getpid())), 0o600); err != nil {
		t.Fatal(err)
	}
	for range 1000 {
		if _, err := os.Stat(filepath.Join(dir, other)); err == nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the other test does not run at the same time")
}

func TestSampleMeetA(t *testing.T) { meet(t, "a", "b") }
func TestSampleMeetB(t *testing.T) { meet(t, "b", "a") }

func TestSamplePassA(t *testing.T) { t.Log("sample log line") }
func TestSamplePassB(*testing.T)   {}

func TestSampleFailure(t *testing.T) {
	if _, ok := sample(); ok {
		t.Error("sample failure")
	}
}

func TestSamplePanic(*testing.T) {
	if _, ok := sample(); ok {
		panic("sample panic")
	}
}

func TestSampleExit(*testing.T) {
	if _, ok := sample(); ok {
		os.Exit(0)
	}
}

func TestSampleKill(*testing.T) {
	if _, ok := sample(); ok {
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
		select {}
	}
}

func TestSampleEndless(*testing.T) {
	if dir, ok := sample(); ok {
		_ = os.WriteFile(filepath.Join(dir, "endless"), []byte(strconv.Itoa(os.Getpid())), 0o600)
		time.Sleep(time.Hour)
	}
}

func TestSampleSubtests(t *testing.T) {
	t.Run("good", func(*testing.T) {})
	t.Run("bad", func(t *testing.T) {
		if _, ok := sample(); ok {
			t.Error("sample failure")
		}
	})
}

func BenchmarkSample(*testing.B) {}

// command returns the command that runs the sample tests in a sharder.
func command(dir string, args ...string) *exec.Cmd {
	c := exec.Command(os.Args[0], args...)
	// The race detector would let each process sleep for a second at its end.
	c.Env = append(os.Environ(), fixtureEnv+"="+dir, "GORACE=atexit_sleep_ms=0")
	return c
}

// check runs the sample tests with args and checks the exit code, and that the output contains
// some texts and lacks others, which begin with "!".
func check(t *testing.T, code int, texts []string, args ...string) {
	t.Helper()
	c := command(t.TempDir(), args...)
	out, err := c.CombinedOutput()
	if err != nil && !errors.As(err, new(*exec.ExitError)) {
		t.Fatal(err)
	}
	if got := c.ProcessState.ExitCode(); got != code {
		t.Errorf("%v: exit code %d, want %d", args, got, code)
	}
	for _, text := range texts {
		unwanted, lacks := strings.CutPrefix(text, "!")
		if lacks && bytes.Contains(out, []byte(unwanted)) || !lacks && !bytes.Contains(out, []byte(text)) {
			t.Errorf("%v: %q: output\n%s", args, text, out)
		}
	}
}

// Tests that ran one after the other would never meet.
func TestTestsRunSideBySide(t *testing.T) {
	check(t, 0, []string{"PASS\n", "!FAIL"}, "-test.run=SampleMeet", "-test.parallel=2", "-test.timeout=1m")
}

// A failure that is lost, in whatever way the process ends, would let a broken change pass.
func TestFailuresFailTheRun(t *testing.T) {
	for _, test := range []struct{ name, text string }{
		{"Failure", "sample failure"},
		{"Panic", "panic: sample panic"},
		{"Exit", "unexpected call to os.Exit(0)"},
		{"Kill", "signal: killed"},
		{"Subtests", "    --- FAIL: TestSampleSubtests/bad"},
		{"Endless", "test timed out after"},
	} {
		t.Run(test.name, func(t *testing.T) {
			run := fmt.Sprintf("-test.run=^TestSample(PassA|PassB|%s)$", test.name)
			check(t, 1, []string{test.text, "--- FAIL: TestSample" + test.name + " (", "\nFAIL\n", "!PASS"}, run, "-test.paniconexit0", "-test.timeout=3s")
		})
	}
}

// Tests that start after the timeout must fail, or a slow run would pass without them.
func TestTestsThatDoNotStartInTimeFail(t *testing.T) {
	check(t, 1, []string{"--- FAIL: TestSampleSubtests (", "not run", "\nFAIL\n"},
		"-test.run=^TestSample(Endless|Subtests)$", "-test.timeout=1s", "-test.parallel=1")
}

// The flags of go test select tests and subtests and show their output.
func TestFlagsWorkAsUsual(t *testing.T) {
	check(t, 0, []string{"!RUN", "!sample log", "PASS\n"}, "-test.run=SamplePass")
	check(t, 0, []string{"--- PASS: TestSamplePassA", "sample log line", "--- PASS: TestSamplePassB", "!Meet"}, "-test.run=SamplePass", "-test.v=true")
	check(t, 0, []string{"\x16=== RUN   TestSamplePassA", "\x16PASS\n"}, "-test.run=SamplePass", "-test.v=test2json")
	check(t, 0, []string{"--- PASS: TestSampleSubtests/good", "!bad"}, "-test.run=Sample(Subtests|PassB)", "-test.skip=Subtests/bad", "-test.v=true")
	check(t, 0, []string{"--- PASS: TestSampleSubtests/good", "!bad"}, "-test.run=SampleSub/good", "-test.v=true")
	check(t, 0, []string{"--- PASS: TestSampleSubtests/good", "--- PASS: TestSamplePassA", "!bad", "!Panic"}, "-test.run=Sample[SP][ua][bs][ts]/good", "-test.v=true")
	check(t, 0, []string{"--- PASS: TestSamplePassA", "!Failure"}, "-test.run=Sample(Pass|Failure)", "-test.skip=Failure", "-test.v=true")
	check(t, 1, []string{"--- FAIL: TestSampleFailure", "!Subtests"}, "-test.run=Sample(Failure|Subtests)", "-test.failfast", "-test.parallel=1")
	check(t, 0, []string{"--- PASS: TestSamplePassB", "!Benchmark"}, "-test.run=PassB|PassA|BenchmarkSample", "-test.v=true")
	check(t, 0, []string{"testing: warning: no tests to run"}, "-test.run=NoSuchTest")
	check(t, 0, []string{"TestSamplePassA\n"}, "-test.list=SamplePass")
}

// A long test that starts last would run alone at the end.
func TestFirstTestsStartFirst(t *testing.T) {
	check(t, 0, []string{"TestSamplePassB (0.00s)\n=== RUN   TestSamplePassA"}, "-test.run=SamplePass", "-test.v=true", "-test.parallel=1")
}

// Processes that outlive the sharder would hold processors and memory until their own timeout.
func TestProcessesEndWithTheSharder(t *testing.T) {
	dir := t.TempDir()
	c := command(dir, "-test.run=Sample(Endless|PassA)")
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	var child int
	for range 2000 {
		text, err := os.ReadFile(filepath.Join(dir, "endless"))
		if child, _ = strconv.Atoi(string(text)); err == nil && child > 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if child == 0 {
		t.Fatal("the test did not start")
	}
	if child == c.Process.Pid {
		t.Fatal("the test runs in the sharder's process")
	}
	if err := c.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	_ = c.Wait()
	for range 1000 {
		if errors.Is(syscall.Kill(child, 0), syscall.ESRCH) || isZombie(child) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the test's process goes on after the sharder was killed")
}

// isZombie reports whether a process has ended and waits for its parent to notice.
func isZombie(pid int) bool {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, state, ok := bytes.Cut(stat, []byte(") "))
	return err == nil && ok && state[0] == 'Z'
}
