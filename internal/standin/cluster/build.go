package cluster

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// RunWithPrograms builds the programs for the tests of a package that is a direct subfolder
// of internal/standin, runs the function with the programs' directory and removes the
// directory. It returns the function's exit code, or 1 if the build fails.
func RunWithPrograms(run func(programDir string) int) int {
	dir, err := os.MkdirTemp("", "kumquatshelf-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "create directory for programs:", err)

		return 1
	}

	defer func() { _ = os.RemoveAll(dir) }()

	command := exec.Command("go", "build", "-o", dir+"/", "./cmd/...") //nolint:gosec,noctx // a directory of our own
	command.Dir, command.Stderr = filepath.Join("..", "..", ".."), os.Stderr

	if err := command.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build programs:", err)

		return 1
	}

	return run(dir)
}
