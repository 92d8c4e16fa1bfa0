// Command bench prints the measures of the decisions beside their baselines.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/kumquatshelf/kumquatshelf/internal/bench/accounts"
	"github.com/kumquatshelf/kumquatshelf/internal/bench/capacity"
	"github.com/kumquatshelf/kumquatshelf/internal/bench/health"
	"github.com/kumquatshelf/kumquatshelf/internal/bench/limits"
	"github.com/kumquatshelf/kumquatshelf/internal/bench/membership"
	"github.com/kumquatshelf/kumquatshelf/internal/bench/publication"
	"github.com/kumquatshelf/kumquatshelf/internal/bench/table"
)

type arguments struct {
	Seeds    int    `arg:"--seeds" default:"4" help:"runs per measure, each with its own fixed seed"`
	Full     bool   `arg:"--full" help:"also the detection curve, long scenarios and the target size of membership, which needs 6 GB"`
	Capacity bool   `arg:"--capacity" help:"print the cost at the target instead, which takes a minute"`
	Match    string `arg:"--match" help:"with --capacity, only costs whose description contains this"`
}

// sections returns all groups of measures in the order of the table.
func sections(args arguments) []table.Section {
	if args.Capacity {
		return []table.Section{capacity.Section(args.Match)}
	}

	return []table.Section{
		health.Section(args.Full), accounts.Section, limits.Section(args.Full), membership.Section(args.Full), publication.Section,
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
