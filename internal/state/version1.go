package state

import "hash/fnv"

// checksumVersion1 is the checksum of a file of version 1, which covers its body alone. The first builds wrote such files,
// and a node that is upgraded from one finds it.
func checksumVersion1(body []byte) uint64 {
	hash := fnv.New64a()
	hash.Write(body)
	return hash.Sum64()
}
