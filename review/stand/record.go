package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// A record is the file in which a case notes what was sent, answered and run. It is safe for concurrent use.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
}

func newRecord(name string) (*record, error) {
	file, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), started: time.Now()}, nil
}

// add writes a line with the time since the start of the case.
func (r *record) add(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
