package memorylimiter

import (
	"context"
	"runtime/debug"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a process that is killed for its memory while it holds caches.
func TestCachesAreShedNearTheLimit(t *testing.T) {
	percent := debug.SetGCPercent(-1)
	limit := debug.SetMemoryLimit(-1)
	defer func() { debug.SetGCPercent(percent); debug.SetMemoryLimit(limit) }()
	synctest.Test(t, func(t *testing.T) {
		const host = 200 << 20
		used, shed := int64(host/2), 0
		l := New(Config{HostBytes: host, Used: func() int64 { return used }, Shed: func(bytes int64) {
			shed++
			if bytes != used {
				t.Errorf("shed for %d bytes of %d", bytes, used)
			}
		}})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = l.Serve(ctx) }()
		time.Sleep(5*checkInterval + checkInterval/2)
		if shed > 0 {
			t.Errorf("shed %d times with half of the memory in use", shed)
		}
		used = host * 2 / 3
		time.Sleep(3 * checkInterval)
		if shed != 3 {
			t.Errorf("shed %d times in three seconds with two thirds in use", shed)
		}
		if got := debug.SetMemoryLimit(-1); got >= host || got < host/2 {
			t.Errorf("soft limit %d of %d bytes", got, host)
		}
	})
}

func TestNoLimitWithoutHostMemory(t *testing.T) {
	New(Config{Used: func() int64 { return 1 << 40 }, Shed: func(int64) { t.Error("shed") }}).check()
}

func TestRuntimeBytes(t *testing.T) {
	if n := runtimeBytes(); n < 1<<20 || n > 1<<32 {
		t.Errorf("%d bytes in use", n)
	}
}
