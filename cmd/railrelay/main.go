// Command railrelay is one controller on sockets: it takes clients' queries,
// has package scheduler decide on them and speaks to engines and the list.
package main

import both "railrelay.dev/railrelay/internal/cli"

func main() { both.Main(nil) }
