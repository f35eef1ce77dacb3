// Package hostdivider divides the memory of a host and the descriptors of a process between the kinds of things that
// others send, so that all of them together stay within the host.
//
// docs/CAPACITY.md adds the shares up. What is left is for the garbage that the collector has not returned yet.
//
// # Usage
//
//	shares := hostdivider.New(hostdivider.Config{MemoryBytes: 284 << 20, Descriptors: 4100})
//	bodies := bodyreader.New(bodyreader.Config{TotalBytes: shares.Bodies, ...})
package hostdivider

import "syscall"

const (
	// processMemory is what a process takes by itself, in bytes.
	processMemory = 32 << 20
	// minShared is what is divided on a host that has less than the process takes by itself.
	minShared = 16 << 20
	// Divisors of the memory that is divided.
	bodyDivisor     = 4
	answerDivisor   = 8
	messageDivisor  = 16
	decodingDivisor = 16
	headDivisor     = 32
	longHeadDivisor = 32
	bufferDivisor   = 32
	// connectionNumerator and connectionDenominator are the fraction for connections. connectionMemory is what one
	// takes at most before its request is served: by itself, for a short head, and unread.
	connectionNumerator, connectionDenominator = 3, 8
	connectionMemory                           = 104 << 10
	// longHeadMemory is what a long head takes while it is read.
	longHeadMemory = 256 << 10
	minLongHeads   = 4
)

const (
	// reservedDescriptors are for files.
	reservedDescriptors = 200
	// clientNumerator and clientDenominator are the fraction of the other descriptors for connections of clients.
	clientNumerator, clientDenominator = 3, 4
	minConnections                     = 16
)

// Config describes a host and a process.
type Config struct {
	// MemoryBytes is the memory that the process may take; 0 for that of the machine.
	MemoryBytes int64
	// Descriptors is the number of descriptors that the process may have open; 0 for the limit of the system.
	Descriptors int
}

// Shares are the bounds of what others may take.
type Shares struct {
	// Memory is the memory of the process in bytes.
	Memory int64
	// Bodies, Answers, Messages, Decoding and Heads are the bytes that the bodies of requests, the answers of
	// endpoints, the messages of peers, bodies that are being decoded and long heads may take together, each kind for
	// itself.
	Bodies, Answers, Messages, Decoding, Heads int64
	// Buffers is the bytes that the kernel may hold unread for clients' connections, by and large.
	Buffers int64
	// Connections is the number of clients' connections, LongHeads that of the long heads that are read at the same
	// time.
	Connections, LongHeads int
}

// New divides a host.
func New(c Config) *Shares {
	memory := c.MemoryBytes
	if memory <= 0 {
		memory = machineMemory()
	}
	shared := max(memory-processMemory, minShared)
	byMemory := int(shared / connectionDenominator * connectionNumerator / connectionMemory)
	byDescriptors := (maxDescriptors(c.Descriptors) - reservedDescriptors) * clientNumerator / clientDenominator
	return &Shares{
		Memory: memory,
		Bodies: shared / bodyDivisor, Answers: shared / answerDivisor, Messages: shared / messageDivisor,
		Decoding: shared / decodingDivisor, Heads: shared / headDivisor, Buffers: shared / bufferDivisor,
		Connections: max(min(byMemory, byDescriptors), minConnections),
		LongHeads:   max(int(shared/longHeadDivisor/longHeadMemory), minLongHeads),
	}
}

// machineMemory returns the memory of the machine in bytes.
func machineMemory() int64 {
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return 0
	}
	return int64(info.Totalram) * int64(info.Unit)
}

// maxDescriptors returns the descriptors that the process may have open: those stated, or else the limit of the system.
func maxDescriptors(stated int) int {
	var limit syscall.Rlimit
	if stated > 0 || syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return stated
	}
	const most = 1 << 20
	return int(min(limit.Cur, most))
}
