// Command guavahitch is a load balancer for expert-parallel model groups. All work is in the packages;
// this file hands the arguments to package command.
package main

import (
	"os"

	"guavahitch.example/guavahitch/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
