package script

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script", Cmds: Commands(), Setup: Setup})
}

func TestStepScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/step", Cmds: StepCommands(), Setup: SetupStep})
}

// Guards against replicas that stay lost after their disk was full for a while.
func TestReplicasReturnAfterFullDisks(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/full-disk", Cmds: Commands(), Setup: Setup})
}
