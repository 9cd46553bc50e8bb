package state

import "hash/fnv"

// checksumVersion1 returns the checksum of a file of version 1, which covers only the body. Early builds wrote such files,
// and a node that has been upgraded from an early build has to read them.
func checksumVersion1(body []byte) uint64 {
	hash := fnv.New64a()
	hash.Write(body)
	return hash.Sum64()
}
