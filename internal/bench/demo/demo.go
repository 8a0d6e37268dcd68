// Package demo runs daemons, stand-in targets and a stand-in platform in one process on loopback.
package demo

import (
	"fmt"
	"io"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/bench/config"
	"jacinthcross/internal/bench/target"
	"jacinthcross/internal/cli/conf"
	"jacinthcross/internal/super/daemon"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/juju/errors"
)

type member struct {
	service  string
	settings *conf.Settings
	target   *target.Target
	daemon   *daemon.Daemon
}

// Run runs the demo and prints a table of what happened.
func Run(out io.Writer) error {
	service, err := config.New()
	if err != nil {
		return err
	}
	defer service.Close()
	members, err := start(service)
	if err != nil {
		return err
	}
	defer func() {
		for _, m := range members {
			m.daemon.Drain()
			m.target.Close()
		}
	}()
	service.Publish(firstNote(members))
	time.Sleep(time.Second)
	client := &http.Client{Timeout: 5 * time.Second}
	entry := "http://" + members[0].settings.Callers.String()
	fmt.Fprintln(out, "service    method  status  outcome   answer")
	for _, c := range []struct{ service, method string }{
		{"summaries", http.MethodGet}, {"reports", http.MethodGet}, {"bookings", http.MethodPost},
	} {
		if err := one(out, client, entry, c.service, c.method); err != nil {
			return err
		}
	}
	return nil
}

func one(out io.Writer, client *http.Client, entry, service, method string) error {
	r, err := http.NewRequest(method, entry+"/"+service, strings.NewReader(""))
	if err != nil {
		return errors.Trace(err)
	}
	r.Header.Set("Jacinth-Service", service)
	if method == http.MethodPost {
		key, err := client.Get(entry + "/.well-known/jacinthcross/key?service=" + service)
		if err != nil {
			return errors.Trace(err)
		}
		text, err := io.ReadAll(key.Body)
		key.Body.Close()
		if err != nil {
			return errors.Trace(err)
		}
		r.Header.Set("Idempotency-Key", string(text))
	}
	response, err := client.Do(r)
	if err != nil {
		return errors.Trace(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Trace(err)
	}
	fmt.Fprintf(out, "%-10s %-7s %-7d %-9s %s\n", service, method, response.StatusCode, response.Header.Get("Jacinth-Outcome"), body)
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s: status %d", service, response.StatusCode)
	}
	return nil
}

func start(service *config.Service) ([]*member, error) {
	var members []*member
	for i, name := range []string{"lookups", "summaries", "summaries", "reports", "bookings", "bookings"} {
		t, err := target.New(fmt.Sprintf("%s-%d", name, i))
		if err != nil {
			return nil, err
		}
		s := &conf.Settings{
			VM: ident.VM(fmt.Sprintf("vm-%d", i)), DataCentre: "catania-1", Config: service.URL(),
			MaxBody: 8 << 20, MaxHeader: 64 << 10, KeyEpoch: 5 * time.Minute,
		}
		for _, a := range []*netip.AddrPort{&s.Callers, &s.Peers, &s.Admin} {
			if *a, err = freePort(); err != nil {
				return nil, err
			}
		}
		d, err := daemon.New(s, "demo")
		if err != nil {
			return nil, err
		}
		members = append(members, &member{service: name, settings: s, target: t, daemon: d})
	}
	return members, nil
}

func freePort() (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, errors.Trace(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

func firstNote(members []*member) string {
	var b strings.Builder
	seen := map[string]bool{}
	for i, m := range members {
		if !seen[m.service] {
			seen[m.service] = true
			fmt.Fprintf(&b, "[[AddService]]\nName = %q\nRank = \"Urgent\"\n", m.service)
		}
		fmt.Fprintf(&b, "[[AddTarget]]\nName = \"%s-%d\"\nService = %q\nVM = %q\nDataCentre = \"catania-1\"\nDaemon = %q\nAddress = %q\nSlots = 10\n",
			m.service, i, m.service, string(m.settings.VM), m.settings.Peers, m.target.Address())
	}
	return b.String()
}
