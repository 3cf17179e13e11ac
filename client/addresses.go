package client

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel/api"
)

const (
	// avoidTime is how long an address is avoided after a failed exchange.
	avoidTime = 2 * time.Second
	// addressTimeout limits one request for the address list.
	addressTimeout = 2 * time.Second
	// minAddressTTL is the minimum lifetime of an address list. Without it, a list with a TTL of 0
	// would be refreshed before every request.
	minAddressTTL = 100 * time.Millisecond
	// maxAddressBytes limits the size of an address list response.
	maxAddressBytes = 1 << 20
)

// fetchFunc requests the address list from the gateway at from.
type fetchFunc func(ctx context.Context, from string) (api.Addresses, error)

// addressBook caches the gateway addresses for their TTL and selects an address for each exchange.
// It is safe for concurrent use.
type addressBook struct {
	seeds []string
	fetch fetchFunc

	// refreshMu is held by the goroutine that refreshes the address list. It is acquired before
	// mu, which is never held during a request.
	refreshMu sync.Mutex

	// mu guards the fields below.
	mu      sync.Mutex
	known   []string
	expires time.Time
	// avoided maps an address to the time until which it is avoided.
	avoided map[string]time.Time
	// inFlight counts this client's running exchanges per address.
	inFlight map[string]int
}

func newAddressBook(seeds []string, fetch fetchFunc) *addressBook {
	return &addressBook{
		seeds:    seeds,
		fetch:    fetch,
		avoided:  map[string]time.Time{},
		inFlight: map[string]int{},
	}
}

// snapshot returns the cached addresses and whether their TTL has not expired yet.
func (b *addressBook) snapshot() (known []string, fresh bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.known, time.Now().Before(b.expires)
}

// current returns the gateway addresses and refreshes them if they have expired. While one
// goroutine refreshes, the others continue with the expired list; they wait only if there is no
// list yet. If no gateway answers, the expired list stays in use: its gateways may still work, and
// without it the caller could not send any request.
func (b *addressBook) current(ctx context.Context) ([]string, error) {
	known, fresh := b.snapshot()
	if fresh {
		return known, nil
	}
	if len(known) > 0 && !b.refreshMu.TryLock() {
		return known, nil
	}
	if len(known) == 0 {
		b.refreshMu.Lock()
	}
	defer b.refreshMu.Unlock()
	if known, fresh = b.snapshot(); fresh {
		return known, nil
	}
	err := b.refresh(ctx)
	known, _ = b.snapshot()
	if len(known) > 0 {
		return known, nil
	}
	return nil, err
}

// refresh requests the address list from the known gateways and then from the seeds, each group in
// random order, until one returns a list that is not empty. Otherwise it returns the error of the
// last request that failed. The caller holds refreshMu.
func (b *addressBook) refresh(ctx context.Context) error {
	var lastErr error
	for _, from := range b.sources() {
		list, err := b.fetch(ctx, from)
		if err == nil && len(list.Addresses) > 0 {
			b.store(list)
			return nil
		}
		if err != nil {
			lastErr = err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return eris.Wrap(lastErr, "client: no gateway returned its address list")
}

// sources returns the addresses to request the list from: the known gateways, then the seeds, each
// group shuffled, without duplicates.
func (b *addressBook) sources() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	seen := map[string]bool{}
	var out []string
	for _, group := range [][]string{b.known, b.seeds} {
		shuffled := append([]string(nil), group...)
		rand.Shuffle(len(shuffled), func(i, j int) {
			shuffled[i], shuffled[j] = shuffled[j], shuffled[i]
		})
		for _, a := range shuffled {
			if !seen[a] {
				seen[a] = true
				out = append(out, a)
			}
		}
	}
	return out
}

// store caches an address list and removes the entries of avoided that have expired.
func (b *addressBook) store(list api.Addresses) {
	ttl := max(time.Duration(list.TTLMS)*time.Millisecond, minAddressTTL)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.known = list.Addresses
	b.expires = time.Now().Add(ttl)
	for a, until := range b.avoided {
		if time.Now().After(until) {
			delete(b.avoided, a)
		}
	}
}

// pick selects an address for one exchange by the power of two choices: of two random addresses, it
// takes the one with fewer exchanges of this client in flight. Addresses in excluded and addresses
// that failed within avoidTime are passed over as long as others remain. The caller must call done
// when the exchange ends.
func (b *addressBook) pick(ctx context.Context, excluded map[string]bool) (addr string, done func(), err error) {
	known, err := b.current(ctx)
	if err != nil {
		return "", nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	candidates := b.candidates(known, excluded)
	addr = candidates[rand.IntN(len(candidates))]
	if other := candidates[rand.IntN(len(candidates))]; b.inFlight[other] < b.inFlight[addr] {
		addr = other
	}
	b.inFlight[addr]++
	return addr, sync.OnceFunc(func() { b.release(addr) }), nil
}

// candidates returns the addresses that pick chooses from: those neither in excluded nor avoided;
// if there are none, those not in excluded; if there are none either, all. The caller holds mu.
func (b *addressBook) candidates(known []string, excluded map[string]bool) []string {
	now := time.Now()
	var preferred, untried []string
	for _, a := range known {
		if excluded[a] {
			continue
		}
		untried = append(untried, a)
		if now.After(b.avoided[a]) {
			preferred = append(preferred, a)
		}
	}
	switch {
	case len(preferred) > 0:
		return preferred
	case len(untried) > 0:
		return untried
	default:
		return known
	}
}

func (b *addressBook) release(addr string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight[addr]--
	if b.inFlight[addr] <= 0 {
		delete(b.inFlight, addr)
	}
}

// markFailed records a failed exchange, after which the address is avoided for avoidTime.
func (b *addressBook) markFailed(addr string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.avoided[addr] = time.Now().Add(avoidTime)
}

// fetchAddresses is the fetchFunc of a Client.
func (c *Client) fetchAddresses(ctx context.Context, from string) (api.Addresses, error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	var list api.Addresses
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(from, "/v1/addresses"), nil)
	if err != nil {
		return list, eris.Wrap(err, "client: build address request")
	}
	req.Header.Set("Authorization", "Bearer "+c.opts.Key)
	res, err := c.http.Do(req)
	if err != nil {
		return list, eris.Wrapf(err, "client: request address list from %s", from)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return list, decodeRefusal(res)
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAddressBytes))
	if err != nil {
		return list, eris.Wrapf(err, "client: read address list from %s", from)
	}
	if err := json.Unmarshal(body, &list); err != nil {
		return list, eris.Wrapf(err, "client: decode address list from %s", from)
	}
	return list, nil
}

func (c *Client) url(addr, path string) string { return c.opts.Scheme + "://" + addr + path }
