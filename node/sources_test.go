package node

import (
	"testing"

	"github.com/stretchr/testify/require"

	"currantstile/config"
)

// Guards against an older configuration that is put in force after a newer one, by a goroutine that another one has
// overtaken.
func TestOvertakenConfigurationIsNotApplied(t *testing.T) {
	n := &Node{}
	for _, version := range []uint64{2, 1, 2, 3} {
		cfg, err := config.New(config.Document{
			Version: version,
		})
		require.NoError(t, err)
		n.applyConfig(cfg)
		require.Equal(t, max(version, 2), n.config.Load().Version)
	}
}
