package demo_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"trefoildeck/internal/demo"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// TestDemo runs the demo, which checks the result of each of its steps.
func TestDemo(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()

	var out strings.Builder

	assert.NilError(t, demo.Run(ctx, &out, zap.NewNop()), out.String())
}
