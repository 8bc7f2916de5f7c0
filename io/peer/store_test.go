package peer

import (
	"errors"
	"fmt"
	"testing"

	"trefoildeck/io/rows"

	"gotest.tools/v3/assert"
)

// TestStoreErrors checks that the error of a relayed call is the one that the store gave.
// A conflict says that nothing was written, also if its rows could not be decoded.
func TestStoreErrors(t *testing.T) {
	for name, err := range map[string]error{
		"Conflict":     &rows.Conflict{Rows: []rows.Row{{Key: "a", Version: 3}}},
		"ConflictOnly": fmt.Errorf("commit: %w", rows.ErrConflict),
		"Unknown":      rows.ErrUnknown,
		"Refused":      rows.ErrRefused,
		"HistoryLost":  rows.ErrHistoryLost,
	} {
		t.Run(name, func(t *testing.T) {
			_, got := DecodeStoreAnswer(encodeStoreAnswer(1, rows.Page{}, err))

			for _, known := range []error{rows.ErrConflict, rows.ErrUnknown, rows.ErrRefused, rows.ErrHistoryLost} {
				assert.Equal(t, errors.Is(got, known), errors.Is(err, known), "%v: %v", known, got)
			}

			var withRows *rows.Conflict
			assert.Equal(t, errors.As(got, &withRows), errors.As(err, &withRows))
		})
	}
}
