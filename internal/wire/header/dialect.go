package header

import (
	"net/http"
	"strings"

	"jacinthcross/internal/base/call"
)

// A Dialect names the header fields by which callers, daemons and targets tell each other of a call.
// An empty name means that the dialect has no such field.
type Dialect struct {
	// RequestID identifies one send of a caller. The target echoes it.
	RequestID string
	// Deadline tells how many milliseconds are left for the call.
	Deadline string
	// Service names the service that a caller asks for.
	Service string
	Rank    string
	// Context links the calls of a target to the call that they serve.
	Context string
	// Key is the idempotency key, which KeyPath issues.
	Key     string
	KeyPath string
	// Origin names the service beside which the call entered.
	Origin string
	// Instance names the target that must run the call. Any other refuses it.
	Instance string
	// Outcome, Error and Advice tell a caller what became of its call.
	Outcome string
	Error   string
	Advice  string
	// NotRun is the proof of a target that it did not run the call.
	NotRun string
	// Stamp marks each response that a target made. A success without it is not the target's.
	Stamp string
	// Load tells the load of a target.
	Load string
	// Prefix begins the names of other fields that only daemons set.
	Prefix string
	// RefusalStatus is the status of each refusal that the table of errors answers with 5xx. Zero leaves that of the table.
	RefusalStatus int
	// FractionalRetry says that Retry-After may hold a fraction of a second.
	FractionalRetry bool
	// UntilClose says that a response may have no length and end with its connection.
	UntilClose bool
}

// Own returns the Dialect of the product's own interface.
func Own() *Dialect {
	return &Dialect{
		RequestID: RequestID, Deadline: Deadline, Service: Service, Rank: Rank, Context: Context, Key: Key, KeyPath: KeyPath,
		Outcome: Outcome, Error: Error, Advice: Advice, NotRun: NotRun, Prefix: ownPrefix,
	}
}

// FromCaller returns the fields of a request that are passed on to the target: without those of one
// connection and without those that a daemon sets.
func (d *Dialect) FromCaller(h http.Header) []call.Field { return endToEnd(h, d.Sets) }

// Sets reports whether a field of a request to a target is set by the daemon beside it.
func (d *Dialect) Sets(name string) bool {
	switch name {
	case "":
		return false
	case d.RequestID, d.Deadline, d.Origin, d.Instance, d.Context, d.Rank, d.Key:
		return true
	}
	return d.prefixed(name)
}

// FromTarget returns the fields of a response that are passed on to the caller.
func (d *Dialect) FromTarget(h http.Header) []call.Field {
	return endToEnd(h, func(name string) bool { return name == d.Load || d.prefixed(name) })
}

func (d *Dialect) prefixed(name string) bool {
	return d.Prefix != "" && strings.HasPrefix(name, d.Prefix)
}

// Proves reports whether the response of a target proves that it did not run the call.
func (d *Dialect) Proves(status int, h http.Header) bool {
	switch status {
	case http.StatusMisdirectedRequest:
		return d.Instance != ""
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadRequest:
		value := h.Get(d.NotRun)
		return value == "true" || value == "1"
	}
	return false
}
