package core_test

import (
	"fmt"
	"strings"
	"testing"
)

// TestSearch plays days of random troubles. The list of seeds is fixed.
func TestSearch(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			script := randomDay(seed)
			s, broken := runScript(t, script)
			if len(broken) == 0 {
				return
			}
			t.Errorf("%s\n%s", strings.Join(broken, "\n"), script)
			if *showDirectory != "" {
				writeShown(t, fmt.Sprintf("%d.trace", seed), script)
				writeShown(t, fmt.Sprintf("%d.all", seed), s.journal.String())
			}
		})
	}
}

// TestSearchRepeats plays a day twice: the same comes of it, to the byte.
func TestSearchRepeats(t *testing.T) {
	a, _ := runScript(t, randomDay(5))
	b, _ := runScript(t, randomDay(5))
	if a.journal.String() != b.journal.String() {
		t.Error(firstDifference(a.journal.String(), b.journal.String()))
	}
}
