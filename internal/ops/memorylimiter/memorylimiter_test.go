package memorylimiter

import (
	"context"
	"runtime/debug"
	"sync/atomic"
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
		var used, shed atomic.Int64
		used.Store(host / 2)
		l := New(Config{HostBytes: host, Used: used.Load, Shed: func(bytes int64) {
			shed.Add(1)
			if bytes != used.Load() {
				t.Errorf("shed for %d bytes of %d", bytes, used.Load())
			}
		}})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = l.Serve(ctx) }()
		time.Sleep(5*checkInterval + checkInterval/2)
		if n := shed.Load(); n > 0 {
			t.Errorf("shed %d times with half of the memory in use", n)
		}
		used.Store(host * 2 / 3)
		time.Sleep(3 * checkInterval)
		if n := shed.Load(); n != 3 {
			t.Errorf("shed %d times in three seconds with two thirds in use", n)
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
