// Package publication publishes team files to the store and loads them.
//
// A configuration is a set of immutable parts, named by their hash, and a
// manifest that is replaced by conditional update. This follows the design
// "wal3-Lite: immutable fragments and CAS manifest on S3".
package publication

import (
	"context"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// Kinds and names of the store's objects.
const (
	ManifestKind = "Manifest"
	ManifestName = "Current"
	PartKind     = "Part"
)

// Store is the platform's store.
type Store interface {
	Get(ctx context.Context, kind, name string) (fleet.Object, fleet.StoreOutcome)
	Put(ctx context.Context, object fleet.Object, condition fleet.Condition) fleet.StoreOutcome
	List(ctx context.Context, kind string, after string) ([]fleet.Object, fleet.StoreOutcome)
	Watch(ctx context.Context, kind string, since uint64) ([]fleet.Object, fleet.StoreOutcome)
}

// NewStoreSource returns the store as a source. If head is not nil, it is used
// instead of reading the manifest.
func NewStoreSource(store Store, head []byte) Source {
	return storeSource{store, head}
}

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
