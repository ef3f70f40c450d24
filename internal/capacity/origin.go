package capacity

import (
	"fmt"
	"os/exec"
	"runtime"
	"runtime/debug"
	"strings"
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
// had changes that were not committed. Where the build doesn't tell (-buildvcs=false),
// it is what git says of the current directory, docs/ apart; else "unknown".
func Commit() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		if commit := commitFromBuild(info.Settings); commit != unknown {
			return commit
		}
	}
	return commitFromGit()
}

// checkedOut is the commit of the current directory.
func commitFromGit() string {
	revision, err := exec.Command("git", "rev-parse", "HEAD").Output()
	if err != nil {
		return unknown
	}
	commit := strings.TrimSpace(string(revision))
	commit = commit[:min(len(commit), commitLength)]
	changed, err := exec.Command("git", "status", "--porcelain", "--untracked-files=no", "--", ":/", ":(exclude,top)docs").Output()
	if err != nil || len(changed) > 0 {
		commit += "+changes"
	}
	return commit
}

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
