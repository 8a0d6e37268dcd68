package event

import (
	"sync"

	"github.com/lesismal/nbio/logging"
	"k8s.io/klog/v2"
)

// libraryVerbosity is the klog verbosity at which debug and info messages of the network library are logged.
const libraryVerbosity = 2

// RedirectLibraryLogs redirects the log messages of the network library from standard output to klog.
func RedirectLibraryLogs() { redirectOnce.Do(func() { logging.DefaultLogger = libraryLogger{} }) }

// redirectOnce prevents a data race when a process starts several daemons at the same time.
var redirectOnce sync.Once

type libraryLogger struct{}

// SetLevel implements logging.Logger.
func (libraryLogger) SetLevel(int) {}

// Debug implements logging.Logger.
func (libraryLogger) Debug(format string, v ...any) { klog.V(libraryVerbosity).Infof(format, v...) }

// Info implements logging.Logger.
func (libraryLogger) Info(format string, v ...any) { klog.V(libraryVerbosity).Infof(format, v...) }

// Warn implements logging.Logger.
func (libraryLogger) Warn(format string, v ...any) { klog.Warningf(format, v...) }

// Error implements logging.Logger.
func (libraryLogger) Error(format string, v ...any) { klog.Errorf(format, v...) }
