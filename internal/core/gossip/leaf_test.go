package gossip

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

// Guards against entries that a replacement of another length or a removal
// loses, damages or brings back, by comparison with a map.
func TestPackedLeafLikeMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var leaf packedLeaf
		want := map[uint64][]byte{}
		for range rapid.IntRange(0, 40).Draw(t, "changes") {
			keyHash := rapid.Uint64Range(0, 9).Draw(t, "key")
			if rapid.IntRange(0, 3).Draw(t, "remove") == 0 {
				leaf = leaf.remove(keyHash)
				delete(want, keyHash)

				continue
			}
			packed := rapid.SliceOfN(rapid.Byte(), 1, 300).Draw(t, "packed")
			leaf = leaf.put(keyHash, packed)
			want[keyHash] = packed
		}
		count := 0
		leaf.each(func(keyHash uint64, packed []byte, _, _ int) bool {
			count++
			found, _, _ := leaf.find(keyHash)
			if !bytes.Equal(packed, want[keyHash]) || !bytes.Equal(found, packed) {
				t.Fatalf("got %v and %v for %d, want %v", packed, found, keyHash, want[keyHash])
			}

			return true
		})
		if count != len(want) {
			t.Fatalf("got %d entries, want %d", count, len(want))
		}
	})
}
