package state

import "hash/fnv"

// checksumVersion1 returns the checksum of a file of version 1, which covers only the body. Early builds wrote such files;
// a node that is upgraded from an early build reads one.
func checksumVersion1(body []byte) uint64 {
	hash := fnv.New64a()
	hash.Write(body)
	return hash.Sum64()
}
