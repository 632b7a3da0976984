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

var (
	pageLink   = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	codeBlock  = regexp.MustCompile("(?s)```.*?```")
	headline   = regexp.MustCompile(`(?m)^#+ +(.+)$`)
	notInID    = regexp.MustCompile(`[^a-z0-9 _-]`)
	codeText   = regexp.MustCompile("(?ms)```.*?```|`[^`\n]+`|^    [^\n]+$")
	subcommand = regexp.MustCompile("(?m)(?:^|[`\\s])borageflow ([a-z]+)(?: (check|diff|commit|show))?")
)

// pages returns the Markdown files of the repository relative to this folder.
func pages(t *testing.T) []string {
	t.Helper()
	var out []string
	assert.NilError(t, filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err == nil && !d.IsDir() && strings.HasSuffix(path, ".md") {
			out = append(out, path)
		}
		return err
	}))
	assert.Assert(t, len(out) > 20, "only %d pages found", len(out))
	return out
}

// Guards against a link to a page, a file or a headline that does not exist.
func TestLinksResolve(t *testing.T) {
	for _, page := range pages(t) {
		raw, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, match := range pageLink.FindAllStringSubmatch(codeBlock.ReplaceAllString(string(raw), ""), -1) {
			checkLink(t, page, match[1])
		}
	}
}

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
	for _, match := range headline.FindAllStringSubmatch(string(raw), -1) {
		id := notInID.ReplaceAllString(strings.ToLower(match[1]), "")
		if strings.ReplaceAll(id, " ", "-") == anchor {
			return
		}
	}
	t.Errorf("%s links to %s, which has no such headline", page, link)
}

// Guards against a page that names a subcommand which the command line has not.
func TestCommandsOfPagesExist(t *testing.T) {
	binary := buildCommand(t)
	checked := map[string]bool{}
	for _, page := range pages(t) {
		raw, err := os.ReadFile(page)
		assert.NilError(t, err)
		code := strings.Join(codeText.FindAllString(string(raw), -1), "\n")
		for _, match := range subcommand.FindAllStringSubmatch(code, -1) {
			words := strings.TrimSpace(match[1] + " " + match[2])
			if !checked[words] {
				out, err := exec.Command(binary, helpOf(words)...).CombinedOutput()
				assert.Check(t, err, "%s names borageflow %s: %s", page, words, out)
			}
			checked[words] = true
		}
	}
	assert.Assert(t, checked["dev"] && checked["manifest commit"], "commands found: %v", checked)
}

// helpOf returns the arguments that show what a subcommand does. The parser's own
// subcommand completion has no help, but needs a shell.
func helpOf(words string) []string {
	if words == "completion" {
		return []string{"completion", "bash"}
	}
	return append(strings.Fields(words), "--help")
}

// Guards against files that README tells readers to run and that do not exist.
func TestCommandsOfReadmeExist(t *testing.T) {
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
				assert.Check(t, err, "README runs %q", command)
				found++
			}
		}
	}
	assert.Assert(t, found >= 4, "README names only %d files", found)
}

// buildCommand builds the command line.
func buildCommand(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "borageflow")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/borageflow").CombinedOutput()
	assert.NilError(t, err, string(out))
	return binary
}
