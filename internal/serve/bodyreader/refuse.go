package bodyreader

import (
	"io"
	"net/http"
	"time"
)

const (
	// discardTimeout bounds the time for which the rest of a body is discarded, maxDiscards the number of connections
	// on which that happens at the same time.
	discardTimeout = time.Second
	maxDiscards    = 64
	// discardChunkBytes is the size of one read of what is discarded.
	discardChunkBytes = 16 << 10
)

// Refuse refuses a request whose body has not been read to its end. write writes the whole answer.
func (r *Reader) Refuse(w http.ResponseWriter, req *http.Request, write func()) {
	control := http.NewResponseController(w)
	if r.discardSmall(control, req) {
		write()
		return
	}
	writeUnread(w, control, write)
	r.discard(control, req)
	endReads(control)
}

// Discard discards the body of a request that needs none. If it is large or does not come, the connection is closed
// after the answer.
func (r *Reader) Discard(w http.ResponseWriter, req *http.Request) {
	control := http.NewResponseController(w)
	if r.discardSmall(control, req) {
		return
	}
	w.Header().Set("Connection", "close")
	endReads(control)
}

// RefuseAtOnce refuses a request that must not be held any longer, not even until its client has sent its body.
func (r *Reader) RefuseAtOnce(w http.ResponseWriter, write func()) {
	control := http.NewResponseController(w)
	writeUnread(w, control, write)
	endReads(control)
}

// endReads ends reads of the connection: the server would wait for the rest of the body.
func endReads(control *http.ResponseController) { _ = control.SetReadDeadline(time.Now()) }

// writeUnread writes an answer to a request that has not been read to its end.
func writeUnread(w http.ResponseWriter, control *http.ResponseController, write func()) {
	w.Header().Set("Connection", "close")
	// Otherwise the server reads on before it sends the answer, and without a bound of time.
	_ = control.EnableFullDuplex()
	write()
	_ = control.Flush()
}

// discardSmall discards a small body, whose connection can then be used on, and reports whether it came whole.
func (r *Reader) discardSmall(control *http.ResponseController, req *http.Request) bool {
	if req.Body == nil || req.Body == http.NoBody {
		return true
	}
	if req.ContentLength < 0 || req.ContentLength > smallBytes || req.Header.Get("Expect") != "" {
		return false
	}
	_ = control.SetReadDeadline(time.Now().Add(discardTimeout))
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return false
	}
	_ = control.SetReadDeadline(time.Time{})
	return true
}

// discard discards the rest of a body, within bounds.
func (r *Reader) discard(control *http.ResponseController, req *http.Request) {
	if r.c.DiscardBytes == 0 || req.Header.Get("Expect") != "" || !r.discards.TryAcquire(1) {
		return
	}
	defer r.discards.Release(1)
	_ = control.SetReadDeadline(time.Now().Add(discardTimeout))
	buffer := make([]byte, discardChunkBytes)
	for left := r.c.DiscardBytes; left > 0; {
		n, err := req.Body.Read(buffer)
		if err != nil || n < tinyReadBytes && !r.tinyReads.Allow() {
			return
		}
		left -= int64(n)
	}
}
