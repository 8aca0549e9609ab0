package quota

import (
	"flag"
	"os"
	"testing"
)

// TestMain makes the random walks long enough for loans to be granted, ended and granted
// again.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.steps": "150", "rapid.checks": "300", "rapid.seed": "1"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
