package setup

import (
	"cmp"
	"crypto/rand"
	"time"

	"github.com/rs/zerolog"

	"railrelay.dev/railrelay/internal/controller"
	"railrelay.dev/railrelay/internal/resultstore"
	"railrelay.dev/railrelay/internal/spool"
)

// Spool configures the store of results that clients read page by page.
type Spool struct {
	Field string `yaml:"field"` // call field that asks for a result in pages
	// Directory is where results are stored. If it is empty, results are kept in memory and lost
	// at the end of the process.
	Directory string  `yaml:"directory"`
	MemoryMB  float64 `yaml:"memory_mb"` // pages in memory; default 16
	DiskMB    float64 `yaml:"disk_mb"`   // pages on disk; default 1024
	// MaxResultMB limits one result; default 1024, at most the space in memory and on disk.
	MaxResultMB float64 `yaml:"result_mb"`
	MaxResults  int     `yaml:"results"` // at once; default 10000
	// TenantShare is the fraction of the space above which a tenant's results are evicted first;
	// default 0.25.
	TenantShare      float64  `yaml:"team_share"`
	MaxTenantResults int      `yaml:"team_results"` // of one tenant at once; default 1000
	MaxTenantMB      float64  `yaml:"team_mb"`      // of one tenant; default unlimited
	IdleTimeout      Duration `yaml:"idle"`         // after its last read, a result expires; default 15m
	// MaxAge is the time from its creation until a result expires, even if it is read; default 2h.
	MaxAge       Duration `yaml:"life"`
	PageKB       float64  `yaml:"page_kb"`   // size up to which engines' pages are joined; default 32
	MaxWritingMB float64  `yaml:"flight_mb"` // being written at once; default 4
	MaxReads     int      `yaml:"reads"`     // pages being read from disk at once; default 64
	SyncPolicy   string   `yaml:"sync"`      // promise, ticks or never; default promise
	KeyLifetime  Duration `yaml:"keys"`      // time for which a key signs new tokens; default 24h
}

var syncPolicies = map[string]resultstore.SyncPolicy{"": resultstore.SyncOnCommit,
	"promise": resultstore.SyncOnCommit, "ticks": resultstore.SyncOnTick, "never": resultstore.SyncNever}

func (c *checker) checkSpool(s *Spool, l Limits) {
	if s.Field == "" {
		c.addError("spool.field", "is missing: without it no call can ask for pages")
	}
	c.optionalNumber("spool.memory_mb", s.MemoryMB, 1, 1<<20)
	c.optionalNumber("spool.disk_mb", s.DiskMB, 1, 1<<30)
	c.optionalNumber("spool.result_mb", s.MaxResultMB, 0.001, 1<<20)
	c.optionalNumber("spool.results", float64(s.MaxResults), 1, 10_000_000)
	c.optionalNumber("spool.team_share", s.TenantShare, 0.001, 1)
	c.optionalNumber("spool.team_results", float64(s.MaxTenantResults), 1, 10_000_000)
	c.optionalNumber("spool.team_mb", s.MaxTenantMB, 0.001, 1<<30)
	c.optionalNumber("spool.page_kb", s.PageKB, 1, 1024)
	c.optionalNumber("spool.flight_mb", s.MaxWritingMB, 0.1, 1024)
	c.optionalNumber("spool.reads", float64(s.MaxReads), 1, 10_000)
	if _, ok := syncPolicies[s.SyncPolicy]; !ok {
		c.addError("spool.sync", "%q is not one of: promise, ticks, never", s.SyncPolicy)
	}
	if s.Directory == "" && s.DiskMB > 0 {
		c.addError("spool.disk_mb", "is set, but spool.directory is missing")
	}
	if s.MemoryMB > cmp.Or(l.MemoryMB, 512)/2 {
		c.addError("spool.memory_mb", "is more than half of limits.memory_mb")
	}
	if idle, life := s.IdleTimeout.orDefault(spool.DefaultLimits().IdleTimeout),
		s.MaxAge.orDefault(spool.DefaultLimits().MaxAge); idle > life {
		c.addError("spool.idle", "%v is longer than spool.life, %v", idle, life)
	}
	if k := time.Duration(s.KeyLifetime); k > 0 && k < time.Minute {
		c.addError("spool.keys", "%v is shorter than a minute", k)
	}
}

// Limits returns the limits of the spool, with defaults in place of missing values.
func (s *Spool) Limits() spool.Limits {
	const mb = 1 << 20
	l := spool.DefaultLimits()
	l.MaxMemoryBytes = int64(cmp.Or(s.MemoryMB, 16) * mb)
	if s.Directory != "" {
		l.MaxDiskBytes = int64(cmp.Or(s.DiskMB, 1024) * mb)
	}
	l.MaxTenantBytes = int64(s.MaxTenantMB * mb)
	l.MaxResultBytes = int64(cmp.Or(s.MaxResultMB, 1024) * mb)
	l.MaxResults = cmp.Or(s.MaxResults, l.MaxResults)
	l.MaxTenantResults = cmp.Or(s.MaxTenantResults, l.MaxTenantResults)
	l.TenantShare = cmp.Or(s.TenantShare, l.TenantShare)
	l.IdleTimeout = s.IdleTimeout.orDefault(l.IdleTimeout)
	l.MaxAge = s.MaxAge.orDefault(l.MaxAge)
	l.PageBytes = int(cmp.Or(s.PageKB, 32) * 1024)
	l.MaxWritingBytes = int64(cmp.Or(s.MaxWritingMB, 4) * mb)
	l.MaxReads = cmp.Or(s.MaxReads, l.MaxReads)
	return l
}

// OpenSpool opens the configured spool and adds it to a controller's configuration. Without a
// spool it returns nil.
func (x *Setup) OpenSpool(config *controller.Config, log zerolog.Logger) (*resultstore.SpoolStore, error) {
	s := x.Spool
	if s == nil {
		return nil, nil
	}
	newKey := func() []byte {
		p := make([]byte, 32)
		rand.Read(p)
		return p
	}
	spoolConfig := &controller.SpoolConfig{Limits: s.Limits()}
	config.FieldNames.Paged = s.Field
	config.Spool = spoolConfig
	nowMs := config.StartedAt.UnixMilli()
	var store *resultstore.SpoolStore
	var savedKeys []byte
	if s.Directory != "" {
		var err error
		if store, err = resultstore.OpenSpoolStore(s.Directory,
			resultstore.Options{Sync: syncPolicies[s.SyncPolicy]}); err != nil {
			return nil, err
		}
		recovery := &store.Recovery
		event := log.Info()
		if len(recovery.Lost) > 0 || recovery.CorruptBytes > 0 {
			event = log.Log()
		}
		event.Int("results", recovery.Results).Int("segments", recovery.Segments).
			Int("half_written", recovery.Incomplete).Int64("torn_bytes", recovery.CorruptBytes).
			Int("lost", len(recovery.Lost)).Bool("index_rebuilt", recovery.IndexRebuilt).Msg("opened the spool")
		if savedKeys, err = store.Keys(); err != nil {
			store.Close()
			return nil, err
		}
		spoolConfig.FirstResultID, spoolConfig.Restore = store.FirstResultID(), store.Restore
	}
	keys, err := spool.NewKeyring(savedKeys, s.KeyLifetime.orDefault(24*time.Hour), nowMs, newKey)
	if err == nil && store != nil {
		err = store.SaveKeys(keys.Encode())
	}
	if err != nil {
		if store != nil {
			store.Close()
		}
		return nil, err
	}
	spoolConfig.Keys = keys
	return store, nil
}
