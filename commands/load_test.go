package commands

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagload"
)

// Guards against scores in the wrong column, and against names that are not checked.
func TestCompareScores(t *testing.T) {
	is := is.New(t)
	patterns, err := findPatterns([]string{"ordering/calm"})
	is.NoErr(err)
	columns, err := loadColumns([]string{wagload.PolicyAlone, wagload.PolicyPlacement}, []string{"reports"})
	is.NoErr(err)
	var out bytes.Buffer
	is.NoErr(compareScores(t.Context(), &out, patterns, columns, 1, 1))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(strings.Fields(lines[0]), []string{"pattern", "alone", "placement", "without", "reports"})
	row := strings.Fields(lines[1])
	is.Equal(len(row), 4)
	is.True(row[1] < row[2] && row[3] < row[2])
	_, err = findPatterns([]string{"none"})
	is.True(err != nil)
	_, err = loadColumns(nil, []string{"none"})
	is.True(err != nil)
}
