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
	// manifestBuckets is the number of objects that hold the teams' parts. A
	// change rewrites one of them; internal/bench/publication compares sizes.
	manifestBuckets = 64
	// maxPublications is how many recent publications a manifest lists. At the
	// target's 6,700 changes a day, 64 cover 14 minutes, in which a publisher
	// that lost an answer can still recognise its own publication.
	maxPublications = 64
)

// ID identifies one publication, so that its publisher recognises it.
type ID = uuid.UUID

// Part refers to one team's file.
type Part struct {
	// Hash is the SHA-256 hash of the file, in hex.
	Hash string
	// ChangedVersion is the version that last changed the team.
	ChangedVersion uint64
}

// Publication is one accepted publication.
type Publication struct {
	Version uint64
	ID      ID
}

// Manifest describes one version of the configuration.
type Manifest struct {
	// Version rises by one with each publication; zero means that there was none.
	Version uint64
	// Parts is keyed by team.
	Parts map[string]Part
	// Publications are the most recent, one for each version, oldest first.
	Publications []Publication
}

// VersionOf returns the version that a publication made, if the manifest
// still lists it.
func (m Manifest) VersionOf(id ID) (uint64, bool) {
	for _, publication := range m.Publications {
		if publication.ID == id {
			return publication.Version, true
		}
	}

	return 0, false
}

// covers reports whether the manifest lists the publication of a version.
func (m Manifest) covers(version uint64) bool {
	return slices.ContainsFunc(m.Publications, func(p Publication) bool { return p.Version == version })
}

// next returns a copy with changed parts as the following version.
func (m Manifest) next(id ID, put map[string]string, remove []string) Manifest {
	n := Manifest{Version: m.Version + 1, Parts: maps.Clone(m.Parts)}
	if n.Parts == nil {
		n.Parts = map[string]Part{}
	}
	for _, team := range remove {
		delete(n.Parts, team)
	}
	for team, hash := range put {
		n.Parts[team] = Part{Hash: hash, ChangedVersion: n.Version}
	}
	recent := m.Publications[max(0, len(m.Publications)-maxPublications+1):]
	n.Publications = append(slices.Clone(recent), Publication{Version: n.Version, ID: id})

	return n
}

// Encode returns the head, which is the value of Manifest/Current, and the
// buckets that it refers to, by their hash.
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

func marshal(message proto.Message) []byte {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		panic(fmt.Sprintf("encoding the manifest: %v", err)) // only invalid UTF-8 fails, and names are ASCII
	}

	return raw
}

// head is a decoded value of Manifest/Current without its buckets.
type head struct {
	version      uint64
	buckets      []string
	publications []Publication
}

// HeadVersion returns the version of an encoded head of a manifest.
func HeadVersion(raw []byte) (uint64, bool) {
	h, err := decodeHead(raw)

	return h.version, err == nil
}

func decodeHead(raw []byte) (head, error) {
	var message peerpb.ManifestHead
	if err := proto.Unmarshal(raw, &message); err != nil {
		return head{}, fmt.Errorf("manifest: %w", err)
	}
	if message.GetVersion() == 0 || len(message.GetBuckets()) != manifestBuckets {
		return head{}, fmt.Errorf("manifest of version %d has %d buckets; expected a version above 0 and %d buckets",
			message.GetVersion(), len(message.GetBuckets()), manifestBuckets)
	}
	h := head{version: message.GetVersion()}
	for i, hash := range message.GetBuckets() {
		if len(hash) != 0 && len(hash) != sha256.Size {
			return head{}, fmt.Errorf("manifest bucket %d has a hash of %d bytes; expected %d", i, len(hash), sha256.Size)
		}
		h.buckets = append(h.buckets, hex.EncodeToString(hash))
	}
	for _, publication := range message.GetPublications() {
		id, err := uuid.FromBytes(publication.GetID())
		if err != nil {
			return head{}, fmt.Errorf("publication of version %d: %w", publication.GetVersion(), err)
		}
		h.publications = append(h.publications, Publication{Version: publication.GetVersion(), ID: id})
	}

	return h, nil
}

// decodeBucket adds the parts of bucket i to parts.
func decodeBucket(i int, raw []byte, version uint64, parts map[string]Part) error {
	var message peerpb.ManifestBucket
	if err := proto.Unmarshal(raw, &message); err != nil {
		return fmt.Errorf("manifest bucket %d: %w", i, err)
	}
	for _, part := range message.GetParts() {
		team := part.GetTeam()
		_, twice := parts[team]
		if twice || !inifile.IsIdentifier(team) || fleet.GroupIndex(team, manifestBuckets) != i ||
			len(part.GetHash()) != sha256.Size || part.GetSince() == 0 || part.GetSince() > version {
			return fmt.Errorf("manifest bucket %d has an invalid entry for team %q", i, team)
		}
		parts[team] = Part{Hash: hex.EncodeToString(part.GetHash()), ChangedVersion: part.GetSince()}
	}

	return nil
}

// Hash returns the SHA-256 hash of content in hex, which is the name of a part.
func Hash(content []byte) string {
	hash := sha256.Sum256(content)

	return hex.EncodeToString(hash[:])
}
