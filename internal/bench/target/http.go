package target

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/wire/header"
)

// Paths that are not calls.
const (
	LoadPath = "/-/load"
	RunsPath = "/-/runs"
)

// maxMarker is the longest marker of a call, in bytes. A longer body is cut.
const maxMarker = 128

// ServeHTTP implements http.Handler.
func (t *Task) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case LoadPath:
		// The load endpoint always claims an idle target: it misleads those that rely on it.
		fmt.Fprintln(w, `{"InFlight":0}`)
		return
	case RunsPath:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(t.tally.Counts())
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id, reply := call.NextID(), mail.NewBox[verdict](1)
	t.inbox.Put(arrive{id: id, marker: marker(r, body), crash: t.crashes(r, body), reply: reply}, t.Done())
	defer t.inbox.Put(leave{id}, t.Done())
	select {
	case v := <-reply.C():
		t.serve(w, r, v)
	case <-r.Context().Done():
	case <-t.Done():
		panic(http.ErrAbortHandler)
	}
}

// marker names a call whose runs are counted: by its body, else by its key. Calls that may
// run more than once have neither, unless a test wants their runs counted.
func marker(r *http.Request, body []byte) string {
	if len(body) > 0 {
		return string(body[:min(len(body), maxMarker)])
	}
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return ""
	}
	return r.Header.Get(header.Key)
}

func (t *Task) crashes(r *http.Request, body []byte) bool {
	m := t.settings.CrashMarker
	return m != "" && (strings.Contains(r.URL.RawQuery, m) || strings.Contains(string(body), m))
}

func (t *Task) serve(w http.ResponseWriter, r *http.Request, v verdict) {
	switch v := v.(type) {
	case shed:
		w.Header().Set(header.NotRun, "true")
		http.Error(w, "shedding load", http.StatusServiceUnavailable)
	case crash:
		if t.settings.Exit != nil {
			t.settings.Exit()
		}
		t.inbox.Put(Crash{}, t.Done())
		<-t.Done()
		panic(http.ErrAbortHandler)
	case run:
		if !wait(r, v.time) {
			return
		}
		status := http.StatusOK
		if t.settings.Next != "" {
			status = t.callNext(r)
		}
		text := fmt.Sprintf("%s %s %s", t.settings.Name, r.Method, r.URL.Path)
		w.Header().Set("Content-Length", fmt.Sprint(len(text)))
		w.WriteHeader(status)
		_, _ = io.WriteString(w, text)
	}
}

// wait waits for the service time, or reports false when the caller has gone before.
func wait(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// callNext calls the next service of a chain through the daemon beside this target.
func (t *Task) callNext(r *http.Request) int {
	request, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+t.settings.Daemon.String()+r.URL.RequestURI(), nil)
	if err != nil {
		return http.StatusInternalServerError
	}
	request.Header.Set(header.Service, t.settings.Next)
	request.Header.Set(header.Context, r.Header.Get(header.Context))
	response, err := t.client.Do(request)
	if err != nil {
		return http.StatusBadGateway
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return http.StatusBadGateway
	}
	if response.StatusCode != http.StatusOK {
		return http.StatusBadGateway
	}
	return http.StatusOK
}
