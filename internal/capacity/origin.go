package capacity

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"syscall"
)

// commitLength is how many letters of a commit's name are kept.
const commitLength = 12

// unknown stands where a machine or commit can't be told.
const unknown = "unknown"

// Machine names this machine by what matters to a figure: the cores that this process
// may use, and the memory in GB of 2^30 bytes, such as "8 cores 24 GB".
func Machine() string {
	var info syscall.Sysinfo_t
	if syscall.Sysinfo(&info) != nil {
		return fmt.Sprintf("%d cores", runtime.NumCPU())
	}
	bytes := float64(info.Totalram) * float64(info.Unit)
	return fmt.Sprintf("%d cores %.0f GB", runtime.NumCPU(), bytes/(1<<30))
}

// Commit names the source that this program was built from, with "+changes" where it
// had changes that were not committed, or "unknown", as in a test.
func Commit() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return unknown
	}
	return commitOf(info.Settings)
}

func commitOf(settings []debug.BuildSetting) string {
	revision, changes := unknown, ""
	for _, setting := range settings {
		switch setting.Key {
		case "vcs.revision":
			revision = setting.Value[:min(len(setting.Value), commitLength)]
		case "vcs.modified":
			if setting.Value == "true" {
				changes = "+changes"
			}
		}
	}
	if revision == unknown {
		return unknown
	}
	return revision + changes
}
