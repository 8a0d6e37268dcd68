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
	// sinkLines bounds the lines that wait to be written, and with them the memory of a log that nobody reads.
	sinkLines = 4096
	// lineRate and lineBurst bound the lines of decisions on single calls per second. A daemon decides on some
	// 20 calls a second with about 5 lines each; a line costs some microseconds of processor time.
	lineRate  = 400
	lineBurst = 1200
)

// A sink writes log lines on a goroutine of its own, so that no task waits for the reader of the log.
// Lines beyond its bounds are dropped and counted.
type sink struct {
	lines   chan []byte
	dropped atomic.Int64
}

// Write implements io.Writer for klog, which reuses the bytes.
func (s *sink) Write(b []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), b...):
	default:
		s.dropped.Add(1)
	}
	return len(b), nil
}

// budget is the token bucket of the lines on single calls.
type budget struct {
	tokens atomic.Int64
	last   atomic.Int64
}

// take reports whether a line may be written at now. Two goroutines that refill at once add a little too much.
func (b *budget) take(now time.Time) bool {
	last := b.last.Load()
	// An elapsed time beyond that of the whole burst adds no more; a clock that was set back counts as one.
	elapsed := time.Duration(now.UnixNano() - last)
	if elapsed < 0 || elapsed > lineBurst*time.Second/lineRate {
		elapsed = lineBurst * time.Second / lineRate
	}
	if earned := int64(elapsed * lineRate / time.Second); earned > 0 && b.last.CompareAndSwap(last, now.UnixNano()) {
		b.tokens.Store(min(lineBurst, b.tokens.Load()+earned))
	}
	if b.tokens.Add(-1) >= 0 {
		return true
	}
	b.tokens.Add(1)
	return false
}

// output is where the lines go, or nil as long as klog writes by itself.
var output atomic.Pointer[sink]

// decisions bounds the lines on single calls of the process.
var decisions budget

// dropCheck is the interval at which dropped lines are reported.
const dropCheck = time.Second

// WriteTo sends all log lines of the process to w from now on. Flush must be called before the process ends.
func WriteTo(w io.Writer) (flush func()) {
	s := &sink{lines: make(chan []byte, sinkLines)}
	flags := flag.NewFlagSet("log", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "one_output": "true", "stderrthreshold": "FATAL"} {
		if err := flags.Set(name, value); err != nil {
			panic(err)
		}
	}
	klog.SetOutput(s)
	output.Store(s)
	flushes := make(chan chan struct{})
	go func() {
		check := time.NewTicker(dropCheck)
		defer check.Stop()
		for {
			select {
			case b := <-s.lines:
				// A log that cannot be written has nowhere to report it.
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

// skipped counts the lines on single calls that were not written.
var skipped atomic.Int64

func reportDrops() {
	n := skipped.Swap(0)
	if s := output.Load(); s != nil {
		n += s.dropped.Swap(0)
	}
	if n > 0 {
		LinesDropped.Log("lines", n)
	}
}

// message returns the number and the name of an event as they appear in a line.
func (e Event) message() string { return fmt.Sprintf("J%04d %s", e.Number, e.Name) }
