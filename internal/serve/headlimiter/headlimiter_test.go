package headlimiter

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against long heads that together take more than their share, against one that is kept out although there is
// room, and against an ordinary one that is refused.
func TestLongHeadsAreBounded(t *testing.T) {
	const totalBytes, most = 1 << 20, 3
	var l *Limiter
	refused, served, nested := 0, 0, 0
	long := httptest.NewRequest(http.MethodPost, "/", nil)
	for n := range int(totalBytes / most / (headerMemory + 16)) {
		long.Header.Set(fmt.Sprintf("H%07d", n), "")
	}
	short := httptest.NewRequest(http.MethodPost, "/", nil)
	short.Header.Set("Authorization", strings.Repeat("x", 2<<10))
	var handler http.Handler
	l = New(Config{TotalBytes: totalBytes, Refuse: func(_ http.ResponseWriter, r *http.Request, reason string) {
		refused++
		if r == short || !strings.Contains(reason, "no room") {
			t.Errorf("refused: %s", reason)
		}
	}})
	handler = l.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		served++
		if nested++; nested <= most {
			handler.ServeHTTP(w, long)
			handler.ServeHTTP(w, short)
		}
	}))
	handler.ServeHTTP(httptest.NewRecorder(), long)
	if refused != 1 || served != 2*most {
		t.Errorf("%d refused, %d served", refused, served)
	}
	if held := l.heads.ReservedBytes(); held != 0 {
		t.Errorf("%d bytes held at the end", held)
	}
}
