package itest_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"currantstile/itest"
)

// Whatever letter a key ends in, the wrong one is another.
func TestWrongKey(t *testing.T) {
	for _, key := range []string{"ctk.org.id.xa", "ctk.org.id.xb", "ctk.org.id.x7"} {
		wrong := itest.WrongKey(key)
		require.NotEqual(t, key, wrong)
		require.Len(t, wrong, len(key))
	}
}
