package streamer

import (
	"testing"

	"brasschute/internal/config/compiler"
	"brasschute/internal/config/document"
	"brasschute/internal/route/candidate"
	"brasschute/internal/serve/call"
)

// Guards against a stream that goes on at an engine of another software version than the one that
// began it, whose tokens do not fit.
func TestStreamGoesOnAtItsVersion(t *testing.T) {
	s := new(Streamer)
	j := &Job{Call: &call.Call{Pool: new(document.Pool), Plan: &compiler.Plan{Configuration: document.Configuration{}}}, Version: "v1"}
	for _, c := range []struct {
		offset int
		other  bool
	}{{0, true}, {1, false}} {
		j.Offset = c.offset
		versions := s.query(j).Select.Versions
		if !versions.Allow(&candidate.Candidate{Version: "v1"}) || versions.Allow(&candidate.Candidate{Version: "v2"}) != c.other {
			t.Errorf("after %d tokens: %+v", c.offset, versions)
		}
	}
}
