package telemetry

import (
	"os"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns a JSON logger on standard error. The level is "debug", "info" or
// "error".
func NewLogger(level, process, id string) logr.Logger {
	enc := zapcore.NewJSONEncoder(encoderConfig())
	core := zapcore.NewCore(enc, zapcore.Lock(os.Stderr), zapLevel(level))
	return zapr.NewLogger(zap.New(core)).WithValues("process", process, "id", id)
}

func encoderConfig() zapcore.EncoderConfig {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.ISO8601TimeEncoder
	return c
}

func zapLevel(level string) zapcore.Level {
	switch level {
	case "debug":
		return zapcore.DebugLevel
	case "error":
		return zapcore.ErrorLevel
	}
	return zapcore.InfoLevel
}
