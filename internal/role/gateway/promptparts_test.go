package gateway

import (
	"cmp"
	"fmt"
	"sync"
	"testing"
	"time"
)

const (
	// guiltyPart is the part of prompts that crashes engines.
	guiltyPart = "bad0"
	// quietTime is the time before the first request with it.
	quietTime = 5 * time.Second
	// stay is the patience of clients that don't leave.
	stay = 20 * time.Second
	// exitsBeforeHold is the number of crashes after which requests with the part may reach engines for
	// propagationTime more, and then allowedSends times.
	exitsBeforeHold = 5
)

// promptLoad is a load of requests with parts of prompts, some of which have the guilty one.
type promptLoad struct {
	// guiltyInterval is the time between two requests with the guilty part, soundInterval that
	// between two others of the same caller with the same other parts.
	guiltyInterval, soundInterval time.Duration
	// guilty and sound return the parts of the nth request but the last.
	guilty, sound func(n int) string
	// path is the route of all requests; streamPath if empty.
	path string
	// patience is the time after which the clients of requests with the guilty part leave; 0 means that
	// they stay. Every nth of them stays; none if 0.
	patience time.Duration
	staying  int
	// minReplies is the number of replies to sound requests from which on their share counts.
	minReplies int
}

// ask sends the nth request, with some parts of its prompt before its own.
func (l *promptLoad) ask(f *testFleet, patience time.Duration, daemon int, parts string, n int) clientReply {
	return f.askFor(patience, daemon, cmp.Or(l.path, streamPath), fmt.Sprintf("letter %d", n), map[string]string{
		"Request-Id": f.nextID(), "Prompt-Prefix": fmt.Sprintf("%s,%x:250", parts, n),
	})
}

// send sends a load for a time. It returns the replies to sound requests that were sent later than
// twice propagationTime after an engine crashed for the fifth time, and to those before the first
// request with the guilty part.
func (l *promptLoad) send(f *testFleet, e *engineFleet, d time.Duration) (before, after []clientReply) {
	var mu sync.Mutex
	var group sync.WaitGroup
	begun := time.Now()
	send := func(patience time.Duration, parts string, n int, done func(clientReply)) {
		daemon := f.random.IntN(len(f.daemons))
		group.Go(func() {
			r := l.ask(f, patience, daemon, parts, n)
			mu.Lock()
			defer mu.Unlock()
			done(r)
		})
	}
	sound := func(n int) {
		ends := e.exitsUnder(guiltyPart)
		late := len(ends) >= exitsBeforeHold && time.Since(ends[exitsBeforeHold-1].at) > 2*propagationTime
		early := time.Since(begun) < quietTime
		send(stay, l.sound(n), n, func(r clientReply) {
			switch {
			case early:
				before = append(before, r)
			case late || len(ends) < exitsBeforeHold && time.Since(begun) > d-quietTime:
				after = append(after, r)
			}
		})
	}
	nextSound, nextGuilty := begun, begun.Add(quietTime)
	guilty := 0
	for n := 0; time.Since(begun) < d; n++ {
		now := time.Now()
		if !now.Before(nextSound) {
			sound(n)
			nextSound = nextSound.Add(l.soundInterval)
		}
		if !now.Before(nextGuilty) {
			patience := cmp.Or(l.patience, stay)
			if l.staying > 0 && guilty%l.staying == 0 {
				patience = stay
			}
			send(patience, l.guilty(n), n, func(clientReply) {})
			guilty++
			nextGuilty = nextGuilty.Add(l.guiltyInterval)
		}
		time.Sleep(10 * time.Millisecond)
	}
	group.Wait()
	return before, after
}

// Guards against a part that is cleared by what an engine writes before it crashes, though that is no event.
func TestStartOfAnAnswerClearsNoPart(t *testing.T) {
	for name, start := range map[string]string{"a comment": ": working\n\n", "a field without a number": "retry: 500\n\n", "half an event": "id: 1\ndata: x"} {
		t.Run(name, func(t *testing.T) {
			inEngineFleet(t, 8, func(string) bool { return false }, func(f *testFleet, e *engineFleet) {
				e.fatalStart = start
				l := promptLoad{guiltyInterval: 300 * time.Millisecond, soundInterval: 70 * time.Millisecond, guilty: second, sound: subject}
				l.check(f, e)
			})
		})
	}
}

// sendSound sends the sound requests of a load for a time, and counts the replies to those that were sent
// later than a given time.
func (l *promptLoad) sendSound(f *testFleet, from, d time.Duration) (served, failed int) {
	var mu sync.Mutex
	var group sync.WaitGroup
	begun := time.Now()
	for n := 0; time.Since(begun) < d; n++ {
		counts, daemon := time.Since(begun) >= from, f.random.IntN(len(f.daemons))
		group.Go(func() {
			r := l.ask(f, stay, daemon, l.sound(n), n)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case counts && r.complete:
				served++
			case counts:
				failed++
			}
		})
		time.Sleep(l.soundInterval)
	}
	group.Wait()
	return served, failed
}

// Guards against a part of a prompt that crashes engine after engine in requests of which no two are
// alike, and against sound requests of the same caller that are held with them.
func TestPromptPartThatCrashesEnginesIsHeld(t *testing.T) {
	for _, c := range []struct {
		name    string
		daemons int
		load    promptLoad
	}{
		{
			"8 daemons, second part", 8,
			promptLoad{guiltyInterval: 300 * time.Millisecond, soundInterval: 70 * time.Millisecond, guilty: second, sound: subject},
		},
		{
			"8 daemons, first part", 8,
			promptLoad{guiltyInterval: 300 * time.Millisecond, soundInterval: 70 * time.Millisecond, guilty: first, sound: subject},
		},
		{
			"8 daemons, the only part", 8,
			promptLoad{
				guiltyInterval: 400 * time.Millisecond, soundInterval: 70 * time.Millisecond,
				guilty: func(int) string { return guiltyPart + ":350" }, sound: func(int) string { return "5c1e:350" },
			},
		},
		{
			"8 daemons, few sound requests", 8,
			promptLoad{guiltyInterval: 400 * time.Millisecond, soundInterval: 500 * time.Millisecond, guilty: second, sound: subject},
		},
		{
			"60 daemons, second part", 60,
			promptLoad{guiltyInterval: 300 * time.Millisecond, soundInterval: 70 * time.Millisecond, guilty: second, sound: subject},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			inEngineFleet(t, c.daemons, func(string) bool { return false }, func(f *testFleet, e *engineFleet) { c.load.check(f, e) })
		})
	}
}

// check sends the load to engines that crash under the guilty part, and checks that the part is held
// in time and that sound requests are served.
func (l *promptLoad) check(f *testFleet, e *engineFleet) {
	e.fatalPart = guiltyPart
	e.slow.Store(true)
	before, after := l.send(f, e, 25*time.Second)
	late := e.sentAfterExits(guiltyPart, exitsBeforeHold)
	f.t.Logf("%d engines crashed, %d late sends; sound requests: %d of %d failed before, %d of %d after",
		len(e.exitsUnder(guiltyPart)), late, countFailed(before), len(before), countFailed(after), len(after))
	if late > allowedSends {
		f.t.Errorf("sent %d times later than %v after the fifth engine had crashed, allowed %d", late, propagationTime, allowedSends)
	}
	if len(after) >= l.minReplies && 2*countFailed(after) > len(after) {
		f.t.Errorf("%d of %d sound requests failed", countFailed(after), len(after))
	}
}

// Prompts of a caller with the guilty part in the second and in the first place, and without it.
func second(int) string    { return "5c1e:800," + guiltyPart + ":400" }
func first(n int) string   { return fmt.Sprintf("%s:800,%x:400", guiltyPart, 0x9000+n%7) }
func subject(n int) string { return fmt.Sprintf("5c1e:800,%x:400", 0x9000+n%7) }

// Guards against a part that is not held because each request with it is held by itself, after the
// two engines that it crashes in one arrival.
func TestPromptPartOfResumableStreamsIsHeld(t *testing.T) {
	for _, daemons := range []int{8, 60} {
		for name, guilty := range map[string]func(int) string{"first part": first, "second part": second} {
			t.Run(fmt.Sprintf("%d daemons, %s", daemons, name), func(t *testing.T) {
				inEngineFleet(t, daemons, func(string) bool { return false }, func(f *testFleet, e *engineFleet) {
					l := promptLoad{guiltyInterval: time.Second, soundInterval: 70 * time.Millisecond, guilty: guilty, sound: subject, path: resumePath}
					l.check(f, e)
				})
			})
		}
	}
}

// Guards against crashes that count against no part because the client of the request that caused them
// had left before the engine crashed.
func TestPromptPartOfClientsThatLeaveIsHeld(t *testing.T) {
	for _, c := range []struct {
		name    string
		daemons int
		path    string
		staying int
		sound   time.Duration
	}{
		{"8 daemons", 8, streamPath, 0, 70 * time.Millisecond},
		{"8 daemons, few sound requests", 8, streamPath, 0, 500 * time.Millisecond},
		{"8 daemons, one in four stays", 8, streamPath, 4, 70 * time.Millisecond},
		{"8 daemons, resumable", 8, resumePath, 0, 70 * time.Millisecond},
		{"8 daemons, resumable, one in four stays", 8, resumePath, 4, 70 * time.Millisecond},
		{"60 daemons", 60, streamPath, 0, 70 * time.Millisecond},
		{"60 daemons, resumable", 60, resumePath, 0, 70 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			inEngineFleet(t, c.daemons, func(string) bool { return false }, func(f *testFleet, e *engineFleet) {
				l := promptLoad{
					guiltyInterval: 400 * time.Millisecond, soundInterval: c.sound, guilty: second, sound: subject, path: c.path,
					patience: runTime / 2, staying: c.staying,
				}
				l.check(f, e)
			})
		})
	}
}

// Guards against crashes that count against no part because the host of the engine falls silent with it:
// no connection is reset and none is refused.
func TestPromptPartThatSilencesEnginesIsHeld(t *testing.T) {
	for _, daemons := range []int{8, 60} {
		for name, path := range map[string]string{"resumable": resumePath, "not resumable": streamPath} {
			t.Run(fmt.Sprintf("%d daemons, %s", daemons, name), func(t *testing.T) {
				inEngineFleet(t, daemons, func(string) bool { return false }, func(f *testFleet, e *engineFleet) {
					e.silentExits = true
					l := promptLoad{guiltyInterval: 300 * time.Millisecond, soundInterval: 70 * time.Millisecond, guilty: second, sound: subject, path: path}
					l.check(f, e)
				})
			})
		}
	}
}

// Guards against a caller whose requests are held because many engines ended at once, of themselves, while
// they ran some.
func TestCallerOfEnginesThatEndTogetherIsServed(t *testing.T) {
	const engines = engineCount
	for _, c := range []struct {
		name  string
		after time.Duration
		ended int
	}{
		{"10 of 12, warm", 5 * time.Second, 10},
		{"6 of 12, a second after the first request", time.Second, 6},
		{"6 of 12, before the first event", slowRunTime * 3 / 4, 6},
	} {
		t.Run(c.name, func(t *testing.T) {
			inEngineFleet(t, 8, func(string) bool { return false }, func(f *testFleet, e *engineFleet) {
				e.slow.Store(true)
				time.AfterFunc(c.after, func() { e.exitSome(func(place int) bool { return place >= engines-c.ended }) })
				l := promptLoad{soundInterval: 20 * time.Millisecond, sound: func(n int) string { return fmt.Sprintf("5c1e:8,%x:400", 0x9000+n) }}
				served, failed := l.sendSound(f, c.after+3*time.Second, 15*time.Second)
				t.Logf("%d served, %d failed", served, failed)
				if failed > served {
					t.Errorf("%d of %d requests failed", failed, served+failed)
				}
			})
		})
	}
}
