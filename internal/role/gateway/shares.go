package gateway

import "syscall"

// How the memory of a host is shared; docs/CAPACITY.md adds it up. All are in bytes.
const (
	// processMemory is what the process takes by itself.
	processMemory = 32 << 20
	// unlimitedMemory is assumed for a host whose memory is not known.
	unlimitedMemory = 2 << 30
	// minSharedMemory is what is shared on a host that has less than the process takes by itself.
	minSharedMemory = 16 << 20
	// Divisors of the memory that is left, for what others send. The rest is for garbage.
	bodyDivisor     = 4
	answerDivisor   = 8
	headDivisor     = 32
	longHeadDivisor = 32
	receiveDivisor  = 32
	// connectionNumerator and connectionDenominator are the fraction for connections, connectionMemory is what one
	// takes at most before its request is served: by itself, for a short head, and unread.
	connectionNumerator, connectionDenominator = 3, 8
	connectionMemory                           = 72 << 10
	// longHeadMemory is what a head takes that is being read.
	longHeadMemory = 256 << 10
	minLongHeads   = 4
)

// How the descriptors of a process are shared.
const (
	// reservedDescriptors are for files.
	reservedDescriptors = 200
	// clientNumerator and clientDenominator are the fraction of the others that is for connections of clients.
	clientNumerator, clientDenominator = 3, 4
	minConnections                     = 16
)

// hostShares bound what others may take of a host.
type hostShares struct {
	// bodies, answers, heads and receiveBytes are bytes that each may take together.
	bodies, answers, heads, receiveBytes int64
	// connections and longHeads are numbers.
	connections, longHeads int
}

// shareHost shares a host's memory and a process's descriptors, 0 each if not known.
func shareHost(memoryBytes int64, descriptors int) hostShares {
	if memoryBytes <= 0 {
		memoryBytes = unlimitedMemory
	}
	left := max(memoryBytes-processMemory, minSharedMemory)
	byMemory := int(left / connectionDenominator * connectionNumerator / connectionMemory)
	byDescriptors := (maxDescriptors(descriptors) - reservedDescriptors) * clientNumerator / clientDenominator
	return hostShares{
		bodies: left / bodyDivisor, answers: left / answerDivisor, heads: left / headDivisor, receiveBytes: left / receiveDivisor,
		connections: max(min(byMemory, byDescriptors), minConnections),
		longHeads:   max(int(left/longHeadDivisor/longHeadMemory), minLongHeads),
	}
}

// maxDescriptors returns the descriptors that the process may have: those of its settings, or else the system's limit.
func maxDescriptors(stated int) int {
	var limit syscall.Rlimit
	if stated > 0 || syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return stated
	}
	const most = 1 << 20
	return int(min(limit.Cur, most))
}
