package guard

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestCall checks that the error of a function is passed on, and that a panic becomes an
// error that says where it came from.
func TestCall(t *testing.T) {
	own := errors.New("own")
	assert.ErrorIs(t, Call(func() error { return own }), own)
	assert.NilError(t, Call(func() error { return nil }))

	err := Call(func() error {
		var list []int

		return errors.New(string(rune(list[3])))
	})
	assert.ErrorIs(t, err, ErrPanic)
	assert.Assert(t, strings.Contains(err.Error(), "index out of range") && strings.Contains(err.Error(), "guard_test.go"), err.Error())
}
