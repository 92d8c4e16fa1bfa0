package fleet

import (
	"testing"

	"pgregory.net/rapid"
)

// TestClientAccountsLikeMap compares the table with a map. It guards against
// accounts that are not found, found under another name or lost when a name is
// added twice.
func TestClientAccountsLikeMap(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.SampledFrom([]string{"", "A", "AA", "AB", "B", "BA", "Club", "Clubs"})
		lists := rapid.SliceOfN(rapid.SliceOfN(name, 0, 4), 0, 6).Draw(t, "lists")
		want, count := map[string]ClientAccount{}, 0
		for _, list := range lists {
			count += len(list)
		}
		got := NewClientAccounts(count)
		for i, names := range lists {
			var accounts, duplicates []ClientAccount
			team := string(rune('a' + i))
			for j, n := range names {
				account := ClientAccount{Name: n, Team: team, Rate: float64(10*i + j), Burst: j + 1}
				accounts = append(accounts, account)
				if _, ok := want[n]; ok {
					duplicates = append(duplicates, account)
				} else {
					want[n] = account
				}
			}
			reported := got.Add(NewAccountList(team, accounts))
			if len(reported) != len(duplicates) || len(duplicates) > 0 && reported[0] != duplicates[0] {
				t.Fatalf("got %v as added twice, want %v", reported, duplicates)
			}
		}
		for _, n := range []string{"", "A", "AA", "AB", "B", "BA", "Club", "Clubs", "Other"} {
			account, ok := got.Get(n)
			if wanted, known := want[n]; account != wanted || ok != known {
				t.Fatalf("got %v and %v for %q, want %v and %v", account, ok, n, wanted, known)
			}
		}
		visited := 0
		for range got.All() {
			visited++
		}
		if got.Len() != len(want) || visited != count {
			t.Fatalf("got %d names and %d accounts, want %d and %d", got.Len(), visited, len(want), count)
		}
	})
}
