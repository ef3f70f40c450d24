// Command railrelay-fleet is railrelay with the parts for a fleet of controllers: consensus, the
// transport between peers and the operators' control listener. railrelay executes this program if
// a set-up has a fleet part. Started directly, it does everything that railrelay does.
package main

import "railrelay.dev/railrelay/internal/cli"

func main() { cli.Main(&cli.FleetSupport{Command: command, Join: join}) }
