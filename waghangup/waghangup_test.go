package waghangup

import (
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// hangUpSelfEnv makes the test program send itself SIGHUP as its first statement.
const hangUpSelfEnv = "WAGTAILSPAR_TEST_HANGUP"

func TestMain(m *testing.M) {
	if os.Getenv(hangUpSelfEnv) != "" {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			os.Exit(1)
		}
		<-Signals() // nil for other commands: blocks until the signal ends the process
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// Guards against SIGHUP that ends a host while it starts: seed 138 of the soak.
func TestTakenBeforeMain(t *testing.T) {
	is := is.New(t)
	is.NoErr(runSelf(Command))
}

// Guards against SIGHUP that no longer ends other commands.
func TestHangUpEndsOtherCommands(t *testing.T) {
	is := is.New(t)
	err := runSelf("demo")
	is.True(err != nil && strings.Contains(err.Error(), "hangup"))
}

func runSelf(command string) error {
	c := exec.Command(os.Args[0], command)
	c.Env = append(os.Environ(), hangUpSelfEnv+"=1")
	return c.Run()
}
