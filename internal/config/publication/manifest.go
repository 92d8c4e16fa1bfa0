package publication

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/kumquatshelf/kumquatshelf/internal/config/inifile"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

const (
	// manifestBuckets is the number of buckets over which the manifest's entries for
	// the teams are distributed by team name. A change of one team rewrites one
	// bucket. internal/bench/publication compares the costs of other numbers.
	manifestBuckets = 64
	// maxPublications is the number of recent publications that a manifest lists. A
	// publisher that did not receive the store's answer finds its own publication in
	// this list. At the 6,700 changes a day of the target size, 64 publications
	// cover 14 minutes.
	maxPublications = 64
)

// ID identifies one publication. The publisher chooses it, so that it recognises
// its own publication in the manifest.
type ID = uuid.UUID

// Part is a manifest's reference to the file of one team.
type Part struct {
	// Hash is the SHA-256 hash of the file, in hex.
	Hash string
	// ChangedVersion is the version that last changed the team.
	ChangedVersion uint64
}

// Publication is the manifest's record of one accepted publication.
type Publication struct {
	Version uint64
	ID      ID
}

// Manifest describes one version of the configuration.
type Manifest struct {
	// Version increases by one with each publication. It is zero before the first.
	Version uint64
	// Parts maps each team's name to its file.
	Parts map[string]Part
	// Publications lists the most recent publications, at most 64, one for each
	// version and the oldest first.
	Publications []Publication
}

// VersionOf returns the version that a publication created, and false if the
// manifest does not list the publication, or no longer does.
func (m Manifest) VersionOf(id ID) (uint64, bool) {
	for _, publication := range m.Publications {
		if publication.ID == id {
			return publication.Version, true
		}
	}

	return 0, false
}

// listsVersion reports whether the manifest lists the publication of a version.
func (m Manifest) listsVersion(version uint64) bool {
	return slices.ContainsFunc(m.Publications, func(p Publication) bool { return p.Version == version })
}

// withChange returns a copy of the manifest with the next version number. The copy
// lists the publication with the given ID, contains the files in hashes, a map from
// team to file hash, and lacks the files of the teams in removed.
func (m Manifest) withChange(id ID, hashes map[string]string, removed []string) Manifest {
	next := Manifest{Version: m.Version + 1, Parts: maps.Clone(m.Parts)}
	if next.Parts == nil {
		next.Parts = map[string]Part{}
	}
	for _, team := range removed {
		delete(next.Parts, team)
	}
	for team, hash := range hashes {
		next.Parts[team] = Part{Hash: hash, ChangedVersion: next.Version}
	}
	recent := m.Publications[max(0, len(m.Publications)-maxPublications+1):]
	next.Publications = append(slices.Clone(recent), Publication{Version: next.Version, ID: id})

	return next
}

// Encode returns the encoded head of the manifest, which is the value of the store
// object Manifest/Current, and the encoded buckets that the head refers to, by
// their SHA-256 hash in hex. It panics if a part's hash is not in hex.
func Encode(m Manifest) (head []byte, buckets map[string][]byte) {
	contents := make([]*peerpb.ManifestBucket, manifestBuckets)
	for _, team := range slices.Sorted(maps.Keys(m.Parts)) {
		part := m.Parts[team]
		hash, err := hex.DecodeString(part.Hash)
		if err != nil {
			panic(fmt.Sprintf("part hash %q of team %s is not hexadecimal", part.Hash, team))
		}
		i := fleet.GroupIndex(team, manifestBuckets)
		if contents[i] == nil {
			contents[i] = &peerpb.ManifestBucket{}
		}
		contents[i].Parts = append(contents[i].Parts, &peerpb.ManifestPart{Team: team, Hash: hash, Since: part.ChangedVersion})
	}
	encoded := &peerpb.ManifestHead{Version: m.Version, Buckets: make([][]byte, manifestBuckets)}
	buckets = map[string][]byte{}
	for i, content := range contents {
		if content == nil {
			continue
		}
		raw := marshal(content)
		hash := sha256.Sum256(raw)
		buckets[hex.EncodeToString(hash[:])] = raw
		encoded.Buckets[i] = hash[:]
	}
	for _, publication := range m.Publications {
		encoded.Publications = append(encoded.Publications, &peerpb.Publication{Version: publication.Version, ID: publication.ID[:]})
	}

	return marshal(encoded), buckets
}

// marshal encodes message deterministically, so that an unchanged bucket keeps its
// hash.
func marshal(message proto.Message) []byte {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		panic(fmt.Sprintf("encode manifest: %v", err)) // fails only for invalid UTF-8, and names are ASCII
	}

	return raw
}

// manifestHead is the decoded value of the store object Manifest/Current.
type manifestHead struct {
	version uint64
	// buckets holds the hash of each bucket in hex, or an empty string for a bucket
	// without teams.
	buckets      []string
	publications []Publication
}

// HeadVersion returns the configuration version of an encoded manifest head, and
// false if the head is malformed.
func HeadVersion(raw []byte) (uint64, bool) {
	h, err := decodeHead(raw)

	return h.version, err == nil
}

// decodeHead decodes the head of a manifest and checks its form, but does not read
// the buckets that it refers to.
func decodeHead(raw []byte) (manifestHead, error) {
	var message peerpb.ManifestHead
	if err := proto.Unmarshal(raw, &message); err != nil {
		return manifestHead{}, fmt.Errorf("manifest: %w", err)
	}
	if message.GetVersion() == 0 || len(message.GetBuckets()) != manifestBuckets {
		return manifestHead{}, fmt.Errorf("manifest of version %d has %d buckets; expected a version above 0 and %d buckets",
			message.GetVersion(), len(message.GetBuckets()), manifestBuckets)
	}
	h := manifestHead{version: message.GetVersion()}
	for i, hash := range message.GetBuckets() {
		if len(hash) != 0 && len(hash) != sha256.Size {
			return manifestHead{}, fmt.Errorf("manifest bucket %d has a hash of %d bytes; expected %d", i, len(hash), sha256.Size)
		}
		h.buckets = append(h.buckets, hex.EncodeToString(hash))
	}
	for _, publication := range message.GetPublications() {
		id, err := uuid.FromBytes(publication.GetID())
		if err != nil {
			return manifestHead{}, fmt.Errorf("publication of version %d: %w", publication.GetVersion(), err)
		}
		h.publications = append(h.publications, Publication{Version: publication.GetVersion(), ID: id})
	}

	return h, nil
}

// decodeBucket decodes bucket i of the manifest of the given version and adds its
// entries to parts, by team. It returns an error if an entry is invalid, belongs to
// another bucket or repeats a team.
func decodeBucket(i int, raw []byte, version uint64, parts map[string]Part) error {
	var message peerpb.ManifestBucket
	if err := proto.Unmarshal(raw, &message); err != nil {
		return fmt.Errorf("manifest bucket %d: %w", i, err)
	}
	for _, part := range message.GetParts() {
		team := part.GetTeam()
		_, duplicate := parts[team]
		if duplicate || !inifile.IsIdentifier(team) || fleet.GroupIndex(team, manifestBuckets) != i ||
			len(part.GetHash()) != sha256.Size || part.GetSince() == 0 || part.GetSince() > version {
			return fmt.Errorf("manifest bucket %d has an invalid entry for team %q", i, team)
		}
		parts[team] = Part{Hash: hex.EncodeToString(part.GetHash()), ChangedVersion: part.GetSince()}
	}

	return nil
}

// Hash returns the SHA-256 hash of content in lower-case hex, which is the name of
// the store object that holds content.
func Hash(content []byte) string {
	hash := sha256.Sum256(content)

	return hex.EncodeToString(hash[:])
}
