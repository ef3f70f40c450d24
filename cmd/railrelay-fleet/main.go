// Command railrelay-fleet is railrelay with what a fleet of controllers needs: agreement,
// the peers' wire and the operators' listener. railrelay becomes it where a set-up has a
// fleet part; started by itself it does all that railrelay does.
package main

import "railrelay.dev/railrelay/internal/cli"

func main() { cli.Main(&cli.FleetSupport{Command: command, Join: join}) }
