// Package publication publishes team files to the store and loads the published
// configuration.
//
// In the store, a configuration is a set of immutable parts, whose names are the
// hashes of their contents, and a manifest that is replaced by conditional update.
// A part is a team file or a bucket, which lists some of the teams with the hashes
// of their files. The manifest's head lists the hashes of the buckets. This follows
// the design "wal3-Lite: immutable fragments and CAS manifest on S3".
package publication

import (
	"context"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// Kinds and names of the store's objects.
const (
	// ManifestKind and ManifestName identify the object that holds the head of the
	// current manifest.
	ManifestKind = "Manifest"
	ManifestName = "Current"
	// PartKind is the kind of team files and buckets, whose names are their hashes.
	PartKind = "Part"
)

// Store is the platform's object store.
type Store interface {
	Get(ctx context.Context, kind, name string) (fleet.Object, fleet.StoreOutcome)
	Put(ctx context.Context, object fleet.Object, condition fleet.Condition) fleet.StoreOutcome
	List(ctx context.Context, kind string, after string) ([]fleet.Object, fleet.StoreOutcome)
	Watch(ctx context.Context, kind string, since uint64) ([]fleet.Object, fleet.StoreOutcome)
}

// NewStoreSource returns a source that reads from the store. If head is not nil, it
// is used as the head of the manifest and the store's manifest is not read.
func NewStoreSource(store Store, head []byte) Source {
	return storeSource{store, head}
}

// storeSource implements Source by reads from the store.
type storeSource struct {
	store Store
	head  []byte
}

func (s storeSource) Head(ctx context.Context) ([]byte, bool) {
	if s.head != nil {
		return s.head, true
	}
	object, outcome := s.store.Get(ctx, ManifestKind, ManifestName)

	return object.Value, outcome == fleet.StoreOK
}

func (s storeSource) Part(ctx context.Context, hash string) ([]byte, bool) {
	object, outcome := s.store.Get(ctx, PartKind, hash)

	return object.Value, outcome == fleet.StoreOK
}
