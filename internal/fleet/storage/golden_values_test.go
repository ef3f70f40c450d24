package storage

import "railrelay.dev/railrelay/internal/fleet/consensus"

// goldenContents returns the content of the golden directory, with every field set.
func goldenContents() Contents {
	return Contents{
		Persistent: consensus.PersistentState{
			HardState: []byte("hard"),
			Snapshot:  &consensus.Snapshot{Index: 12, Term: 3, VoterConfig: []byte("voters"), Data: []byte("state")},
			Entries: []consensus.LogEntry{
				{Index: 11, Term: 3, Data: []byte("eleven")},
				{Index: 12, Term: 3, IsVoterChange: true, Data: []byte("twelve")},
				{Index: 13, Term: 4},
				{Index: 14, Term: 4, Data: []byte("fourteen")},
			},
		},
		DiskID: "disk-1",
		Owner:  "north-1",
		Notes:  map[string][]byte{"policy": []byte("groups: []\n"), "wiped": {}},
	}
}

// writeGolden creates a directory with the content of goldenContents.
func writeGolden(dir string) error {
	contents := goldenContents()
	d, _, err := Open(dir, func() string { return contents.DiskID })
	if err != nil {
		return err
	}
	defer d.Close()
	if err := d.Claim(contents.Owner); err != nil {
		return err
	}
	if err := d.Write(consensus.PersistentState{HardState: []byte("before"),
		Entries: []consensus.LogEntry{{Index: 1, Term: 1, Data: []byte("one")}}}); err != nil {
		return err
	}
	persistent := contents.Persistent
	persistent.Entries = contents.Persistent.Entries[:3]
	if err := d.Write(persistent); err != nil {
		return err
	}
	if err := d.Write(consensus.PersistentState{Entries: contents.Persistent.Entries[3:]}); err != nil {
		return err
	}
	for _, key := range []string{"policy", "wiped"} {
		if err := d.WriteNote(key, contents.Notes[key]); err != nil {
			return err
		}
	}
	return d.Close()
}
