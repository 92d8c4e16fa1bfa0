package cluster_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/adapter/operator"
	"github.com/kumquatshelf/kumquatshelf/internal/config/keystore"
	corefleet "github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/standin/cluster"
	"github.com/kumquatshelf/kumquatshelf/internal/standin/load"
	"github.com/kumquatshelf/kumquatshelf/platform"
)

const (
	// withdrawalBound is the bound of R4 for a withdrawal to take effect everywhere.
	withdrawalBound = 3 * time.Second
	// storeBound bounds the time from the end of an outage until the store has a
	// withdrawal. It equals configurationBound, because R4 sets no bound for the store.
	storeBound = configurationBound
	// A reader that takes streamRate bytes per second needs 8 s for streamBytes.
	streamBytes = 16 << 20
	streamRate  = 2 << 20
)

// Guards against a withdrawn key that works for longer than 3 s at any daemon, on open
// connections of HTTP/1 and HTTP/2 and for an answer in flight, and against a withdrawal
// that never reaches the store.
func TestWithdrawnKeyStopsEverywhere(t *testing.T) {
	t.Parallel()

	for name, withdraw := range map[string]func(*fleet){
		"StoreUp": func(f *fleet) { f.runClient(f.keys["Harbour"]+"\n", "key", "withdraw") },
		"StoreAway": func(f *fleet) {
			f.noError(f.SetPlatformFaults(f.t.Context(), `{"Outage": true}`))
			f.withdrawAtDaemon(f.Daemons[0])
			time.AfterFunc(2*withdrawalBound, func() { f.noError(f.SetPlatformFaults(context.Background(), `{}`)) })
		},
		"AnswerLost": func(f *fleet) {
			f.noError(f.SetPlatformFaults(f.t.Context(), `{"LoseAnswers": 1}`))
			f.runClient(f.keys["Harbour"]+"\n", "key", "withdraw")
		},
		"DaemonFrozen": func(f *fleet) {
			f.noError(f.PauseDaemon(f.Daemons[1]))
			time.Sleep(300 * time.Millisecond)
			f.withdrawAtDaemon(f.Daemons[0])
			time.AfterFunc(withdrawalBound+time.Second, func() { f.noError(f.ResumeDaemon(f.Daemons[1])) })
		},
		"DaemonFrozenStoreAway": func(f *fleet) {
			f.noError(f.SetPlatformFaults(f.t.Context(), `{"Outage": true}`))
			f.noError(f.PauseDaemon(f.Daemons[1]))
			time.Sleep(300 * time.Millisecond)
			f.withdrawAtDaemon(f.Daemons[0])
			time.AfterFunc(withdrawalBound+time.Second, func() {
				f.noError(f.ResumeDaemon(f.Daemons[1]))
				time.Sleep(withdrawalBound)
				f.noError(f.SetPlatformFaults(context.Background(), `{}`))
			})
		},
		// Rumors are not sent to members that are considered faulty. A daemon that resumes
		// therefore finds no queued message with the withdrawal.
		"DaemonsThoughtFaulty": func(f *fleet) {
			f.noError(f.SetPlatformFaults(f.t.Context(), `{"Outage": true}`))

			f.withdrawAtDaemon(f.Daemons[0])
			time.AfterFunc(withdrawalBound+time.Second, func() {
				for _, daemon := range f.Daemons[3:] {
					f.noError(f.ResumeDaemon(daemon))
				}

				time.Sleep(withdrawalBound)
				f.noError(f.SetPlatformFaults(context.Background(), `{}`))
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, 6, "Harbour", "Sluice")
			ctx, cancel := context.WithCancel(t.Context())

			var (
				callers sync.WaitGroup
				mu      sync.Mutex
				uses    []keyUse
			)

			for _, daemon := range f.Daemons {
				for version := 1; version <= 2; version++ {
					callers.Go(func() {
						list := f.sendRepeatedly(ctx, daemon, version)

						mu.Lock()
						defer mu.Unlock()

						uses = append(uses, list...)
					})
				}
			}

			var began, cut time.Time

			if name == "DaemonsThoughtFaulty" {
				time.Sleep(time.Second)

				for _, daemon := range f.Daemons[3:] {
					f.noError(f.PauseDaemon(daemon))
				}

				time.Sleep(7 * time.Second)
			}

			// Answers to other accounts must continue. This is not checked if a daemon is frozen,
			// because a frozen daemon may cut the answers that it carries.
			callers.Go(func() { began, cut = f.readAnswerSlowly(f.Daemons[2], "Harbour", true) })

			if !strings.HasPrefix(name, "Daemon") {
				callers.Go(func() { f.readAnswerSlowly(f.Daemons[3], "Sluice", false) })
			}

			time.Sleep(time.Second)

			withdraw(f)

			// The withdrawal has returned at this time. Requests that are sent 3 s later must
			// be refused in every case.
			withdrawn := time.Now()

			time.Sleep(time.Until(withdrawn.Add(3 * withdrawalBound)))
			cancel()
			callers.Wait()

			f.checkKeyUses(uses, withdrawn)

			switch {
			case began.After(withdrawn):
				// A frozen daemon delayed the request, so no answer was in flight when the key
				// was withdrawn.
				t.Logf("the answer began %s and ended %s after the withdrawal", began.Sub(withdrawn), cut.Sub(withdrawn))
			case cut.After(withdrawn.Add(withdrawalBound)):
				t.Errorf("the answer of the withdrawn key ended %s after the withdrawal, want at most %s",
					cut.Sub(withdrawn), withdrawalBound)
			}

			f.waitUntil(storeBound, "the store has the withdrawal", func() bool { return f.isWithdrawnInStore(f.keys["Harbour"]) })
			f.runCounts()
		})
	}
}

// keyUse is one request with the key.
type keyUse struct {
	sent time.Time
	ran  bool
	// connection names the daemon and the HTTP version.
	connection string
	outcome    string
}

// checkKeyUses fails the test if a request ran that was sent too long after the withdrawal,
// or if none ran before it.
func (f *fleet) checkKeyUses(uses []keyUse, withdrawn time.Time) {
	f.t.Helper()

	before, late := 0, map[string]int{}
	last := make(map[string]time.Duration)

	for _, one := range uses {
		switch {
		case one.ran && one.sent.Before(withdrawn):
			before++
		case one.ran && one.sent.Sub(withdrawn) > withdrawalBound:
			late[one.connection]++
			last[one.connection] = max(last[one.connection], one.sent.Sub(withdrawn))
		}
	}

	f.t.Logf("%d requests, %d ran before the withdrawal", len(uses), before)

	if before == 0 {
		f.t.Error("no request ran before the withdrawal")
	}

	for where, count := range late {
		f.t.Errorf("%s served %d requests sent more than %s after the withdrawal, the last after %s",
			where, count, withdrawalBound, last[where])
	}
}

// withdrawAtDaemon withdraws Harbour's key through one daemon, which works without the store.
func (f *fleet) withdrawAtDaemon(daemon *cluster.Daemon) {
	client, closeClient := operator.NewClient("test")
	defer closeClient()

	_, outcome := client.WithdrawKey(f.t.Context(), daemon.OperatorAddress, keystore.Hash(f.keys["Harbour"]))
	if outcome != operator.Confirmed {
		f.t.Errorf("withdrawal at %s: got %s, want Confirmed", daemon.Name, outcome)
	}
}

func (f *fleet) isWithdrawnInStore(key string) bool {
	store, closeStore := f.newStore()
	defer closeStore()

	object, outcome := store.Get(f.t.Context(), keystore.Kind, keystore.Hash(key))
	stored, ok := keystore.Decode(object)

	return outcome == corefleet.StoreOK && ok && stored.Withdrawn
}

func (f *fleet) newStore() (*platform.Store, func()) {
	return platform.NewStore(f.PlatformAddress.String(), platform.StoreOptions{})
}

// newHTTPClient returns a client that speaks the given HTTP version and reuses its
// connections, and a function that closes its idle ones.
func newHTTPClient(version int) (*http.Client, func()) {
	transport := &http.Transport{Protocols: &http.Protocols{}, DialContext: (&net.Dialer{
		// With a small receive buffer, a slow reader delays the daemon's writes.
		Control: func(_, _ string, connection syscall.RawConn) error {
			return connection.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 64<<10)
			})
		},
	}).DialContext}
	transport.Protocols.SetHTTP1(version == 1)
	transport.Protocols.SetUnencryptedHTTP2(version == 2)

	return &http.Client{Transport: transport}, transport.CloseIdleConnections
}

// sendRepeatedly sends requests until ctx ends. Each carries the key in the Authorization
// header, the query, another header and a cookie. Every tenth request has it in the path
// too.
func (f *fleet) sendRepeatedly(ctx context.Context, daemon *cluster.Daemon, version int) []keyUse {
	client, closeClient := newHTTPClient(version)
	defer closeClient()

	var uses []keyUse

	key := f.keys["Harbour"]

	for n := 0; ctx.Err() == nil; n++ {
		request, err := http.NewRequestWithContext(context.WithoutCancel(ctx), http.MethodGet,
			"http://"+daemon.CallerAddress.String()+"/calendar/pond?Token="+key, http.NoBody)
		if err != nil {
			f.noError(err)

			return uses
		}

		if n%10 == 9 {
			request.URL.Path = "/calendar/" + key
		}

		request.Host = host
		request.Header.Set(load.RequestIDHeader, fmt.Sprintf("%s-%d-%d", daemon.Name, version, n))
		request.Header.Set("Authorization", "Bearer "+key)
		request.Header.Set("Copy", "copy of "+key)
		request.AddCookie(&http.Cookie{Name: "Copy", Value: key})

		one := keyUse{sent: time.Now(), connection: fmt.Sprintf("%s over HTTP/%d", daemon.Name, version)}

		answer, err := client.Do(request)
		if err == nil {
			_, _ = io.Copy(io.Discard, answer.Body)
			_ = answer.Body.Close()
			one.outcome = answer.Header.Get(load.OutcomeHeader)
			one.ran = one.outcome == string(load.Ran)
		}

		uses = append(uses, one)

		time.Sleep(20 * time.Millisecond)
	}

	return uses
}

// readAnswerSlowly reads a large answer at streamRate and returns when it began and ended.
// It fails the test unless the answer is cut or complete as wanted.
func (f *fleet) readAnswerSlowly(daemon *cluster.Daemon, account string, wantCut bool) (began, ended time.Time) {
	client, closeClient := newHTTPClient(1)
	defer closeClient()

	request, err := http.NewRequestWithContext(f.t.Context(), http.MethodGet,
		fmt.Sprintf("http://%s/archive/pond?Length=%d", daemon.CallerAddress, streamBytes), http.NoBody)
	if err != nil {
		f.noError(err)

		return began, ended
	}

	request.Host = host
	request.Header.Set(load.RequestIDHeader, "stream-"+account)
	request.Header.Set("Authorization", "Bearer "+f.keys[account])

	answer, err := client.Do(request)
	// A request fails if its attempt goes to an upstream beside a frozen daemon.
	for tries := 0; err == nil && answer.StatusCode != http.StatusOK && tries < 10; tries++ {
		_ = answer.Body.Close()
		answer, err = client.Do(request)
	}

	if err != nil {
		f.noError(err)

		return began, ended
	}

	defer func() { _ = answer.Body.Close() }()

	if answer.StatusCode != http.StatusOK {
		f.t.Errorf("the large answer to %s has status %d, want 200", account, answer.StatusCode)

		return began, ended
	}

	began = time.Now()

	const perSecond = 50

	for err == nil {
		_, err = io.CopyN(io.Discard, answer.Body, streamRate/perSecond)

		time.Sleep(time.Second / perSecond)
	}

	if cut := !errors.Is(err, io.EOF); cut != wantCut {
		f.t.Errorf("the answer to %s ended with %v, want a cut: %v", account, err, wantCut)
	}

	return began, time.Now()
}

// Guards against a key that works although it was withdrawn while it was being issued.
func TestWithdrawalRacingGiveWins(t *testing.T) {
	const count = 20

	f := startFleet(t, 4, "Harbour")
	store, closeStore := f.newStore()
	random := rand.New(rand.NewPCG(3, 0))

	defer closeStore()

	var group sync.WaitGroup

	for n := range count {
		account := fmt.Sprintf("Racing%d", n)
		f.keys[account] = fmt.Sprintf("racing-key-%032d", n)
		hash := keystore.Hash(f.keys[account])
		first, second := time.Duration(random.IntN(5))*time.Millisecond, time.Duration(random.IntN(5))*time.Millisecond

		group.Go(func() {
			time.Sleep(first)
			keystore.Issue(t.Context(), store, hash, "Harbour")
		})
		group.Go(func() {
			time.Sleep(second)

			if n%2 == 0 {
				if _, outcome := keystore.Withdraw(t.Context(), store, hash, "Harbour"); outcome != corefleet.StoreOK {
					t.Errorf("withdrawal in the store: got %s, want OK", outcome)
				}

				return
			}

			client, closeClient := operator.NewClient("test")
			defer closeClient()

			if _, outcome := client.WithdrawKey(t.Context(), f.Daemons[n%len(f.Daemons)].OperatorAddress, hash); outcome != operator.Confirmed {
				t.Errorf("withdrawal at a daemon: got %s, want Confirmed", outcome)
			}
		})
	}

	group.Wait()
	time.Sleep(withdrawalBound)

	client, closeClient := load.NewClient(f.CallerAddresses(), "racing", callTimeout)
	defer closeClient()

	for n := range count {
		stream := f.newStream(fmt.Sprintf("Racing%d", n), "GET", "/calendar/pond", 1)

		for _, daemon := range f.CallerAddresses() {
			if result := client.SendTo(t.Context(), stream, "racing", daemon); result.Status != http.StatusUnauthorized {
				t.Errorf("key %d at %s: got %s with status %d, want 401", n, daemon, result.Verdict, result.Status)
			}
		}

		f.waitUntil(storeBound, "the store has the withdrawal", func() bool { return f.isWithdrawnInStore(stream.Key) })
	}
}
