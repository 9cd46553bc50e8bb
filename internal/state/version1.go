package state

import "hash/fnv"

// sum1 is the checksum of version 1, which a node of the build before may have left.
func sum1(b []byte) uint64 {
	h := fnv.New64a()
	h.Write(b)
	return h.Sum64()
}
