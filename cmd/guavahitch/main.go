// Command guavahitch is a load balancer for expert-parallel model groups. Package command implements its verbs.
package main

import (
	"os"

	"guavahitch.example/guavahitch/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
