package compressor

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

func TestMessagesComeBack(t *testing.T) {
	var p Compressor
	rapid.Check(t, func(t *rapid.T) {
		message := rapid.SliceOf(rapid.Byte()).Draw(t, "message")
		packed, err := p.Compress(message)
		if err != nil {
			t.Fatal(err)
		}
		back, err := p.Decompress(packed)
		if err != nil || !bytes.Equal(back, message) {
			t.Fatalf("%d bytes, back %d, error %v", len(message), len(back), err)
		}
	})
}

func TestDamagedMessagesAreRefused(t *testing.T) {
	var p Compressor
	packed, err := p.Compress(configuration(100))
	if err != nil {
		t.Fatal(err)
	}
	for name, spoilt := range map[string][]byte{
		"cut":     packed[:len(packed)/2],
		"changed": append(append([]byte{}, packed[:len(packed)-40]...), bytes.Repeat([]byte{7}, 40)...),
		"text":    []byte("not packed at all"),
	} {
		if back, err := p.Decompress(spoilt); err == nil {
			t.Errorf("%s: taken for a message of %d bytes", name, len(back))
		}
	}
}

// A few bytes may stand for a message that would fill a host's memory.
func TestHugeMessagesAreRefused(t *testing.T) {
	var p Compressor
	packed, err := p.Compress(make([]byte, maxUnpacked+1))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.Decompress(packed); err == nil {
		t.Errorf("%d bytes were unpacked to over %d", len(packed), maxUnpacked)
	}
}

// configuration is one of n routes, as operators write it.
func configuration(n int) []byte {
	random := rand.New(rand.NewPCG(1, 2))
	var b bytes.Buffer
	for range n {
		fmt.Fprintf(&b, `{"Name":"%08x","Host":"%08x.example","PathPrefix":"/%08x/","Kind":"idempotent","Service":"app","TimeoutMs":1200,"SloMs":150,`+
			`"GapSloMs":0,"Priority":2,"MaxAttempts":2,"Public":false,"Resumable":false,"SessionAffinity":false,"TrafficSplit":[]},`,
			random.Uint32(), random.Uint32(), random.Uint32())
	}
	return b.Bytes()
}

// BenchmarkPack packs a configuration of 4,250 routes.
func BenchmarkPack(b *testing.B) {
	var p Compressor
	message := configuration(4250)
	b.SetBytes(int64(len(message)))
	b.ReportAllocs()
	for b.Loop() {
		packed, err := p.Compress(message)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(packed)), "packed-bytes")
	}
}
