package event

import (
	"sync"

	"github.com/lesismal/nbio/logging"
	"k8s.io/klog/v2"
)

// nbioVerbosity is the klog verbosity at which debug and info messages of nbio, the network library, are logged.
const nbioVerbosity = 2

// RedirectLibraryLogs redirects the log messages of nbio, the network library, from standard output to klog.
func RedirectLibraryLogs() { redirectOnce.Do(func() { logging.DefaultLogger = nbioLogger{} }) }

// redirectOnce prevents a data race when a process starts several daemons at the same time.
var redirectOnce sync.Once

type nbioLogger struct{}

// SetLevel implements logging.Logger.
func (nbioLogger) SetLevel(int) {}

// Debug implements logging.Logger.
func (nbioLogger) Debug(format string, v ...any) { klog.V(nbioVerbosity).Infof(format, v...) }

// Info implements logging.Logger.
func (nbioLogger) Info(format string, v ...any) { klog.V(nbioVerbosity).Infof(format, v...) }

// Warn implements logging.Logger.
func (nbioLogger) Warn(format string, v ...any) { klog.Warningf(format, v...) }

// Error implements logging.Logger.
func (nbioLogger) Error(format string, v ...any) { klog.Errorf(format, v...) }
