// Command write generates the committed JSON schemas and the page of the settings; go
// generate runs it.
package main

import (
	"fmt"
	"os"

	"github.com/jujubescale/jujubescale/internal/conf/schema"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: write ROOT")
		os.Exit(2)
	}
	if err := schema.Write(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
