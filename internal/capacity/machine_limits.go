package capacity

import "syscall"

// CheckDescriptors returns a *RoomError if this process may not have need files and connections open at
// once. It compares with the soft limit, which a Go program raises to the hard limit when it starts.
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

// CheckMemory returns a *RoomError if needMB exceeds a fraction, from 0 to 1, of this machine's memory.
func CheckMemory(needMB, fraction float64) error {
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return err
	}
	availableMB := float64(info.Totalram) * float64(info.Unit) * fraction / (1 << 20)
	if needMB <= availableMB {
		return nil
	}
	return &RoomError{What: "memory", Need: needMB, Has: availableMB, Unit: "MB",
		Raise: "run it on a machine with more memory"}
}
