package policy

import (
	"fmt"
	"slices"
	"strings"
	"unicode"
)

// AcceptedReason describes the texts that CheckReason accepts.
const AcceptedReason = "a sentence of at least three words and 12 to 500 characters, no placeholder"

const (
	minReasonBytes = 12
	maxReasonBytes = 500
	minReasonWords = 3
)

// CheckReason returns an error if a text is not acceptable as the reason for a change:
// if it is empty, is too short or too long, contains a placeholder, or has fewer than
// three different words.
func CheckReason(reason string) error {
	reason = strings.TrimSpace(reason)
	if reason == "" {
		return fmt.Errorf("the reason is empty")
	}
	if len(reason) < minReasonBytes || len(reason) > maxReasonBytes {
		return fmt.Errorf("the reason has %d characters", len(reason))
	}
	words := strings.FieldsFunc(strings.ToLower(reason), func(r rune) bool { return !unicode.IsLetter(r) })
	if placeholder := firstPlaceholder(words); placeholder != "" {
		return fmt.Errorf("the reason holds the placeholder %q", placeholder)
	}
	if countDistinct(words) < minReasonWords {
		return fmt.Errorf("the reason has too few words")
	}
	return nil
}

// firstPlaceholder returns the first word that is a placeholder, or "".
func firstPlaceholder(words []string) string {
	for _, word := range words {
		switch word {
		case "tbd", "todo", "fixme", "xxx", "placeholder", "asdf", "lorem", "foo", "bar":
			return word
		}
	}
	return ""
}

// countDistinct returns the number of different words.
func countDistinct(words []string) int {
	sorted := slices.Clone(words)
	slices.Sort(sorted)
	return len(slices.Compact(sorted))
}
