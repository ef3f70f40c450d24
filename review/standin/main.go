// Command standin plays the cases of the review: it starts the controller as operators do, stands in
// for its clients, engines and discovery, and judges what they see.
//
// Usage: standin CASE FOLDER, from the repository's root. It exits with 1 if the rule was broken, 0 if
// it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

var cases = map[string]func(r *record, trouble bool) (int, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(cannotRun)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	r := &record{file: file, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	r.say("case %s, trouble %v", os.Args[1], trouble)
	endOnSignal()
	code, err := cases[os.Args[1]](r, trouble)
	if err != nil {
		r.say("could not run: %v", err)
		code = cannotRun
	}
	r.say("exit %d", code)
	file.Close()
	os.Exit(code)
}
