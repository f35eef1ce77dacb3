package gateway

const (
	// processMemory is what the process takes by itself.
	processMemory = 32 << 20
	// unlimitedMemory is assumed for a host whose memory is not known.
	unlimitedMemory = 2 << 30
	// minSharedMemory is what is shared on a host that has less than the process takes by itself.
	minSharedMemory = 16 << 20
	// Divisors of the memory that is left, for what others send. The rest is for connections, requests in progress
	// and garbage; docs/CAPACITY.md adds it up.
	bodyDivisor   = 4
	answerDivisor = 8
)

// memoryShares are the bytes that each kind of thing that others send may take together.
type memoryShares struct {
	bodies, answers int64
}

// shareMemory shares the memory of a host, 0 if it is not known.
func shareMemory(hostBytes int64) memoryShares {
	if hostBytes <= 0 {
		hostBytes = unlimitedMemory
	}
	left := max(hostBytes-processMemory, minSharedMemory)
	return memoryShares{bodies: left / bodyDivisor, answers: left / answerDivisor}
}
