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

// A caller sends the calls of one run.
type caller struct {
	client  *http.Client
	members []*stage.Member
	picker  *picker
	prefix  string
}

// Connections per address that a caller keeps open, as many as a target of Perizia has.
const connections = 260

func newCaller(members []*stage.Member, p *picker, prefix string) *caller {
	return &caller{
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections, MaxIdleConns: 0}},
		members: members, picker: p, prefix: prefix,
	}
}

// A job is one call with all its sends.
type job struct {
	planned
	load  setup.Load
	keyed bool
	due   time.Time
}

func (j job) path(prefix string) string {
	return fmt.Sprintf("/%s/%s/%d", j.load.Service, prefix, j.id)
}

// resendDelay is the pause before a resend; it doubles with each.
const resendDelay = 50 * time.Millisecond

// do sends a call, and sends it again with the same key when it was refused or its
// outcome is unknown. Each send goes through another daemon.
func (c *caller) do(j job) (f finish, sends int, marker string) {
	ctx, cancel := context.WithDeadline(context.Background(), j.due.Add(j.load.Deadline))
	defer cancel()
	if j.keyed {
		marker = fmt.Sprintf("%s-%d", c.prefix, j.id)
	}
	key, earlier, closed := "", false, 0
	for {
		var retry bool
		entry := c.members[(j.entry+sends+closed)%len(c.members)]
		f, key, retry = c.send(ctx, j, entry, key, marker)
		if v, ok := f.(refused); ok && v.kind == entryClosed && closed < len(c.members) {
			closed++
			continue
		}
		sends++
		switch v := f.(type) {
		case unknown:
			earlier = true
		case refused:
			if !earlier && ownerLost(v.kind) {
				// No send of this call ran, so a new key cannot run it twice.
				key, retry, v.earlier = "", true, false
			}
			v.earlier = v.earlier || earlier
			f = v
		case answered:
			if sends > j.load.Resends || !j.loses(sends) {
				return f, sends, marker
			}
			earlier, f = true, unknown{"AnswerLost"}
		}
		if !retry || sends > j.load.Resends || !pause(ctx, resendDelay<<(sends-1)) {
			return f, sends, marker
		}
	}
}

// ownerLost reports whether a refusal says that the key will not be accepted soon.
func ownerLost(kind string) bool {
	switch errs.Kind(kind) {
	case errs.OwnerGone, errs.OwnerUnreachable, errs.KeyExpired:
		return true
	}
	return false
}

// loses reports whether the caller loses the answer to a send, by the seed of the call.
func (j job) loses(send int) bool {
	return j.load.Lost > 0 && rand.New(rand.NewPCG(uint64(j.id), uint64(send))).Float64() < j.load.Lost
}

// entryClosed is the kind of a send for which no connection to the daemon could be
// opened. The caller takes the next daemon at once, which is no resend.
const entryClosed = "EntryClosed"

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// send sends a call once. It returns the key for the next send and whether one makes sense.
func (c *caller) send(ctx context.Context, j job, entry *stage.Member, key, marker string) (f finish, used string, retry bool) {
	if j.load.Patience > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, j.load.Patience)
		defer cancel()
	}
	if c.picker != nil {
		f, retry = c.direct(ctx, j, entry.DataCentre, marker)
		return f, "", retry
	}
	at := entry.Entry
	if j.keyed && key == "" {
		var err error
		if key, err = c.key(ctx, at, j.load.Service); err != nil {
			if refusedDial(err) {
				return refused{kind: entryClosed}, "", true
			}
			return refused{kind: "NoKey"}, "", true
		}
	}
	r, err := c.request(ctx, j, at, marker)
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
	f = c.read(r, j)
	if v, ok := f.(refused); ok {
		// A key whose owner has gone is never accepted again, and a new key could run the call twice.
		return f, key, v.kind != string(errs.OwnerGone) && v.kind != string(errs.KeyExpired)
	}
	return f, key, true
}

func (c *caller) request(ctx context.Context, j job, at netip.AddrPort, marker string) (*http.Request, error) {
	method := http.MethodGet
	if j.keyed {
		method = http.MethodPost
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+at.String()+j.path(c.prefix), strings.NewReader(marker))
	if err == nil && j.keyed {
		// Without GetBody the client library does not send a keyed call again on its own. When it
		// did and the second connection was refused, the first send would look like it never happened.
		r.GetBody = nil
	}
	return r, err
}

func (c *caller) key(ctx context.Context, at netip.AddrPort, service string) (string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at.String()+header.KeyPath+"?service="+service, nil)
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

// direct calls a target that the picker chooses, without a daemon.
func (c *caller) direct(ctx context.Context, j job, from ident.DataCentre, marker string) (finish, bool) {
	reply := mail.NewBox[*stage.Member](1)
	c.picker.inbox.Put(pick{j.load.Service, from, reply}, c.picker.Done())
	var m *stage.Member
	select {
	case m = <-reply.C():
	case <-c.picker.Done():
		return refused{kind: "Stopped"}, false
	}
	defer c.picker.inbox.Put(settled{m}, c.picker.Done())
	r, err := c.request(ctx, j, m.Direct[from], marker)
	if err != nil {
		return refused{kind: "BadRequest"}, false
	}
	return c.read(r, j), true
}

// read sends a request and reads what its outcome is from the response.
func (c *caller) read(r *http.Request, j job) finish {
	response, err := c.client.Do(r)
	if err != nil {
		if refusedDial(err) {
			return refused{kind: entryClosed}
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
		return refused{kind: kind, earlier: true}
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

// refusedDial reports whether no connection could be opened, so that nothing was sent.
func refusedDial(err error) bool {
	var e *net.OpError
	return errors.As(err, &e) && e.Op == "dial"
}
