package event

import (
	"sync"

	"github.com/lesismal/nbio/logging"
	"k8s.io/klog/v2"
)

// detailLevel is the klog verbosity at which the messages of the network library appear.
const detailLevel = 2

// RouteLibraryLogs sends the messages of the network library to klog instead of standard output.
func RouteLibraryLogs() { routeOnce.Do(func() { logging.DefaultLogger = libraryLogger{} }) }

// routeOnce is needed where a process starts several daemons at the same time.
var routeOnce sync.Once

type libraryLogger struct{}

// SetLevel implements logging.Logger.
func (libraryLogger) SetLevel(int) {}

// Debug implements logging.Logger.
func (libraryLogger) Debug(format string, v ...any) { klog.V(detailLevel).Infof(format, v...) }

// Info implements logging.Logger.
func (libraryLogger) Info(format string, v ...any) { klog.V(detailLevel).Infof(format, v...) }

// Warn implements logging.Logger.
func (libraryLogger) Warn(format string, v ...any) { klog.Warningf(format, v...) }

// Error implements logging.Logger.
func (libraryLogger) Error(format string, v ...any) { klog.Errorf(format, v...) }
