package wrapper

import (
	"bufio"
	"bytes"
	"net/http"
	"net/textproto"
	"reflect"
	"strings"
	"testing"
)

// FuzzDecode checks that any head is decoded or refused, and that what is decoded names no header of the connection
// and is the same once it has been encoded again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte("Brasschute-Service: lm\r\nBrasschute-Endpoint: i-1\r\nBrasschute-Start-Time: 17\r\nBrasschute-Method: POST\r\nBrasschute-Target: /x?y\r\nTenant: t\r\n\r\n"))
	f.Add([]byte("Brasschute-Service: lm\r\nBrasschute-Endpoint: i-1\r\nBrasschute-Start-Time: -1\r\nBrasschute-Probe: 1\r\nBrasschute-Parts: a\r\nBrasschute-Parts: b\r\nTe: x\r\n\r\n"))
	f.Fuzz(func(t *testing.T, head []byte) {
		parsed, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(head))).ReadMIMEHeader()
		if err != nil {
			return
		}
		r, err := Decode(http.Header(parsed))
		if err != nil {
			return
		}
		if r.Service == "" || r.Endpoint == "" || !r.Probe && (r.Method == "" || r.Target == "") {
			t.Fatalf("accepted: %+v", r)
		}
		for name := range r.Header {
			if strings.HasPrefix(name, headerPrefix) || isHopHeader(name) {
				t.Fatalf("the header %s is passed on", name)
			}
		}
		again, err := Decode(r.Encode())
		if err != nil || !reflect.DeepEqual(r, again) {
			t.Fatalf("%+v became %+v, %v", r, again, err)
		}
	})
}
