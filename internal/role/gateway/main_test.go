package gateway

import (
	"os"
	"testing"

	"brasschute/internal/testing/sharder"
)

// longTests are started first, the longest at the head.
var longTests = []string{
	"TestBadVersionIsReverted", "TestGoodVersionIsRolledOut", "TestQuotaOfALargeFleet", "TestLimitOfAnEngineHoldsForAllDaemonsTogether",
	"TestEngineThatAsksForRestGetsIt", "TestEngineThatSaysSoIsLeftAlone", "TestNewsOfTheLargestFleetIsSoonKnown", "TestVersionWithoutAHolderIsNotTried",
}

// TestMain runs each test in a process of its own: fleets in paused time cannot run side by side in
// one process under the race detector (see inPausedTime).
func TestMain(m *testing.M) { os.Exit(sharder.New(sharder.Config{First: longTests}).Run(m)) }
