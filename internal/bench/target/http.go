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

// Paths that the target answers itself, without counting a call.
const (
	LoadPath = "/-/load"
	RunsPath = "/-/runs"
)

// maxMarkerBytes is the maximum length of the marker of a call. A longer body is truncated.
const maxMarkerBytes = 128

// ServeHTTP implements http.Handler.
func (t *Task) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case LoadPath:
		// The load endpoint always reports an idle target, to expose balancers that rely on it.
		fmt.Fprintln(w, `{"InFlight":0}`)
		return
	case RunsPath:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(t.counts.Counts())
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id, reply := call.NextID(), mail.NewBox[decision](1)
	t.inbox.Put(callArrived{id: id, marker: callMarker(r, body), crash: t.hasCrashMarker(r, body), reply: reply}, t.Done())
	defer t.inbox.Put(callEnded{id}, t.Done())
	select {
	case v := <-reply.C():
		t.respond(w, r, v)
	case <-r.Context().Done():
	case <-t.Done():
		panic(http.ErrAbortHandler)
	}
}

// callMarker returns the marker of a call, under which its runs are counted (see tally.RunReport). A body is the
// marker, so that tests can count the runs of any call. Without a body, the marker is the idempotency key. GET,
// HEAD and OPTIONS calls without a body may run more than once and have no marker.
func callMarker(r *http.Request, body []byte) string {
	if len(body) > 0 {
		return string(body[:min(len(body), maxMarkerBytes)])
	}
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return ""
	}
	return r.Header.Get(header.Key)
}

func (t *Task) hasCrashMarker(r *http.Request, body []byte) bool {
	m := t.settings.CrashMarker
	return m != "" && (strings.Contains(r.URL.RawQuery, m) || strings.Contains(string(body), m))
}

func (t *Task) respond(w http.ResponseWriter, r *http.Request, v decision) {
	switch v := v.(type) {
	case shedCall:
		w.Header().Set(header.NotRun, "true")
		http.Error(w, "shedding load", http.StatusServiceUnavailable)
	case crashNow:
		if t.settings.Exit != nil {
			t.settings.Exit()
		}
		t.inbox.Put(Crash{}, t.Done())
		<-t.Done()
		panic(http.ErrAbortHandler)
	case runCall:
		if !sleep(r, v.serviceTime) {
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

// sleep waits for the service time. It reports false when the caller disconnects earlier.
func sleep(r *http.Request, d time.Duration) bool {
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

// callNext calls the next service of a chain through the daemon beside this target and returns the status to answer
// with.
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
