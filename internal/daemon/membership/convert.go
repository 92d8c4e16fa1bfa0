package membership

import (
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/gossip"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

func fromEntries(entries []fleet.Entry) []*peerpb.Entry {
	out := make([]*peerpb.Entry, len(entries))
	for i, e := range entries {
		out[i] = &peerpb.Entry{
			Kind: uint32(e.Kind), Key: e.Key, Incarnation: e.Incarnation, Version: e.Version, Value: e.Value,
		}
	}

	return out
}

func toEntries(entries []*peerpb.Entry) []fleet.Entry {
	out := make([]fleet.Entry, 0, len(entries))
	for _, e := range entries {
		if e.Kind == 0 || e.Kind > 255 {
			continue
		}
		out = append(out, fleet.Entry{
			Kind: fleet.EntryKind(e.Kind), Key: e.Key, Incarnation: e.Incarnation, Version: e.Version, Value: e.Value,
		})
	}

	return out
}

func fromVersions(versions []gossip.Version) []*peerpb.EntryVersion {
	out := make([]*peerpb.EntryVersion, len(versions))
	for i, v := range versions {
		out[i] = &peerpb.EntryVersion{KeyHash: v.KeyHash, Incarnation: v.Incarnation, Version: v.Version}
	}

	return out
}

func toVersions(versions []*peerpb.EntryVersion) []gossip.Version {
	out := make([]gossip.Version, len(versions))
	for i, v := range versions {
		out[i] = gossip.Version{KeyHash: v.KeyHash, Incarnation: v.Incarnation, Version: v.Version}
	}

	return out
}

func deltaFrame(delta *peerpb.Delta) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Delta{Delta: delta}}
}

// probeFrame returns a request to probe the target, or the receiver itself if target is
// empty.
func probeFrame(target string) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Probe{Probe: &peerpb.Probe{Target: target}}}
}
