// Command borageflow is the operators' command line.
//
// Exit codes: 0 when all is well, 1 when an outcome is not met or a fault
// occurred, 2 when the command line is wrong.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
)

// Exit codes.
const (
	exitOK     = 0
	exitNotMet = 1
	exitUsage  = 2
)

// errNotMet ends a command whose outcome is not met; the command has printed why.
var errNotMet = errors.New("outcome is not met")

// usageError is a fault of the command line.
type usageError struct{ text string }

// Error implements error.
func (e usageError) Error() string { return e.text }

// streams are where a command reads and writes.
type streams struct {
	in       io.Reader
	out, err io.Writer
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], streams{in: os.Stdin, out: os.Stdout, err: os.Stderr})
	stop()
	os.Exit(code)
}

// run parses args and runs the subcommand that they name. The parser itself ends
// the process with exit code 2 on an unknown flag, and with 0 after help.
func run(ctx context.Context, args []string, io streams) int {
	parser, commands := newParser()
	if err := parser.ParseArgs(args); err != nil {
		return fail(io, usageError{err.Error()})
	}
	for _, c := range commands {
		if c.sub.Used {
			return fail(io, c.run(ctx, io))
		}
	}
	parser.ShowHelp()
	return fail(io, usageError{"a subcommand is required"})
}

func newParser() (*flaggy.Parser, []command) {
	parser := flaggy.NewParser("borageflow")
	parser.Description = "Operates borageflow. Exit codes: 0 well, 1 outcome not met or fault, 2 wrong command line."
	parser.AdditionalHelpAppend = "\n  completion bash|zsh|fish|powershell|nushell prints a completion script."
	parser.Version = version()
	commands := make([]command, 0, len(registry))
	for _, construct := range registry {
		c := construct()
		parser.AttachSubcommand(c.sub, 1)
		commands = append(commands, c)
	}
	return parser, commands
}

// fail prints an error and returns the exit code for it.
func fail(io streams, err error) int {
	if err == nil {
		return exitOK
	}
	var usage usageError
	code := exitNotMet
	if errors.As(err, &usage) {
		code = exitUsage
	}
	if !errors.Is(err, errNotMet) {
		// Nothing can be done when the error stream itself is closed.
		_, _ = fmt.Fprintf(io.err, "borageflow: %v\n", err)
	}
	return code
}

// version returns the module version and the commit of the build.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	text := info.Main.Version
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			text += " " + setting.Value
		}
	}
	return text
}

// readFile returns the content of the file that a required flag names; "-" is
// the standard input.
func readFile(io streams, flag, name string) ([]byte, error) {
	file, err := openFile(io, flag, name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return readAll(file, name)
}

func readAll(r io.Reader, name string) ([]byte, error) {
	raw, err := io.ReadAll(r)
	return raw, eris.Wrapf(err, "%s cannot be read", name)
}

// openFile opens the file that a required flag names; "-" is the standard input.
func openFile(in streams, flag, name string) (io.ReadCloser, error) {
	if name == "" {
		return nil, usageError{"flag --" + flag + " is required"}
	}
	if name == "-" {
		return io.NopCloser(in.in), nil
	}
	file, err := os.Open(name)
	return file, eris.Wrapf(err, "flag --%s", flag)
}

// writeFile writes a file through write; "-" is the standard output.
func writeFile(out streams, name string, write func(io.Writer) error) error {
	if name == "-" {
		return write(out.out)
	}
	file, err := os.Create(name)
	if err != nil {
		return eris.Wrapf(err, "%s cannot be written", name)
	}
	err = write(file)
	if closed := file.Close(); err == nil {
		err = closed
	}
	return eris.Wrapf(err, "%s cannot be written", name)
}
