// Package platform is the client of the platform's object API.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

const (
	// callTimeout bounds a call other than a watch. The store answers within
	// milliseconds when it is well.
	callTimeout = 5 * time.Second
	// dialTimeout bounds the time to open a connection.
	dialTimeout = 2 * time.Second
	// watchWait is how long the store holds a watch without changes.
	watchWait = 20 * time.Second
	// maxListBytes bounds an answer to a list or watch. The store ends an
	// answer after 8 MiB of values, plus one object; JSON adds a third.
	maxListBytes = 16 << 20
	// maxIdleConnections allows a few watches and calls without new dials.
	maxIdleConnections = 8
)

// Options change how a client connects.
type Options struct {
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls the object API. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client for the store at address, which has the form host:port,
// and a function that closes its connections.
func New(address string, options Options) (*Client, func()) {
	dial := options.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	transport := &http.Transport{
		DialContext:         dial,
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	client := &Client{
		base: "http://" + address,
		http: &http.Client{
			Transport:     transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}

	return client, transport.CloseIdleConnections
}

// Get returns one object. Outcomes: OK, NotFound, Unavailable.
func (c *Client) Get(ctx context.Context, kind, name string) (fleet.Object, fleet.StoreOutcome) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := c.get(ctx, objectPath(kind, name))
	if err != nil {
		return fleet.Object{}, fleet.StoreUnavailable
	}
	defer discard(response)
	if response.StatusCode == http.StatusNotFound {
		return fleet.Object{}, fleet.StoreNotFound
	}
	version, ok := parseTag(response.Header.Get("ETag"))
	if response.StatusCode != http.StatusOK || !ok {
		return fleet.Object{}, fleet.StoreUnavailable
	}
	value, err := io.ReadAll(io.LimitReader(response.Body, fleet.MaxObjectBytes+1))
	if err != nil || len(value) > fleet.MaxObjectBytes {
		return fleet.Object{}, fleet.StoreUnavailable
	}

	return fleet.Object{Kind: kind, Name: name, Version: version, Value: value}, fleet.StoreOK
}

// Put writes one object if the condition holds. Outcomes: OK, Conflict,
// Unavailable, Ambiguous, Rejected.
func (c *Client) Put(ctx context.Context, object fleet.Object, condition fleet.Condition) fleet.StoreOutcome {
	if len(object.Value) > fleet.MaxObjectBytes {
		return fleet.StoreRejected
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// A request without a connection had no effect. After that, a failure does
	// not tell whether the store received the request.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, c.base+objectPath(object.Kind, object.Name), bytes.NewReader(object.Value))
	if err != nil {
		return fleet.StoreRejected
	}
	if condition == fleet.IfAbsent {
		request.Header.Set("If-None-Match", "*")
	} else {
		request.Header.Set("If-Match", `"`+strconv.FormatUint(condition.Version, 10)+`"`)
	}
	response, err := c.http.Do(request)
	if err != nil {
		if connected.Load() {
			return fleet.StoreAmbiguous
		}

		return fleet.StoreUnavailable
	}
	defer discard(response)

	return putOutcome(response.StatusCode)
}

func putOutcome(status int) fleet.StoreOutcome {
	switch {
	case status == http.StatusOK:
		return fleet.StoreOK
	case status == http.StatusPreconditionFailed:
		return fleet.StoreConflict
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return fleet.StoreUnavailable
	case status >= 400 && status < 500:
		return fleet.StoreRejected
	}

	return fleet.StoreAmbiguous
}

// List returns up to 1,000 objects whose name is greater than after, in the
// order of their names. The end is reached when none are returned. Outcomes:
// OK, Unavailable.
func (c *Client) List(ctx context.Context, kind, after string) ([]fleet.Object, fleet.StoreOutcome) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	return c.objects(ctx, "/Objects/"+url.PathEscape(kind)+"?"+url.Values{"After": {after}}.Encode())
}

// Watch returns objects written after the given version, in the order of their
// versions. It waits up to 20 s for one, and then returns none with OK.
// Outcomes: OK, Unavailable.
func (c *Client) Watch(ctx context.Context, kind string, since uint64) ([]fleet.Object, fleet.StoreOutcome) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
	defer cancel()
	query := url.Values{"Since": {strconv.FormatUint(since, 10)}, "Wait": {watchWait.String()}}

	return c.objects(ctx, "/Objects/"+url.PathEscape(kind)+"?"+query.Encode())
}

func (c *Client) objects(ctx context.Context, path string) ([]fleet.Object, fleet.StoreOutcome) {
	response, err := c.get(ctx, path)
	if err != nil {
		return nil, fleet.StoreUnavailable
	}
	defer discard(response)
	if response.StatusCode != http.StatusOK {
		return nil, fleet.StoreUnavailable
	}
	var objects []fleet.Object
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&objects); err != nil {
		return nil, fleet.StoreUnavailable
	}

	return objects, fleet.StoreOK
}

func (c *Client) get(ctx context.Context, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("request for %s: %w", path, err)
	}

	return c.http.Do(request)
}

func objectPath(kind, name string) string {
	return "/Objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func parseTag(tag string) (uint64, bool) {
	inner, ok := strings.CutPrefix(tag, `"`)
	inner, closed := strings.CutSuffix(inner, `"`)
	version, err := strconv.ParseUint(inner, 10, 64)

	return version, ok && closed && err == nil && version > 0
}

// discard reads the rest of a small body, so that the connection is reused.
func discard(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, 64<<10)
	_ = response.Body.Close()
}
