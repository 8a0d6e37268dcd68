package event

import (
	"flag"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

const (
	// maxQueuedLines limits the lines that wait to be written, and thus the memory used when the log's reader stalls.
	maxQueuedLines = 4096
	// decisionLinesPerSecond and decisionLineBurst limit the rate of decision lines. A daemon handles about 20
	// calls a second with about 5 lines each; a line costs a few microseconds of CPU time.
	decisionLinesPerSecond = 400
	decisionLineBurst      = 1200
)

// A sink queues log lines for a separate goroutine to write, so that no task waits for the reader of the log.
// Lines that do not fit into the queue are dropped and counted.
type sink struct {
	lines   chan []byte
	dropped atomic.Int64
}

// Write implements io.Writer. It copies b, since klog reuses the buffer.
func (s *sink) Write(b []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), b...):
	default:
		s.dropped.Add(1)
	}
	return len(b), nil
}

// A tokenBucket allows decisionLinesPerSecond on average, in bursts of at most decisionLineBurst.
type tokenBucket struct {
	tokens     atomic.Int64
	lastRefill atomic.Int64 // Unix time in nanoseconds
}

// take reports whether a line may be written at now, and consumes a token if so. When goroutines race to refill the
// bucket, it may gain a few tokens too many, which does no harm.
func (b *tokenBucket) take(now time.Time) bool {
	last := b.lastRefill.Load()
	// The elapsed time is capped at the time that fills the bucket. A clock that was set back counts as that time, too,
	// so that it does not block logging.
	elapsed := time.Duration(now.UnixNano() - last)
	if elapsed < 0 || elapsed > decisionLineBurst*time.Second/decisionLinesPerSecond {
		elapsed = decisionLineBurst * time.Second / decisionLinesPerSecond
	}
	if earned := int64(elapsed * decisionLinesPerSecond / time.Second); earned > 0 && b.lastRefill.CompareAndSwap(last, now.UnixNano()) {
		b.tokens.Store(min(decisionLineBurst, b.tokens.Load()+earned))
	}
	if b.tokens.Add(-1) >= 0 {
		return true
	}
	b.tokens.Add(1)
	return false
}

// activeSink receives the log lines. It is nil until RedirectTo is called; until then klog writes the lines itself.
var activeSink atomic.Pointer[sink]

// decisionLimiter limits the decision lines of the process.
var decisionLimiter tokenBucket

const dropReportInterval = time.Second

// RedirectTo redirects all log lines of the process to w. The caller must call flush before the process exits.
func RedirectTo(w io.Writer) (flush func()) {
	s := &sink{lines: make(chan []byte, maxQueuedLines)}
	flags := flag.NewFlagSet("log", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "one_output": "true", "stderrthreshold": "FATAL"} {
		if err := flags.Set(name, value); err != nil {
			panic(err)
		}
	}
	klog.SetOutput(s)
	activeSink.Store(s)
	flushes := make(chan chan struct{})
	go func() {
		check := time.NewTicker(dropReportInterval)
		defer check.Stop()
		for {
			select {
			case b := <-s.lines:
				// There is nowhere to report a failure to write the log.
				_, _ = w.Write(b)
			case <-check.C:
				reportDrops()
			case done := <-flushes:
				for len(s.lines) > 0 {
					_, _ = w.Write(<-s.lines)
				}
				close(done)
			}
		}
	}()
	return func() {
		klog.Flush()
		done := make(chan struct{})
		flushes <- done
		<-done
	}
}

// suppressedDecisions counts the decision lines that the rate limit suppressed since the last report.
var suppressedDecisions atomic.Int64

// reportDrops logs the number of lines that were dropped or suppressed since the last report.
func reportDrops() {
	n := suppressedDecisions.Swap(0)
	if s := activeSink.Load(); s != nil {
		n += s.dropped.Swap(0)
	}
	if n > 0 {
		LogLinesDropped.Log("lines", n)
	}
}

// message returns the number and the name of the event as they appear in the log.
func (e Event) message() string { return fmt.Sprintf("J%04d %s", e.Number, e.Name) }
