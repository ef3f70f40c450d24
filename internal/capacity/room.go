package capacity

import "syscall"

// CheckDescriptors tells whether one process of this user may hold so many files and
// connections at once: nil, or a *RoomError. The soft limit is what counts, since a Go
// program raises it to the hard one as it starts.
func CheckDescriptors(need int) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	if uint64(need) <= limit.Cur {
		return nil
	}
	return &RoomError{What: "descriptors", Need: float64(need), Has: float64(limit.Cur),
		Raise: "raise the limit of open files (ulimit -Hn, LimitNOFILE of a systemd unit)"}
}

// CheckMemory tells whether so many MB are under a part of this machine's memory: nil,
// or a *RoomError. part is from 0 to 1.
func CheckMemory(needMB, part float64) error {
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return err
	}
	has := float64(info.Totalram) * float64(info.Unit) * part / (1 << 20)
	if needMB <= has {
		return nil
	}
	return &RoomError{What: "memory", Need: needMB, Has: has, Unit: "MB", Raise: "run it on a machine with more memory"}
}
