package gateway

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Longer runs are done by hand:
//
//	go test ./internal/role/gateway -run TestDrawnPromptParts -parts.seeds 50 -parts.first 1
var (
	partsSeeds = flag.Int("parts.seeds", 4, "number of seeds to run")
	partsFirst = flag.Uint64("parts.first", 1, "the first seed")
)

// drawnLoad is a drawn load of requests with a guilty part, beside engines that end of themselves.
type drawnLoad struct {
	promptLoad
	daemons int
	// crashTime is the time in which a request with the guilty part crashes its engine.
	crashTime time.Duration
	// isolated is the number of daemons that are isolated for two seconds, one each three seconds.
	isolated int
	// leaving is the number of engines that leave, one a second.
	leaving int
	// harmless is how long requests with the guilty part are served at first.
	harmless time.Duration
	// silent makes engines end without a trace.
	silent bool
	// ends are the times at which engines end of themselves, and how many do so at once.
	ends []drawnEnd
}

type drawnEnd struct {
	after   time.Duration
	engines int
}

// drawLoad draws a load.
func drawLoad(r *rand.Rand) *drawnLoad {
	between := func(low, high time.Duration) time.Duration { return low + time.Duration(r.Int64N(int64(high-low))) }
	l := &drawnLoad{daemons: 4 + r.IntN(12), silent: r.IntN(4) == 0}
	l.minReplies = 20
	l.path = []string{streamPath, resumePath}[r.IntN(2)]
	l.guiltyInterval = between(100*time.Millisecond, 2*time.Second)
	l.soundInterval = between(20*time.Millisecond, 500*time.Millisecond)
	l.crashTime = runTime
	if r.IntN(2) == 0 {
		l.crashTime = between(5*time.Millisecond, 1500*time.Millisecond)
	}
	if r.IntN(2) == 0 {
		l.patience, l.staying = between(l.crashTime/5, 2*l.crashTime), r.IntN(4)
	}
	if r.IntN(3) == 0 {
		l.isolated = r.IntN(l.daemons / 2)
	}
	if r.IntN(3) == 0 {
		l.leaving = r.IntN(engineCount)
	}
	subjects, run := 1+r.IntN(20), 1+r.IntN(5)
	subject := func(n int) string { return fmt.Sprintf("%x:400", 0x9000+n/run%subjects) }
	l.sound = func(n int) string { return "5c1e:800," + subject(n) }
	switch r.IntN(4) {
	case 0:
		l.guilty = func(n int) string { return guiltyPart + ":800," + subject(n) }
	case 1:
		l.guilty = func(n int) string { return "5c1e:800," + guiltyPart + ":200," + subject(n) }
	case 2:
		l.guilty = func(n int) string { return "5c1e:800," + subject(n) + "," + guiltyPart + ":200" }
	default:
		l.guilty = func(int) string { return guiltyPart + ":400" }
	}
	if r.IntN(4) == 0 {
		l.harmless = between(time.Second, 8*time.Second)
	}
	for range r.IntN(4) {
		l.ends = append(l.ends, drawnEnd{between(time.Second, 20*time.Second), 1 + r.IntN(6)})
	}
	return l
}

// String describes a load.
func (l *drawnLoad) String() string {
	return fmt.Sprintf("%d daemons (%d isolated), %s, harmless for %v, silent %v, %d leave, crash in %v, guilty each %v (%s), sound each %v (%s), patience %v, one in %d stays, ends %v",
		l.daemons, l.isolated, l.path, l.harmless, l.silent, l.leaving, l.crashTime, l.guiltyInterval, l.guilty(0), l.soundInterval, l.sound(0), l.patience, l.staying, l.ends)
}

// disturb starts what happens beside the requests.
func (l *drawnLoad) disturb(f *testFleet, e *engineFleet) {
	for i, end := range l.ends {
		time.AfterFunc(end.after, func() {
			e.exitSome(func(place int) bool { return (place+i*7)%engineCount < end.engines })
		})
	}
	for i := range l.isolated {
		time.AfterFunc(time.Duration(3*i+5)*time.Second, func() { f.networks[i].isolated.Store(true) })
		time.AfterFunc(time.Duration(3*i+7)*time.Second, func() { f.networks[i].isolated.Store(false) })
	}
	for i := range l.leaving {
		time.AfterFunc(time.Duration(i+5)*time.Second, func() { e.leave(i) })
	}
}

// Guards against guilty parts that are not held, and sound callers that are, in combinations of clients that leave, hosts that fall
// silent, engines that end of themselves, and parts of prompts.
func TestDrawnPromptParts(t *testing.T) {
	for n := range *partsSeeds {
		seed := *partsFirst + uint64(n)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runDrawnLoad(t, seed) })
	}
}

// Guards against a guilty part that is not held in time while all engines fall silent with it: no peer reaches one
// to compare with, so that only their records' lapse shows that they have ended.
func TestPromptPartThatSilencesAllEnginesIsHeld(t *testing.T) {
	for range 3 {
		runDrawnLoad(t, 3095)
	}
}

// runDrawnLoad sends the load of a seed and checks the replies.
func runDrawnLoad(t *testing.T, seed uint64) {
	t.Helper()
	l := drawLoad(rand.New(rand.NewPCG(seed, 0)))
	t.Log(l)
	inEngineFleet(t, l.daemons, func(string) bool { return false }, func(f *testFleet, e *engineFleet) {
		f.random = rand.New(rand.NewPCG(seed, 1))
		e.silentExits, e.fatalTime = l.silent, l.crashTime
		e.harmlessUntil = time.Now().Add(quietTime + l.harmless)
		l.disturb(f, e)
		l.check(f, e)
	})
}
