// Command wagtailspar is a load balancer for servers whose load shifts within
// milliseconds.
package main

import (
	"os"

	"github.com/wagtailspar/wagtailspar/commands"
)

func main() {
	os.Exit(commands.Execute(os.Args))
}
