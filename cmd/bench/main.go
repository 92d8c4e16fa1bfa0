// Command bench runs the benchmarks and prints each measure of kumquatshelf's algorithms
// next to those of simpler baseline algorithms. Options select the benchmarks of capacity
// and of the request path instead.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/kumquatshelf/kumquatshelf/internal/bench/capacity"
	"github.com/kumquatshelf/kumquatshelf/internal/bench/limits"
	"github.com/kumquatshelf/kumquatshelf/internal/bench/membership"
	"github.com/kumquatshelf/kumquatshelf/internal/bench/path"
	"github.com/kumquatshelf/kumquatshelf/internal/bench/publication"
	"github.com/kumquatshelf/kumquatshelf/internal/bench/table"
)

type arguments struct {
	Seeds    int    `arg:"--seeds" default:"4" help:"runs per measure, each with its own fixed seed"`
	Full     bool   `arg:"--full" help:"also the detection curve, long scenarios and the target size of membership, which needs 6 GB"`
	Capacity bool   `arg:"--capacity" help:"print the cost at the target instead, which takes a minute"`
	Match    string `arg:"--match" help:"with --capacity, only costs whose description contains this"`

	Path       bool          `arg:"--path" help:"measure the request path over separate processes instead"`
	Bin        string        `arg:"--bin" default:"bin" help:"with --path: directory with the programs"`
	Phase      time.Duration `arg:"--phase" default:"3s" help:"with --path: time of each phase"`
	Saturation float64       `arg:"--saturation" help:"with --path: requests per second that the load levels are fractions of, to compare programs at equal rates; 0 means the rate found in the first phase"`
}

// sections returns the groups of measures that the arguments select, in the order in which
// they are printed.
func sections(args arguments) []table.Section {
	if args.Capacity {
		return []table.Section{capacity.Section(args.Match)}
	}

	if args.Path {
		return []table.Section{path.Section(path.Options{Bin: args.Bin, Length: args.Phase, Saturation: args.Saturation})}
	}

	return []table.Section{
		limits.Section(args.Full), membership.Section(args.Full), publication.Section,
	}
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	if args.Seeds < 1 {
		parser.Fail("--seeds must be at least 1")
	}
	if err := table.Write(os.Stdout, sections(args), args.Seeds); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
