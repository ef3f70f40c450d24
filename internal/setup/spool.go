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

// Spool is where results are kept that clients read page by page.
type Spool struct {
	Field       string   `yaml:"field"`        // of a call that asks for pages
	Directory   string   `yaml:"directory"`    // left out: results are kept in memory and end with the program
	MemoryMB    float64  `yaml:"memory_mb"`    // pages in memory: 16
	DiskMB      float64  `yaml:"disk_mb"`      // pages on disk: 1024
	ResultMB    float64  `yaml:"result_mb"`    // one result: 1024, no more than the room
	Results     int      `yaml:"results"`      // at once: 10000
	TeamShare   float64  `yaml:"team_share"`   // of the room before a team's are the first to go: 0.25
	TeamResults int      `yaml:"team_results"` // of one team at once: 1000
	TeamMB      float64  `yaml:"team_mb"`      // of one team: no bound of its own
	Idle        Duration `yaml:"idle"`         // a result lives from its last read: 15m
	Life        Duration `yaml:"life"`         // and in all: 2h
	PageKB      float64  `yaml:"page_kb"`      // pages of engines are joined up to: 32
	FlightMB    float64  `yaml:"flight_mb"`    // being written at once: 4
	Reads       int      `yaml:"reads"`        // pages being read from disk at once: 64
	Sync        string   `yaml:"sync"`         // promise, ticks or never: promise
	Keys        Duration `yaml:"keys"`         // a key makes tokens for: 24h
}

var syncPolicies = map[string]resultstore.SyncPolicy{"": resultstore.SyncOnCommit, "promise": resultstore.SyncOnCommit, "ticks": resultstore.SyncOnTick, "never": resultstore.SyncNever}

func (c *checker) checkSpool(s *Spool, l Limits) {
	if s.Field == "" {
		c.addError("spool.field", "is missing: without it no call asks for pages")
	}
	c.optionalNumber("spool.memory_mb", s.MemoryMB, 1, 1<<20)
	c.optionalNumber("spool.disk_mb", s.DiskMB, 1, 1<<30)
	c.optionalNumber("spool.result_mb", s.ResultMB, 0.001, 1<<20)
	c.optionalNumber("spool.results", float64(s.Results), 1, 10_000_000)
	c.optionalNumber("spool.team_share", s.TeamShare, 0.001, 1)
	c.optionalNumber("spool.team_results", float64(s.TeamResults), 1, 10_000_000)
	c.optionalNumber("spool.team_mb", s.TeamMB, 0.001, 1<<30)
	c.optionalNumber("spool.page_kb", s.PageKB, 1, 1024)
	c.optionalNumber("spool.flight_mb", s.FlightMB, 0.1, 1024)
	c.optionalNumber("spool.reads", float64(s.Reads), 1, 10_000)
	if _, ok := syncPolicies[s.Sync]; !ok {
		c.addError("spool.sync", "%q is none of promise, ticks and never", s.Sync)
	}
	if s.Directory == "" && s.DiskMB > 0 {
		c.addError("spool.disk_mb", "there is no directory")
	}
	if s.MemoryMB > cmp.Or(l.MemoryMB, 512)/2 {
		c.addError("spool.memory_mb", "is over half of limits.memory_mb")
	}
	if idle, life := s.Idle.orDefault(spool.DefaultLimits().IdleTimeout),
		s.Life.orDefault(spool.DefaultLimits().MaxAge); idle > life {
		c.addError("spool.idle", "%v is longer than the life of %v", idle, life)
	}
	if k := time.Duration(s.Keys); k > 0 && k < time.Minute {
		c.addError("spool.keys", "%v is under a minute", k)
	}
}

// Limits are the spool's figures.
func (s *Spool) Limits() spool.Limits {
	const mb = 1 << 20
	l := spool.DefaultLimits()
	l.MaxMemoryBytes = int64(cmp.Or(s.MemoryMB, 16) * mb)
	if s.Directory != "" {
		l.MaxDiskBytes = int64(cmp.Or(s.DiskMB, 1024) * mb)
	}
	l.MaxTeamBytes = int64(s.TeamMB * mb)
	l.MaxResultBytes = int64(cmp.Or(s.ResultMB, 1024) * mb)
	l.MaxResults, l.MaxTeamResults = cmp.Or(s.Results, l.MaxResults), cmp.Or(s.TeamResults, l.MaxTeamResults)
	l.TeamShare, l.IdleTimeout, l.MaxAge = cmp.Or(s.TeamShare, l.TeamShare), s.Idle.orDefault(l.IdleTimeout),
		s.Life.orDefault(l.MaxAge)
	l.PageBytes, l.MaxWritingBytes, l.MaxReads = int(cmp.Or(s.PageKB, 32)*1024), int64(cmp.Or(s.FlightMB, 4)*mb),
		cmp.Or(s.Reads, l.MaxReads)
	return l
}

// OpenSpool opens the spool that the set-up names and puts it into means. Nothing
// is opened where it names none.
func (x *Setup) OpenSpool(means *controller.Config, log zerolog.Logger) (*resultstore.SpoolStore, error) {
	s := x.Spool
	if s == nil {
		return nil, nil
	}
	fresh := func() []byte {
		p := make([]byte, 32)
		rand.Read(p)
		return p
	}
	part := &controller.SpoolConfig{Limits: s.Limits()}
	means.FieldNames.Paged = s.Field
	means.Spool = part
	wall := means.StartedAt.UnixMilli()
	var disk *resultstore.SpoolStore
	var text []byte
	if s.Directory != "" {
		var err error
		if disk, err = resultstore.OpenSpoolStore(s.Directory,
			resultstore.Options{Sync: syncPolicies[s.Sync]}); err != nil {
			return nil, err
		}
		f := &disk.Recovery
		line := log.Info()
		if len(f.Lost) > 0 || f.CorruptBytes > 0 {
			line = log.Log()
		}
		line.Int("results", f.Results).Int("segments", f.Segments).Int("half_written", f.Incomplete).Int64("torn_bytes", f.CorruptBytes).
			Int("lost", len(f.Lost)).Bool("index_rebuilt", f.IndexRebuilt).Msg("the spool is open")
		if text, err = disk.Keys(); err != nil {
			disk.Close()
			return nil, err
		}
		part.FirstResultID, part.Restore = disk.FirstResultID(), disk.Restore
	}
	keys, err := spool.NewKeyring(text, s.Keys.orDefault(24*time.Hour), wall, fresh)
	if err == nil && disk != nil {
		err = disk.SaveKeys(keys.Encode())
	}
	if err != nil {
		if disk != nil {
			disk.Close()
		}
		return nil, err
	}
	part.Keys = keys
	return disk, nil
}
