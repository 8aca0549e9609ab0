package itest_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"currantstile/itest"
)

// Guards against a wrong key that equals the valid one because the key already ends in
// the replacement character.
func TestWrongKey(t *testing.T) {
	for _, key := range []string{"ctk.org.id.xa", "ctk.org.id.xb", "ctk.org.id.x7"} {
		wrong := itest.WrongKey(key)
		require.NotEqual(t, key, wrong)
		require.Len(t, wrong, len(key))
	}
}
