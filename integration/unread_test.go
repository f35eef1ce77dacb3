package integration

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"brasschute/internal/standin/hosting"
)

// Guards against a refusal that waits for the rest of a body which never comes, and against a connection that stays
// open after that for as long as its client likes.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	s := newSite(t)
	s.addEngine(hosting.Config{ID: "sound", Service: plainService})
	h := s.addReadyHost()
	const id, key, stalled = "Request-Id: r\r\n", "Authorization: Bearer " + deskKey + "\r\n", "Content-Length: 10\r\n\r\nxxxxxxxxx"
	for _, k := range []struct {
		name, path, head string
		status           int
	}{
		{"no id", nonIdempotentPath, key, http.StatusBadRequest},
		{"unknown key", nonIdempotentPath, id, http.StatusUnauthorized},
		{"unknown route", "/unknown/", id + key, http.StatusNotFound},
		{"incomplete body", nonIdempotentPath, id + key, http.StatusRequestTimeout},
	} {
		c := dialHost(t, h)
		_ = c.SetDeadline(time.Now().Add(waitTimeout))
		if _, err := io.WriteString(c, "POST "+k.path+"x HTTP/1.1\r\nHost: "+hostedDomain+"\r\n"+k.head+stalled); err != nil {
			t.Fatal(err)
		}
		r := bufio.NewReader(c)
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Errorf("%s: %v", k.name, err)
			continue
		}
		text, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode != k.status || err != nil || !strings.Contains(string(text), "urn:brasschute:problem:") {
			t.Errorf("%s: status %d, %q, %v", k.name, resp.StatusCode, text, err)
		}
		if _, err := r.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: the connection stays open", k.name)
		}
	}
}
