package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/bench/deploy"
	"jacinthcross/internal/bench/setup"
	"jacinthcross/internal/wire/header"
)

// A caller sends the calls of one run, through the daemons or, with a picker, directly to targets.
type caller struct {
	client  *http.Client
	members []*deploy.Member
	picker  *picker
	prefix  string
}

// maxIdleConnsPerAddress is the number of connections per address that a caller keeps open. The platform on which the
// daemons run allows 260 connections to a service (MaxConnections).
const maxIdleConnsPerAddress = 260

func newCaller(members []*deploy.Member, p *picker, prefix string) *caller {
	return &caller{
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerAddress, MaxIdleConns: 0}},
		members: members, picker: p, prefix: prefix,
	}
}

// A scheduledCall is an arrival together with its load and the time at which it is due. It may be sent several times.
type scheduledCall struct {
	arrival
	load  setup.Load
	keyed bool
	due   time.Time
}

func (c scheduledCall) path(prefix string) string {
	return fmt.Sprintf("/%s/%s/%d", c.load.Service, prefix, c.id)
}

// firstResendDelay is the pause before the first resend. It doubles before each further resend.
const firstResendDelay = 50 * time.Millisecond

// sendWithResends sends a call and resends it when it was refused or its outcome is unknown. Resends carry the same
// key, unless the key has become unusable and no earlier send can have run. Each send goes through the next daemon.
func (c *caller) sendWithResends(call scheduledCall) (outcome callOutcome, sends int, marker string) {
	ctx, cancel := context.WithDeadline(context.Background(), call.due.Add(call.load.Deadline))
	defer cancel()
	if call.keyed {
		marker = fmt.Sprintf("%s-%d", c.prefix, call.id)
	}
	key, earlierUnknown, unreachable := "", false, 0
	for {
		var retry bool
		member := c.members[(call.daemonIndex+sends+unreachable)%len(c.members)]
		outcome, key, retry = c.send(ctx, call, member, key, marker)
		if v, ok := outcome.(refused); ok && v.kind == dialFailed && unreachable < len(c.members) {
			unreachable++
			continue
		}
		sends++
		switch v := outcome.(type) {
		case unknown:
			earlierUnknown = true
		case refused:
			if !earlierUnknown && keyUnusable(v.kind) {
				// No earlier send can have run, so a resend with a new key cannot run the call twice.
				key, retry, v.earlierUnknown = "", true, false
			}
			v.earlierUnknown = v.earlierUnknown || earlierUnknown
			outcome = v
		case answered:
			if sends > call.load.Resends || !call.losesResponse(sends) {
				return outcome, sends, marker
			}
			earlierUnknown, outcome = true, unknown{"AnswerLost"}
		}
		if !retry || sends > call.load.Resends || !sleep(ctx, firstResendDelay<<(sends-1)) {
			return outcome, sends, marker
		}
	}
}

// keyUnusable reports whether a refusal kind says that the key has expired, or that the daemon that issued it is gone
// or cannot be reached.
func keyUnusable(kind string) bool {
	switch errs.Kind(kind) {
	case errs.OwnerGone, errs.OwnerUnreachable, errs.KeyExpired:
		return true
	}
	return false
}

// losesResponse reports whether the response to a send is simulated as lost. It depends only on the call and the send.
func (c scheduledCall) losesResponse(send int) bool {
	return c.load.Lost > 0 && rand.New(rand.NewPCG(uint64(c.id), uint64(send))).Float64() < c.load.Lost
}

// dialFailed is the refusal kind of a send that could not open a connection to its daemon or, without daemons, to its
// target. The value is an older name that results must keep. The caller tries again at once, through the next daemon or
// at a newly chosen target, which does not count as a resend.
const dialFailed = "EntryClosed"

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// send sends a call once. It returns the key for the next send and whether the call may be sent again.
func (c *caller) send(ctx context.Context, call scheduledCall, member *deploy.Member, key, marker string) (outcome callOutcome, nextKey string, retry bool) {
	if call.load.Patience > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, call.load.Patience)
		defer cancel()
	}
	if c.picker != nil {
		outcome, retry = c.sendDirect(ctx, call, member.DataCentre, marker)
		return outcome, "", retry
	}
	address := member.CallerAddress
	if call.keyed && key == "" {
		var err error
		if key, err = c.fetchKey(ctx, address, call.load.Service); err != nil {
			if isDialError(err) {
				return refused{kind: dialFailed}, "", true
			}
			return refused{kind: "NoKey"}, "", true
		}
	}
	r, err := c.request(ctx, call, address, marker)
	if err != nil {
		return refused{kind: "BadRequest"}, key, false
	}
	r.Header.Set(header.Service, call.load.Service)
	if remaining := time.Until(call.due.Add(call.load.Deadline)); remaining > 0 {
		r.Header.Set(header.Deadline, strconv.FormatInt(remaining.Milliseconds(), 10))
	}
	if call.keyed {
		r.Header.Set(header.Key, key)
	}
	outcome = c.roundTrip(r, call)
	if v, ok := outcome.(refused); ok {
		// A key that has expired or whose issuing daemon is gone is never accepted again. sendWithResends uses a new
		// key if no earlier send can have run; otherwise the call ends here.
		return outcome, key, v.kind != string(errs.OwnerGone) && v.kind != string(errs.KeyExpired)
	}
	return outcome, key, true
}

func (c *caller) request(ctx context.Context, call scheduledCall, address netip.AddrPort, marker string) (*http.Request, error) {
	method := http.MethodGet
	if call.keyed {
		method = http.MethodPost
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+call.path(c.prefix), strings.NewReader(marker))
	if err == nil && call.keyed {
		// Without GetBody net/http does not resend a keyed call by itself. If it did and the second
		// connection were refused, the call would be reported as not sent although the first send may have run.
		r.GetBody = nil
	}
	return r, err
}

func (c *caller) fetchKey(ctx context.Context, address netip.AddrPort, service string) (string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+header.KeyPath+"?service="+service, nil)
	if err != nil {
		return "", err
	}
	response, err := c.client.Do(r)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = errors.Errorf("status %d", response.StatusCode)
	}
	return string(text), err
}

// sendDirect sends a call to a target that the picker chooses, bypassing the daemons.
func (c *caller) sendDirect(ctx context.Context, call scheduledCall, from ident.DataCentre, marker string) (callOutcome, bool) {
	reply := mail.NewBox[*deploy.Member](1)
	c.picker.inbox.Put(pickRequest{call.load.Service, from, reply}, c.picker.Done())
	var m *deploy.Member
	select {
	case m = <-reply.C():
	case <-c.picker.Done():
		return refused{kind: "Stopped"}, false
	}
	defer c.picker.inbox.Put(callDone{m}, c.picker.Done())
	r, err := c.request(ctx, call, m.DirectAddresses[from], marker)
	if err != nil {
		return refused{kind: "BadRequest"}, false
	}
	return c.roundTrip(r, call), true
}

// roundTrip sends a request and derives the outcome from the response.
func (c *caller) roundTrip(r *http.Request, call scheduledCall) callOutcome {
	response, err := c.client.Do(r)
	if err != nil {
		if isDialError(err) {
			return refused{kind: dialFailed}
		}
		if r.Context().Err() != nil {
			return unknown{"CallerDeadline"}
		}
		return unknown{"ConnectionLost"}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return unknown{"ResponseCut"}
	}
	kind := response.Header.Get(header.Error)
	switch errs.Outcome(response.Header.Get(header.Outcome)) {
	case errs.NotRun:
		return refused{kind: kind}
	case errs.NotRunEarlierUnknown:
		return refused{kind: kind, earlierUnknown: true}
	case errs.Unknown:
		return unknown{kind}
	case errs.Answered:
	default:
		if response.Header.Get(header.NotRun) == "true" {
			return refused{kind: "Shed"}
		}
	}
	ok := response.StatusCode == http.StatusOK
	return answered{ok: ok, foreign: ok && !strings.HasSuffix(string(body), call.path(c.prefix))}
}

// isDialError reports whether opening the connection failed, so that nothing was sent.
func isDialError(err error) bool {
	var e *net.OpError
	return errors.As(err, &e) && e.Op == "dial"
}
