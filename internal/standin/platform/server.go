package platform

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/crocusreel/crocusreel/internal/standin/admin"
	"github.com/crocusreel/crocusreel/platform"
)

// Options configure the stand-in.
type Options struct {
	// WriteRate and ReadRate limit the calls per second; 0 means no limit.
	WriteRate, ReadRate float64
	// Latency is added to each call.
	Latency time.Duration
	// VMLag is the delay before a new list of VMs becomes visible; the first has none.
	VMLag time.Duration
	// WeightBytesPerS is the transfer rate of the weight store in bytes per second, ModelBytes
	// the size of each load in bytes. Defaults 2e9 and 1e9.
	WeightBytesPerS float64
	ModelBytes      int64
	// Seed seeds the random faults.
	Seed uint64
}

// maxHistoryOperations is the maximum number of recorded operations; later ones are not recorded.
const maxHistoryOperations = 500_000

// Server is a stand-in for the platform.
type Server struct {
	options Options
	store   *store
	writes  *limiter
	reads   *limiter
	weights *weightStore
	vms     *laggingVMs
	start   time.Time

	mu      sync.Mutex
	faults  admin.PlatformFaults
	random  *rand.Rand
	history []admin.Operation
}

// New returns a stand-in with empty tables.
func New(o Options) *Server {
	if o.WeightBytesPerS <= 0 {
		o.WeightBytesPerS = 2e9
	}
	if o.ModelBytes <= 0 {
		o.ModelBytes = 1e9
	}
	return &Server{
		options: o,
		store:   newStore(),
		writes:  newLimiter(o.WriteRate),
		reads:   newLimiter(o.ReadRate),
		weights: &weightStore{bytesPerSecond: o.WeightBytesPerS, modelBytes: o.ModelBytes},
		vms:     &laggingVMs{lag: o.VMLag},
		start:   time.Now(),
		random:  rand.New(rand.NewPCG(o.Seed, 0)),
	}
}

// Handler returns the handler of the platform's API and the administration API.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.GET(platform.PathRows, s.withFaults(s.reads, s.list))
	e.GET(platform.PathChanges, s.withFaults(s.reads, s.changes))
	e.POST(platform.PathTransaction, s.withFaults(s.writes, s.commit))
	e.PUT(platform.PathPutObject+":name", s.withFaults(s.writes, s.putObject))
	e.GET(platform.PathGetObject+":name", s.withFaults(s.reads, s.getObject))
	e.POST(platform.PathReserve, s.withFaults(s.writes, s.reserve))
	e.GET("/healthz", s.health)
	e.POST(admin.PathFaults, s.setFaults)
	e.GET(admin.PathFaults, func(c echo.Context) error { return c.JSON(http.StatusOK, s.currentFaults()) })
	e.PUT(admin.PathVMs, s.setVMs)
	e.GET(admin.PathHistory, s.getHistory)
	e.GET(admin.PathReservations, func(c echo.Context) error { return c.JSON(http.StatusOK, s.weights.list()) })
	return e
}

// withFaults applies outages, the rate limit and the delay before a call. The handlers delay the
// response themselves.
func (s *Server) withFaults(limit *limiter, next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		f := s.currentFaults()
		if f.Unreachable {
			abort()
		}
		setEra(c, s.store.revision().Era)
		if f.Down || f.WritesDown && limit == s.writes {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		if !limit.allow(time.Now()) {
			return c.NoContent(http.StatusTooManyRequests)
		}
		if !sleepWhileConnected(c, s.options.Latency+milliseconds(f.SlowMS)) {
			abort()
		}
		setEra(c, s.store.revision().Era)
		return next(c)
	}
}

// setEra sets the header that holds the era in which a call was served.
func setEra(c echo.Context, era int64) {
	c.Response().Header().Set(platform.HeaderStoreEra, strconv.FormatInt(era, 10))
}

// sleepWhileConnected waits for d and returns false if the client disconnects first. A call whose
// client disconnects before the call is applied is not applied.
func sleepWhileConnected(c echo.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-c.Request().Context().Done():
		return false
	}
}

// abort closes the connection without a response.
func abort() { panic(http.ErrAbortHandler) }

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func (s *Server) currentFaults() admin.PlatformFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// chance returns true with probability p.
func (s *Server) chance(p float64) bool {
	if p <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < p
}

func (s *Server) health(c echo.Context) error {
	if f := s.currentFaults(); f.Down || f.Unreachable {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
}

func (s *Server) setFaults(c echo.Context) error {
	var f admin.PlatformFaults
	if err := c.Bind(&f); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.DropHistory {
		s.store.dropHistory()
	}
	if f.KeepCopy {
		s.store.keepCopy()
	}
	if f.Restore {
		s.store.restore()
	}
	return c.JSON(http.StatusOK, f)
}

func (s *Server) setVMs(c echo.Context) error {
	var vms []platform.VM
	if err := c.Bind(&vms); err != nil {
		return err
	}
	s.vms.set(time.Now(), vms)
	return c.JSON(http.StatusOK, vms)
}

func (s *Server) getHistory(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.JSON(http.StatusOK, append([]admin.Operation{}, s.history...))
}

func (s *Server) record(op admin.Operation) {
	op.ReturnedNS = s.nowNS()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.history) < maxHistoryOperations {
		s.history = append(s.history, op)
	}
}

func (s *Server) nowNS() int64 { return time.Since(s.start).Nanoseconds() }
