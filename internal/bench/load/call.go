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
	"jacinthcross/internal/bench/setup"
	"jacinthcross/internal/bench/stage"
	"jacinthcross/internal/wire/header"
)

// A caller sends the calls of one run, through the daemons or, with a picker, directly to targets.
type caller struct {
	client  *http.Client
	members []*stage.Member
	picker  *picker
	prefix  string
}

// maxIdleConnsPerAddress is the number of connections per address that a caller keeps open, as many as a target of
// Perizia has.
const maxIdleConnsPerAddress = 260

func newCaller(members []*stage.Member, p *picker, prefix string) *caller {
	return &caller{
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerAddress, MaxIdleConns: 0}},
		members: members, picker: p, prefix: prefix,
	}
}

// A call is one call of the schedule, which may be sent several times.
type call struct {
	arrival
	load  setup.Load
	keyed bool
	due   time.Time
}

func (j call) path(prefix string) string {
	return fmt.Sprintf("/%s/%s/%d", j.load.Service, prefix, j.id)
}

// firstResendDelay is the pause before the first resend. It doubles with each further one.
const firstResendDelay = 50 * time.Millisecond

// do sends a call and resends it, with the same key, when it was refused or its
// outcome is unknown. Each send goes through the next daemon.
func (c *caller) do(j call) (f callOutcome, sends int, marker string) {
	ctx, cancel := context.WithDeadline(context.Background(), j.due.Add(j.load.Deadline))
	defer cancel()
	if j.keyed {
		marker = fmt.Sprintf("%s-%d", c.prefix, j.id)
	}
	key, earlierUnknown, unreachable := "", false, 0
	for {
		var retry bool
		member := c.members[(j.entry+sends+unreachable)%len(c.members)]
		f, key, retry = c.send(ctx, j, member, key, marker)
		if v, ok := f.(refused); ok && v.kind == daemonUnreachable && unreachable < len(c.members) {
			unreachable++
			continue
		}
		sends++
		switch v := f.(type) {
		case unknown:
			earlierUnknown = true
		case refused:
			if !earlierUnknown && keyUnusable(v.kind) {
				// No earlier send can have run, so a resend with a new key cannot run the call twice.
				key, retry, v.earlierUnknown = "", true, false
			}
			v.earlierUnknown = v.earlierUnknown || earlierUnknown
			f = v
		case answered:
			if sends > j.load.Resends || !j.losesResponse(sends) {
				return f, sends, marker
			}
			earlierUnknown, f = true, unknown{"AnswerLost"}
		}
		if !retry || sends > j.load.Resends || !sleep(ctx, firstResendDelay<<(sends-1)) {
			return f, sends, marker
		}
	}
}

// keyUnusable reports whether a refusal means that the key will not be accepted in the near future.
func keyUnusable(kind string) bool {
	switch errs.Kind(kind) {
	case errs.OwnerGone, errs.OwnerUnreachable, errs.KeyExpired:
		return true
	}
	return false
}

// losesResponse reports whether the response to a send is simulated as lost. It depends only on the call and the send.
func (j call) losesResponse(send int) bool {
	return j.load.Lost > 0 && rand.New(rand.NewPCG(uint64(j.id), uint64(send))).Float64() < j.load.Lost
}

// daemonUnreachable is the refusal kind of a send that could not open a connection to its
// daemon. The caller tries the next daemon at once, which does not count as a resend.
const daemonUnreachable = "EntryClosed"

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
func (c *caller) send(ctx context.Context, j call, member *stage.Member, key, marker string) (f callOutcome, nextKey string, retry bool) {
	if j.load.Patience > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, j.load.Patience)
		defer cancel()
	}
	if c.picker != nil {
		f, retry = c.sendDirect(ctx, j, member.DataCentre, marker)
		return f, "", retry
	}
	address := member.CallerAddress
	if j.keyed && key == "" {
		var err error
		if key, err = c.fetchKey(ctx, address, j.load.Service); err != nil {
			if isDialError(err) {
				return refused{kind: daemonUnreachable}, "", true
			}
			return refused{kind: "NoKey"}, "", true
		}
	}
	r, err := c.request(ctx, j, address, marker)
	if err != nil {
		return refused{kind: "BadRequest"}, key, false
	}
	r.Header.Set(header.Service, j.load.Service)
	if remaining := time.Until(j.due.Add(j.load.Deadline)); remaining > 0 {
		r.Header.Set(header.Deadline, strconv.FormatInt(remaining.Milliseconds(), 10))
	}
	if j.keyed {
		r.Header.Set(header.Key, key)
	}
	f = c.roundTrip(r, j)
	if v, ok := f.(refused); ok {
		// A key whose owner is gone is never accepted again, and a resend with a new key could run the call twice.
		return f, key, v.kind != string(errs.OwnerGone) && v.kind != string(errs.KeyExpired)
	}
	return f, key, true
}

func (c *caller) request(ctx context.Context, j call, address netip.AddrPort, marker string) (*http.Request, error) {
	method := http.MethodGet
	if j.keyed {
		method = http.MethodPost
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+j.path(c.prefix), strings.NewReader(marker))
	if err == nil && j.keyed {
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
func (c *caller) sendDirect(ctx context.Context, j call, from ident.DataCentre, marker string) (callOutcome, bool) {
	reply := mail.NewBox[*stage.Member](1)
	c.picker.inbox.Put(pickRequest{j.load.Service, from, reply}, c.picker.Done())
	var m *stage.Member
	select {
	case m = <-reply.C():
	case <-c.picker.Done():
		return refused{kind: "Stopped"}, false
	}
	defer c.picker.inbox.Put(callDone{m}, c.picker.Done())
	r, err := c.request(ctx, j, m.DirectAddresses[from], marker)
	if err != nil {
		return refused{kind: "BadRequest"}, false
	}
	return c.roundTrip(r, j), true
}

// roundTrip sends a request and derives the outcome from the response.
func (c *caller) roundTrip(r *http.Request, j call) callOutcome {
	response, err := c.client.Do(r)
	if err != nil {
		if isDialError(err) {
			return refused{kind: daemonUnreachable}
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
	return answered{ok: ok, foreign: ok && !strings.HasSuffix(string(body), j.path(c.prefix))}
}

// isDialError reports whether opening the connection failed, so that nothing was sent.
func isDialError(err error) bool {
	var e *net.OpError
	return errors.As(err, &e) && e.Op == "dial"
}
