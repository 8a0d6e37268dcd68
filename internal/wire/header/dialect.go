package header

import (
	"net/http"
	"strings"

	"jacinthcross/internal/base/call"
)

// A Dialect names the header fields in which callers, daemons and targets exchange metadata of a call, and defines the
// HTTP conventions that differ between platforms. An empty name means that the dialect does not have the field.
type Dialect struct {
	// RequestID identifies one attempt of a caller to send a call. The target returns it in its response.
	RequestID string
	// Deadline is the remaining time for the call in milliseconds.
	Deadline string
	// Service is the service that a caller requests.
	Service string
	Rank    string
	// Context identifies a call. The target copies it into the calls that it makes while it runs that call.
	Context string
	// Key is the idempotency key. Daemons issue keys at KeyPath.
	Key     string
	KeyPath string
	// Origin is the service of the target on the VM whose daemon received the call from the caller.
	Origin string
	// ExpectedTarget is the target that has to run the call. Any other target refuses it.
	ExpectedTarget string
	// Outcome, Error and Advice tell the caller the outcome of its call.
	Outcome string
	Error   string
	Advice  string
	// NotRun is set by a target to prove that it did not run the call.
	NotRun string
	// ResponseStamp marks each response that a target has generated. A success response without it does not come from
	// the target.
	ResponseStamp string
	// Load is the load of a target.
	Load string
	// UntilWarm is how long a target stays cold after its start, in milliseconds.
	UntilWarm string
	// Prefix marks further reserved fields: those whose names begin with it are forwarded neither from callers to
	// targets nor from targets to callers. If it is empty, there are none.
	Prefix string
	// RefusalStatus replaces the status of refusals that have a 5xx status in the table of package errs. Zero keeps
	// the status of the table.
	RefusalStatus int
	// FractionalRetryAfter is true if Retry-After may contain fractions of a second.
	FractionalRetryAfter bool
	// AllowBodyUntilClose is true if a response may have no length and end with the close of its connection.
	AllowBodyUntilClose bool
}

// DefaultDialect returns the default dialect, which is independent of any platform.
func DefaultDialect() *Dialect {
	return &Dialect{
		RequestID: RequestID, Deadline: Deadline, Service: Service, Rank: Rank, Context: Context, Key: Key, KeyPath: KeyPath,
		Outcome: Outcome, Error: Error, Advice: Advice, NotRun: NotRun, Prefix: defaultPrefix,
	}
}

// RequestFields returns the fields of a request that are forwarded to the target: all but the hop-by-hop fields and the
// reserved fields (IsReserved).
func (d *Dialect) RequestFields(h http.Header) []call.Field { return endToEnd(h, d.IsReserved) }

// IsReserved reports whether a request field is reserved: daemons set it in requests to targets, or it has the
// prefix. The value that a caller has sent in the field is not copied to the target.
func (d *Dialect) IsReserved(name string) bool {
	switch name {
	case "":
		return false
	case d.RequestID, d.Deadline, d.Origin, d.ExpectedTarget, d.Context, d.Rank, d.Key:
		return true
	}
	return d.hasPrefix(name)
}

// ResponseFields returns the fields of a response that are forwarded to the caller.
func (d *Dialect) ResponseFields(h http.Header) []call.Field {
	return endToEnd(h, func(name string) bool { return name == d.Load || name == d.UntilWarm || d.hasPrefix(name) })
}

func (d *Dialect) hasPrefix(name string) bool {
	return d.Prefix != "" && strings.HasPrefix(name, d.Prefix)
}

// ProvesNotRun reports whether a response proves that the target did not run the call.
func (d *Dialect) ProvesNotRun(status int, h http.Header) bool {
	switch status {
	case http.StatusMisdirectedRequest:
		return d.ExpectedTarget != ""
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadRequest:
		value := h.Get(d.NotRun)
		return value == "true" || value == "1"
	}
	return false
}
