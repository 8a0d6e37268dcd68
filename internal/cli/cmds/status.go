package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/cli/args"
	"jacinthcross/internal/task/admin"
)

type statusCommand struct {
	Addresses []string      `arg:"positional,required" help:"addresses for operators (Listen.Admin) of daemons" placeholder:"ADDR"`
	JSON      bool          `arg:"--json" help:"print JSON"`
	Timeout   time.Duration `arg:"--timeout" default:"2s" help:"how long a daemon may take to answer"`
}

// A report is the status of one daemon, or the error of reading it.
type report struct {
	Address netip.AddrPort
	Error   string        `json:",omitempty"`
	Lags    bool          `json:",omitempty"`
	Status  *admin.Status `json:",omitempty"`
}

// maxStatusBytes limits the size of a status response.
const maxStatusBytes = 4 << 20

func (c *statusCommand) Run(env args.Env) error {
	reports := make([]report, len(c.Addresses))
	for i, text := range c.Addresses {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return errors.NotValidf("address %q (want an IP address with a port, such as 10.0.0.1:7001)", text)
		}
		reports[i].Address = a
	}
	c.fetchAll(reports)
	if err := c.print(env, reports); err != nil {
		return err
	}
	for _, r := range reports {
		if r.Error != "" {
			return args.ReportedError{Code: args.Failure}
		}
	}
	return nil
}

// fetchAll reads the status of all daemons concurrently and marks the daemons whose release is older than another
// daemon's.
func (c *statusCommand) fetchAll(reports []report) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	done := make(chan struct{})
	for i := range reports {
		go func() {
			s, err := readStatus(ctx, reports[i].Address)
			if reports[i].Status = s; err != nil {
				reports[i].Error = err.Error()
			}
			done <- struct{}{}
		}()
	}
	var newest ident.Head
	for range reports {
		<-done
	}
	for _, r := range reports {
		if r.Status != nil {
			if h := headOf(r.Status); h.IsAfter(newest) {
				newest = h
			}
		}
	}
	for i, r := range reports {
		reports[i].Lags = r.Status != nil && newest.IsAfter(headOf(r.Status))
	}
}

// headOf returns the head of the release in a status, without its digest.
func headOf(s *admin.Status) ident.Head {
	return ident.Head{Serial: s.Release.Serial, Era: s.Release.Era}
}

func readStatus(ctx context.Context, address netip.AddrPort) (*admin.Status, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/status", nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Annotate(err, "no answer: check the address and that the daemon runs")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("daemon responded with HTTP status %d", response.StatusCode)
	}
	s := &admin.Status{}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(s); err != nil {
		return nil, errors.Annotate(err, "read status")
	}
	return s, nil
}

func (c *statusCommand) print(env args.Env, reports []report) error {
	if c.JSON {
		e := json.NewEncoder(env.Out)
		e.SetIndent("", "  ")
		return errors.Trace(e.Encode(reports))
	}
	w := tabwriter.NewWriter(env.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ADDRESS\tVM\tDATACENTRE\tRELEASE\tSTATE\tTARGET\tINFLIGHT\tPEERS\tREMARKS")
	for _, r := range reports {
		if r.Status == nil {
			fmt.Fprintf(w, "%s\t-\t-\t-\t-\t-\t-\t-\t%s\n", r.Address, r.Error)
			continue
		}
		s := r.Status
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%d\t%s\t%s\n", r.Address, s.VM, s.DataCentre, s.Release.Serial,
			s.Release.State, orDash(string(s.Target.Name)), s.Target.InFlight, peerCounts(s), orDash(strings.Join(remarks(r), ", ")))
	}
	return errors.Trace(w.Flush())
}

// peerCounts returns the number of peers that are alive and the number of all peers, as "alive/all".
func peerCounts(s *admin.Status) string {
	all := 0
	for _, n := range s.Peers.Count {
		all += n
	}
	return fmt.Sprintf("%d/%d", s.Peers.Count["Alive"], all)
}

func remarks(r report) []string {
	s := r.Status
	var out []string
	if r.Lags {
		out = append(out, "lags")
	}
	if s.Unconfirmed {
		out = append(out, "unconfirmed")
	}
	if s.Target.Draining {
		out = append(out, "draining")
	}
	if slices.Contains(s.Release.Evacuated, s.DataCentre) {
		out = append(out, "evacuated")
	}
	if n := len(s.Release.Lagging); n > 0 {
		out = append(out, fmt.Sprintf("%d peers lag", n))
	}
	if n := len(s.Release.Refusals); n > 0 {
		out = append(out, "refused: "+s.Release.Refusals[n-1])
	}
	return out
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
