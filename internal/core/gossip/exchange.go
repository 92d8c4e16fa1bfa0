package gossip

import "github.com/kumquatshelf/kumquatshelf/internal/core/fleet"

const (
	// maxDeltaBytes bounds the keys and values in one answer. A joining member
	// repeats the exchange until it has all entries.
	maxDeltaBytes = 256 << 10
	// maxVersions bounds the number of versions in one request. Each is about 20
	// bytes.
	maxVersions = 4096
	// entryOverheadBytes is the estimated size of an encoded entry without its key
	// and value.
	entryOverheadBytes = 24
)

// Digest returns the hash of each bucket, to compare with a peer's.
func (n *Node) Digest() []uint64 {
	digest := make([]uint64, Buckets)
	for bucket := range digest {
		digest[bucket] = n.set.bucketHash(bucket)
	}

	return digest
}

// Root returns a hash of all entries. Two nodes with the same root have the same
// entries.
func (n *Node) Root() uint64 {
	root := uint64(0)
	for bucket := range Buckets {
		root ^= n.set.bucketHash(bucket)
	}

	return root
}

// Differing returns the buckets whose hashes differ from a peer's digest, and the
// hashes of the leaves of these buckets in order, truncated to 32 bits. It returns
// nil if the digest does not have Buckets hashes.
func (n *Node) Differing(digest []uint64) (buckets []uint32, leafHashes []uint32) {
	if len(digest) != Buckets {
		return nil, nil
	}
	for bucket := range uint32(Buckets) {
		if n.set.bucketHash(int(bucket)) == digest[bucket] {
			continue
		}
		buckets = append(buckets, bucket)
		for _, h := range n.set.hashes[bucket*LeavesPerBucket : (bucket+1)*LeavesPerBucket] {
			leafHashes = append(leafHashes, uint32(h)) //nolint:gosec // truncated on purpose
		}
	}

	return buckets, leafHashes
}

// Versions compares the node's leaves with the result of Differing at a peer. It returns
// the leaves that differ and the versions of the node's entries in them. It starts at a
// random bucket, because otherwise maxVersions would cut off the same buckets in every
// call. It returns nil if the result of the peer is malformed or no leaf differs.
func (n *Node) Versions(buckets, leafHashes []uint32) (differing []uint32, versions []Version) {
	if len(leafHashes) != len(buckets)*LeavesPerBucket || len(buckets) == 0 {
		return nil, nil
	}
	start := n.random.IntN(len(buckets))
	for i := range buckets {
		i = (i + start) % len(buckets)
		if buckets[i] >= Buckets {
			return nil, nil
		}
		for j := range uint32(LeavesPerBucket) {
			leaf := buckets[i]*LeavesPerBucket + j
			peerHash := leafHashes[i*LeavesPerBucket+int(j)]
			if uint32(n.set.hashes[leaf]) == peerHash { //nolint:gosec // truncated on purpose
				continue
			}
			if len(versions) >= maxVersions {
				return differing, versions
			}
			differing = append(differing, leaf)
			n.set.leafVersions(int(leaf), func(v Version) { versions = append(versions, v) })
		}
	}

	return differing, versions
}

// Compare answers a peer that has the given versions in the differing leaves. newer
// holds the entries of these leaves that the peer lacks or has in an older version,
// wanted the peer's versions that are newer than the node's. more reports that newer
// is incomplete because of its size.
func (n *Node) Compare(differing []uint32, versions []Version) (
	newer []fleet.Entry, wanted []Version, more bool,
) {
	peerVersions := make(map[uint64]Version, len(versions))
	for _, v := range versions {
		peerVersions[v.KeyHash] = v
		if stored, ok := n.set.version(v.KeyHash); !ok || v.newer(stored) {
			wanted = append(wanted, v)
		}
	}
	size := 0
	for _, leaf := range differing {
		if leaf >= leafCount {
			continue
		}
		if size >= maxDeltaBytes {
			return newer, wanted, true
		}
		n.set.leafVersions(int(leaf), func(v Version) {
			peerVersion, ok := peerVersions[v.KeyHash]
			if ok && !v.newer(peerVersion) {
				return
			}
			e, _ := n.set.entry(v.KeyHash)
			newer = append(newer, e)
			size += len(e.Key) + len(e.Value) + entryOverheadBytes
		})
	}

	return newer, wanted, false
}
