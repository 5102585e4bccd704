package measure

import (
	"strings"

	"github.com/rotisserie/eris"
)

const (
	// beginMark and endMark enclose the generated part of a section. The benchmark's name follows each of them, and
	// closeMark ends the comment.
	beginMark = "<!-- begin Benchmark"
	endMark   = "<!-- end Benchmark"
	closeMark = " -->\n"
)

// Update returns the page with the table of each benchmark between its marks, such as <!-- begin BenchmarkPlan --> and
// <!-- end BenchmarkPlan -->, which are on lines of their own. A benchmark without marks gets a new section at the end
// of the page. The text outside the marks does not change.
func Update(page string, results []Result) (string, error) {
	for _, name := range benchmarks(results) {
		table := Table(results, name)
		begin, end := beginMark+name+closeMark, endMark+name+closeMark
		from := strings.Index(page, begin)
		if from < 0 {
			page = strings.TrimRight(page, "\n") + "\n\n## Benchmark" + name + "\n\n" + begin + table + end
			continue
		}
		from += len(begin)
		length := strings.Index(page[from:], end)
		if length < 0 {
			return "", eris.Errorf("measurements page: Benchmark%s has a begin mark and no end mark", name)
		}
		page = page[:from] + table + page[from+length:]
	}
	return page, nil
}
