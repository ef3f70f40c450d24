// Command railrelay runs one controller. It accepts queries from clients, schedules them on engines and
// follows the engine list.
package main

import "railrelay.dev/railrelay/internal/cli"

func main() { cli.Main(nil) }
