package document

import "strings"

// nearestLimit is the largest edit distance at which a name is offered in place of a misspelt one.
const nearestLimit = 3

// Nearest returns the name with the smallest edit distance to a misspelt one, or "" when none is near.
func Nearest(misspelt string, names []string) string {
	best, bestDistance := "", nearestLimit+1
	for _, name := range names {
		distance := editDistance(strings.ToLower(misspelt), strings.ToLower(name))
		if distance < bestDistance && distance < len(name) {
			best, bestDistance = name, distance
		}
	}
	return best
}

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
