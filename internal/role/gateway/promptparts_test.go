package gateway

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

const (
	// guiltyPart is the part of prompts that crashes engines.
	guiltyPart = "bad0"
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
}

// send sends a load for a time. It returns the replies to sound requests that were sent later than
// twice propagationTime after an engine crashed for the fifth time, and to those before the first
// request with the guilty part.
func (l *promptLoad) send(f *testFleet, e *engineFleet, d time.Duration) (before, after []clientReply) {
	const quietTime = 5 * time.Second
	var mu sync.Mutex
	var group sync.WaitGroup
	begun := time.Now()
	send := func(parts string, n int, done func(clientReply)) {
		daemon := f.random.IntN(len(f.daemons))
		group.Go(func() {
			r := f.askWith(daemon, streamPath, fmt.Sprintf("letter %d", n), map[string]string{
				"Request-Id": f.nextID(), "Prompt-Prefix": fmt.Sprintf("%s,%x:250", parts, n),
			})
			mu.Lock()
			defer mu.Unlock()
			done(r)
		})
	}
	sound := func(n int) {
		ends := e.exitsUnder(guiltyPart)
		late := len(ends) >= exitsBeforeHold && time.Since(ends[exitsBeforeHold-1].at) > 2*propagationTime
		early := time.Since(begun) < quietTime
		send(l.sound(n), n, func(r clientReply) {
			switch {
			case early:
				before = append(before, r)
			case late || len(ends) < exitsBeforeHold && time.Since(begun) > d-quietTime:
				after = append(after, r)
			}
		})
	}
	nextSound, nextGuilty := begun, begun.Add(quietTime)
	for n := 0; time.Since(begun) < d; n++ {
		now := time.Now()
		if !now.Before(nextSound) {
			sound(n)
			nextSound = nextSound.Add(l.soundInterval)
		}
		if !now.Before(nextGuilty) {
			send(l.guilty(n), n, func(clientReply) {})
			nextGuilty = nextGuilty.Add(l.guiltyInterval)
		}
		time.Sleep(10 * time.Millisecond)
	}
	group.Wait()
	return before, after
}

// Guards against a part of a prompt that crashes engine after engine in requests of which no two are
// alike, and against sound requests of the same caller that are held with them.
func TestPromptPartThatCrashesEnginesIsHeld(t *testing.T) {
	shared, subject := "5c1e:800", func(n int) string { return fmt.Sprintf("5c1e:800,%x:400", 0x9000+n%7) }
	for _, c := range []struct {
		name    string
		daemons int
		load    promptLoad
	}{
		{
			"8 daemons, second part", 8,
			promptLoad{300 * time.Millisecond, 70 * time.Millisecond, func(int) string { return shared + "," + guiltyPart + ":400" }, subject},
		},
		{
			"8 daemons, first part", 8,
			promptLoad{300 * time.Millisecond, 70 * time.Millisecond, func(n int) string { return fmt.Sprintf("%s:800,%x:400", guiltyPart, 0x9000+n%7) }, subject},
		},
		{
			"8 daemons, the only part", 8,
			promptLoad{400 * time.Millisecond, 70 * time.Millisecond, func(int) string { return guiltyPart + ":350" }, func(int) string { return "5c1e:350" }},
		},
		{
			"8 daemons, few sound requests", 8,
			promptLoad{400 * time.Millisecond, 500 * time.Millisecond, func(int) string { return shared + "," + guiltyPart + ":400" }, subject},
		},
		{
			"60 daemons, second part", 60,
			promptLoad{300 * time.Millisecond, 70 * time.Millisecond, func(int) string { return shared + "," + guiltyPart + ":400" }, subject},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			inEngineFleet(t, c.daemons, func(string) bool { return false }, func(f *testFleet, e *engineFleet) {
				e.fatalPart = guiltyPart
				e.slow.Store(true)
				before, after := c.load.send(f, e, 25*time.Second)
				late := e.sentAfterExits(guiltyPart, exitsBeforeHold)
				t.Logf("%d engines crashed, %d late sends; sound requests: %d of %d failed before, %d of %d after",
					len(e.exitsUnder(guiltyPart)), late, countFailed(before), len(before), countFailed(after), len(after))
				if late > allowedSends {
					t.Errorf("sent %d times later than %v after the fifth engine had crashed, allowed %d", late, propagationTime, allowedSends)
				}
				if 2*countFailed(after) > len(after) {
					t.Errorf("%d of %d sound requests failed", countFailed(after), len(after))
				}
			})
		})
	}
}
