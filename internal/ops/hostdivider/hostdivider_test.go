package hostdivider

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against shares that together exceed the memory or the descriptors of their host.
func TestSharesFitTheHost(t *testing.T) {
	const smallest = 64 << 20
	rapid.Check(t, func(t *rapid.T) {
		memory := rapid.Int64Range(smallest, 1<<36).Draw(t, "memory")
		descriptors := rapid.IntRange(2*reservedDescriptors, 1<<20).Draw(t, "descriptors")
		s := New(Config{MemoryBytes: memory, Descriptors: descriptors})
		sum := s.Bodies + s.Answers + s.Messages + s.Decoding + s.Heads + int64(s.LongHeads)*longHeadMemory + int64(s.Connections)*connectionMemory
		// A small host may have to give more than it should to the least number of heads and connections.
		least := int64(minLongHeads*longHeadMemory + minConnections*connectionMemory)
		if sum+processMemory > memory+least {
			t.Errorf("%d bytes and the process on a host of %d", sum, memory)
		}
		if s.Connections >= descriptors-reservedDescriptors {
			t.Errorf("%d connections with %d descriptors", s.Connections, descriptors)
		}
	})
	if s := New(Config{}); s.Memory < smallest || s.Connections <= minConnections {
		t.Errorf("%+v on this machine", s)
	}
}
