package gateway

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"brasschute/internal/platform/inventory"

	"github.com/charmbracelet/log"
)

// Guards against thousands of lines for one list: each takes processor time from requests.
func TestLinesOfALongListAreBounded(t *testing.T) {
	for _, changes := range []int{1, maxEndpointLines, 3000} {
		var output bytes.Buffer
		lines := endpointLines{logger: log.New(&output)}
		for i := range changes {
			switch i % 3 {
			case 0:
				lines.removed(fmt.Sprint("i-", i), 1)
			case 1:
				lines.leaving(fmt.Sprint("i-", i), 1, "front-1")
			default:
				lines.listed(&inventory.Host{Endpoints: []inventory.Endpoint{{Endpoint: "i"}}}, 1)
			}
		}
		lines.end()
		want := min(changes, maxEndpointLines)
		if changes > maxEndpointLines {
			want++
		}
		if n := strings.Count(output.String(), "\n"); n != want {
			t.Errorf("%d lines for %d changes, want %d", n, changes, want)
		}
	}
}
