package document

import "strings"

// maxSuggestionDistance is the largest edit distance at which Nearest suggests a name.
const maxSuggestionDistance = 3

// Nearest returns the name with the smallest edit distance to a misspelt one, or "" when no name is similar.
func Nearest(misspelt string, names []string) string {
	best, bestDistance := "", maxSuggestionDistance+1
	for _, name := range names {
		distance := editDistance(strings.ToLower(misspelt), strings.ToLower(name))
		if distance < bestDistance && distance < len(name) {
			best, bestDistance = name, distance
		}
	}
	return best
}

// editDistance returns the Levenshtein distance of two strings, in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			substituted := diagonal
			if a[i] != b[j] {
				substituted++
			}
			diagonal = row[j+1]
			row[j+1] = min(substituted, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
