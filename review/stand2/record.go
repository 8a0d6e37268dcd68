package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// A record collects the events of a case and writes them to record.txt.
type record struct {
	mutex sync.Mutex
	began time.Time
	file  *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f}, nil
}

// log writes a line with the time since the start of the case.
func (r *record) log(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}

func (r *record) close() error { return r.file.Close() }
