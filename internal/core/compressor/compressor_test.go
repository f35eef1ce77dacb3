package compressor

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

func TestRoundTrip(t *testing.T) {
	var c Compressor
	rapid.Check(t, func(t *rapid.T) {
		message := rapid.SliceOf(rapid.Byte()).Draw(t, "message")
		compressed, err := c.Compress(message)
		if err != nil {
			t.Fatal(err)
		}
		back, err := c.Decompress(compressed)
		if err != nil || !bytes.Equal(back, message) {
			t.Fatalf("%d bytes compressed, %d decompressed, error %v", len(message), len(back), err)
		}
	})
}

func TestDamagedMessages(t *testing.T) {
	var c Compressor
	compressed, err := c.Compress(configuration(100))
	if err != nil {
		t.Fatal(err)
	}
	for name, corrupt := range map[string][]byte{
		"cut":     compressed[:len(compressed)/2],
		"changed": append(append([]byte{}, compressed[:len(compressed)-40]...), bytes.Repeat([]byte{7}, 40)...),
		"text":    []byte("not compressed at all"),
	} {
		if back, err := c.Decompress(corrupt); err == nil {
			t.Errorf("%s: decompressed to %d bytes", name, len(back))
		}
	}
}

// A few compressed bytes may expand to a message that fills a host's memory.
func TestOversizedMessage(t *testing.T) {
	var c Compressor
	compressed, err := c.Compress(make([]byte, maxDecompressedBytes+1))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Decompress(compressed); err == nil {
		t.Errorf("%d bytes were decompressed to more than %d", len(compressed), maxDecompressedBytes)
	}
}

// configuration returns a configuration of n routes in the form in which operators write it.
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

// BenchmarkCompress compresses a configuration of 4,250 routes.
func BenchmarkCompress(b *testing.B) {
	var c Compressor
	message := configuration(4250)
	b.SetBytes(int64(len(message)))
	b.ReportAllocs()
	for b.Loop() {
		compressed, err := c.Compress(message)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(compressed)), "packed-bytes")
	}
}
