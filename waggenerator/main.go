// Command waggenerator compiles .proto files and runs the generators of protoc on them, so
// that generating code needs nothing but Go.
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

// generator is a program that speaks the plugin protocol of protoc.
type generator struct{ program, parameter string }

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: waggenerator FILE.proto PROTOC-GEN-GO PROTOC-GEN-GO-DRPC")
		os.Exit(2)
	}
	generators := []generator{{os.Args[2], "paths=source_relative"}, {os.Args[3], "paths=source_relative,json=false"}}
	if err := generate(os.Args[1], generators); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// generate writes the code of a .proto file beside it.
func generate(path string, generators []generator) (err error) {
	defer func() { err = errors.WithMessage(err, path) }()
	directory, name := filepath.Split(path)
	compiler := protocompile.Compiler{
		Resolver:       protocompile.WithStandardImports(&protocompile.SourceResolver{ImportPaths: []string{directory}}),
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := compiler.Compile(context.Background(), name)
	if err != nil {
		return err
	}
	for _, g := range generators {
		if err := g.run(directory, name, protodesc.ToFileDescriptorProto(files[0])); err != nil {
			return err
		}
	}
	return nil
}

// run runs the generator on a file and writes what it returns.
func (g generator) run(directory, name string, file *descriptorpb.FileDescriptorProto) (err error) {
	defer func() { err = errors.WithMessage(err, g.program) }()
	request, err := proto.Marshal(&pluginpb.CodeGeneratorRequest{FileToGenerate: []string{name}, Parameter: &g.parameter, ProtoFile: []*descriptorpb.FileDescriptorProto{file}})
	if err != nil {
		return err
	}
	command := exec.Command(g.program)
	command.Stdin, command.Stderr = bytes.NewReader(request), os.Stderr
	output, err := command.Output()
	if err != nil {
		return err
	}
	var response pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(output, &response); err != nil {
		return err
	}
	if response.Error != nil {
		return errors.New(response.GetError())
	}
	for _, f := range response.GetFile() {
		if err := os.WriteFile(filepath.Join(directory, f.GetName()), []byte(f.GetContent()), 0o644); err != nil {
			return err
		}
	}
	return nil
}
