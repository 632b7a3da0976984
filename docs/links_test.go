package docs

import (
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Patterns for the text of Markdown pages. anyCode matches fenced, inline and indented code.
var (
	markdownLink      = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	fencedCode        = regexp.MustCompile("(?s)```.*?```")
	heading           = regexp.MustCompile(`(?m)^#+ +(.+)$`)
	nonAnchorChars    = regexp.MustCompile(`[^a-z0-9 _-]`)
	anyCode           = regexp.MustCompile("(?ms)```.*?```|`[^`\n]+`|^    [^\n]+$")
	subcommandPattern = regexp.MustCompile("(?m)(?:^|[`\\s])borageflow ([a-z]+)(?: (check|diff|commit|show))?")
)

// markdownFiles returns the Markdown files of the repository, relative to this directory.
func markdownFiles(t *testing.T) []string {
	t.Helper()
	var out []string
	assert.NilError(t, filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err == nil && !d.IsDir() && strings.HasSuffix(path, ".md") {
			out = append(out, path)
		}
		return err
	}))
	assert.Assert(t, len(out) > 20, "only %d Markdown files found", len(out))
	return out
}

// Guards against a link to a page, a file or a heading that does not exist.
func TestLinksResolve(t *testing.T) {
	for _, page := range markdownFiles(t) {
		raw, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, match := range markdownLink.FindAllStringSubmatch(fencedCode.ReplaceAllString(string(raw), ""), -1) {
			checkLink(t, page, match[1])
		}
	}
}

// checkLink fails the test when the target of a relative link does not exist.
func checkLink(t *testing.T, page, link string) {
	t.Helper()
	if strings.Contains(link, "://") {
		return
	}
	name, anchor, _ := strings.Cut(link, "#")
	target := page
	if name != "" {
		target = filepath.Join(filepath.Dir(page), name)
	}
	info, err := os.Stat(target)
	assert.Check(t, err, "%s links to %s", page, link)
	if err != nil || anchor == "" || info.IsDir() {
		return
	}
	raw, err := os.ReadFile(target)
	assert.NilError(t, err)
	for _, match := range heading.FindAllStringSubmatch(string(raw), -1) {
		id := nonAnchorChars.ReplaceAllString(strings.ToLower(match[1]), "")
		if strings.ReplaceAll(id, " ", "-") == anchor {
			return
		}
	}
	t.Errorf("%s links to %s, but the page has no such heading", page, link)
}

// Guards against a page that names a subcommand that borageflow does not have.
func TestSubcommandsInPagesExist(t *testing.T) {
	binary := buildCommand(t)
	checked := map[string]bool{}
	for _, page := range markdownFiles(t) {
		raw, err := os.ReadFile(page)
		assert.NilError(t, err)
		code := strings.Join(anyCode.FindAllString(string(raw), -1), "\n")
		for _, match := range subcommandPattern.FindAllStringSubmatch(code, -1) {
			command := strings.TrimSpace(match[1] + " " + match[2])
			if !checked[command] {
				out, err := exec.Command(binary, helpArgs(command)...).CombinedOutput()
				assert.Check(t, err, "%s names borageflow %s, which fails: %s", page, command, out)
			}
			checked[command] = true
		}
	}
	assert.Assert(t, checked["dev"] && checked["manifest commit"], "commands found: %v", checked)
}

// helpArgs returns the arguments that print the help of a subcommand. The subcommand
// completion is part of the parser and has no help; it requires the name of a shell.
func helpArgs(command string) []string {
	if command == "completion" {
		return []string{"completion", "bash"}
	}
	return append(strings.Fields(command), "--help")
}

// Guards against commands in README.md that use files that do not exist.
func TestFilesInReadmeCommandsExist(t *testing.T) {
	raw, err := os.ReadFile("../README.md")
	assert.NilError(t, err)
	found := 0
	for _, line := range strings.Split(string(raw), "\n") {
		command, ok := strings.CutPrefix(line, "    ")
		if !ok {
			continue
		}
		for _, word := range strings.Fields(command) {
			word = strings.TrimPrefix(word, "./")
			if strings.Contains(word, "/") {
				_, err := os.Stat(filepath.Join("..", word))
				assert.Check(t, err, "a file in the README command %q does not exist", command)
				found++
			}
		}
	}
	assert.Assert(t, found >= 4, "README commands name only %d files", found)
}

// buildCommand builds borageflow and returns the path of the binary.
func buildCommand(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "borageflow")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/borageflow").CombinedOutput()
	assert.NilError(t, err, string(out))
	return binary
}
