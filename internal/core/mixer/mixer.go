// Package mixer spreads the bits of combined hashes.
//
// # Usage
//
//	h := mixer.Mix(daemonHash ^ endpointHash) // the highest one wins a rendezvous hash
package mixer

// Mix spreads the bits of a combined hash (the finalizer of SplitMix64). The XOR of two hashes alone
// orders the items of one side alike for similar values of the other.
func Mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
