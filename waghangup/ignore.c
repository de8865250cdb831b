#include <signal.h>
#include <string.h>

// Ignores SIGHUP before the Go runtime starts, in a process that runs the gateway
// command (Command in waghangup.go). The runtime installs a handler when it starts, and
// SIGHUP then ends the process until signal.Notify is called. A signal that is ignored
// when the runtime starts stays ignored until that call. glibc passes the arguments of
// main to constructors.
__attribute__((constructor)) static void ignore_hang_up(int argc, char **argv) {
	if (argc >= 2 && strcmp(argv[1], "gateway") == 0) {
		signal(SIGHUP, SIG_IGN);
	}
}
