package cluster

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// RunWithPrograms builds the programs for the tests of a package of internal/standin,
// runs them with the programs' directory and removes it. It returns the exit code.
func RunWithPrograms(run func(bin string) int) int {
	dir, err := os.MkdirTemp("", "kumquatshelf-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "make a directory for the programs:", err)

		return 1
	}

	defer func() { _ = os.RemoveAll(dir) }()

	command := exec.Command("go", "build", "-o", dir+"/", "./cmd/...") //nolint:gosec,noctx // a directory of our own
	command.Dir, command.Stderr = filepath.Join("..", "..", ".."), os.Stderr

	if err := command.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build the programs:", err)

		return 1
	}

	return run(dir)
}
