package capacity

import (
	"fmt"
	"os/exec"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
)

// commitLength is the number of characters of a commit hash that are kept.
const commitLength = 12

// unknown stands for a commit that can't be determined.
const unknown = "unknown"

// Machine describes this machine by the cores that this process may use and the memory in GB of 2^30
// bytes, such as "8 cores 24 GB".
func Machine() string {
	var info syscall.Sysinfo_t
	if syscall.Sysinfo(&info) != nil {
		return fmt.Sprintf("%d cores", runtime.NumCPU())
	}
	bytes := float64(info.Totalram) * float64(info.Unit)
	return fmt.Sprintf("%d cores %.0f GB", runtime.NumCPU(), bytes/(1<<30))
}

// Commit returns the commit that this program was built from, with "+changes" if the source had
// uncommitted changes. If the build has no such information (-buildvcs=false), Commit asks git about the
// current directory without docs/. If that fails too, it returns "unknown".
func Commit() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		if commit := commitFromBuild(info.Settings); commit != unknown {
			return commit
		}
	}
	return commitFromGit()
}

// commitFromGit returns the commit that is checked out in the current directory.
func commitFromGit() string {
	revision, err := exec.Command("git", "rev-parse", "HEAD").Output()
	if err != nil {
		return unknown
	}
	commit := strings.TrimSpace(string(revision))
	commit = commit[:min(len(commit), commitLength)]
	changed, err := exec.Command("git", "status", "--porcelain", "--untracked-files=no",
		"--", ":/", ":(exclude,top)docs").Output()
	if err != nil || len(changed) > 0 {
		commit += "+changes"
	}
	return commit
}

// commitFromBuild returns the commit in the build settings, or unknown.
func commitFromBuild(settings []debug.BuildSetting) string {
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
