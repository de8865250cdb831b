package waghangup

import "C" // Builds ignore.c; without cgo, SIGHUP ends the process until subscribe has run.
