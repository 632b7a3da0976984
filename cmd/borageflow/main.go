// Command borageflow is the operators' command line.
//
// Exit codes: 0 for success, 1 when an outcome is not met or an error occurred,
// 2 when the command line is wrong.
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

// Exit codes of the command.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// errOutcomeNotMet makes a command exit with exitFailure without an error message,
// because the command has printed the reason.
var errOutcomeNotMet = errors.New("outcome is not met")

// usageError reports a wrong command line; the command exits with exitUsage.
type usageError struct{ message string }

// Error returns the message for the operator.
func (e usageError) Error() string { return e.message }

// streams holds the standard input, output and error output of a command.
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

// run parses args, runs the subcommand that they name and returns the exit code. The
// parser itself ends the process: with code 2 on an unknown flag, with 0 after help.
func run(ctx context.Context, args []string, s streams) int {
	parser, commands := newParser()
	if err := parser.ParseArgs(args); err != nil {
		return reportError(s, usageError{err.Error()})
	}
	for _, c := range commands {
		if c.sub.Used {
			return reportError(s, c.run(ctx, s))
		}
	}
	parser.ShowHelp()
	return reportError(s, usageError{"a subcommand is required"})
}

// newParser returns the parser with every subcommand attached, and the subcommands.
func newParser() (*flaggy.Parser, []command) {
	parser := flaggy.NewParser("borageflow")
	parser.Description = "Operates borageflow. Exit codes: 0 success, 1 outcome not met or error, 2 wrong command line."
	parser.AdditionalHelpAppend = "\n  completion bash|zsh|fish|powershell|nushell prints a completion script."
	parser.Version = version()
	commands := make([]command, 0, len(subcommands))
	for _, newSubcommand := range subcommands {
		c := newSubcommand()
		parser.AttachSubcommand(c.sub, 1)
		commands = append(commands, c)
	}
	return parser, commands
}

// reportError prints err, unless it is errOutcomeNotMet, and returns the exit code for it.
func reportError(s streams, err error) int {
	if err == nil {
		return exitOK
	}
	var usage usageError
	code := exitFailure
	if errors.As(err, &usage) {
		code = exitUsage
	}
	if !errors.Is(err, errOutcomeNotMet) {
		// A write error is ignored: there is no other stream to report it to.
		_, _ = fmt.Fprintf(s.err, "borageflow: %v\n", err)
	}
	return code
}

// version returns the module version and the commit from the build information.
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

// readFile returns the content of the file that a required flag names; "-" reads
// the standard input. It returns a usageError when name is empty.
func readFile(s streams, flag, name string) ([]byte, error) {
	file, err := openFile(s, flag, name)
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

// openFile opens the file that a required flag names; "-" opens the standard input. It
// returns a usageError when name is empty.
func openFile(s streams, flag, name string) (io.ReadCloser, error) {
	if name == "" {
		return nil, usageError{"flag --" + flag + " is required"}
	}
	if name == "-" {
		return io.NopCloser(s.in), nil
	}
	file, err := os.Open(name)
	return file, eris.Wrapf(err, "flag --%s", flag)
}

// writeFile creates a file and passes it to write; "-" passes the standard output.
func writeFile(s streams, name string, write func(io.Writer) error) error {
	if name == "-" {
		return write(s.out)
	}
	file, err := os.Create(name)
	if err != nil {
		return eris.Wrapf(err, "%s cannot be written", name)
	}
	err = write(file)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return eris.Wrapf(err, "%s cannot be written", name)
}
