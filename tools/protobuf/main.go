// Command protobuf generates Go code from a .proto file without the protoc program.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"google.golang.org/protobuf/cmd/protoc-gen-go/internal_gengo"
	"google.golang.org/protobuf/compiler/protogen"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: protobuf ROOT MODULE FILE, with FILE relative to ROOT, the directory of MODULE")
		os.Exit(2)
	}

	if err := generate(os.Args[1], os.Args[2], os.Args[3]); err != nil {
		fmt.Fprintln(os.Stderr, "protobuf:", err)
		os.Exit(1)
	}
}

// generate compiles file, a path relative to root, and writes the Go code below root. module
// is the Go module of root, whose path is removed from the paths of the generated files.
func generate(root, module, file string) error {
	compiler := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{ImportPaths: []string{root}},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}

	compiled, err := compiler.Compile(context.Background(), file)
	if err != nil {
		return fmt.Errorf("compile %s: %w", file, err)
	}

	plugin, err := protogen.Options{}.New(&pluginpb.CodeGeneratorRequest{
		FileToGenerate: []string{file},
		Parameter:      proto.String("module=" + module),
		ProtoFile:      []*descriptorpb.FileDescriptorProto{protodesc.ToFileDescriptorProto(compiled[0])},
	})
	if err != nil {
		return fmt.Errorf("set up code generator for %s: %w", file, err)
	}

	plugin.SupportedFeatures = internal_gengo.SupportedFeatures

	for _, f := range plugin.Files {
		if f.Generate {
			internal_gengo.GenerateFile(plugin, f)
		}
	}

	for _, f := range plugin.Response().GetFile() {
		if err := os.WriteFile(filepath.Join(root, f.GetName()), []byte(f.GetContent()), 0o600); err != nil {
			return fmt.Errorf("write code of %s: %w", file, err)
		}
	}

	return nil
}
