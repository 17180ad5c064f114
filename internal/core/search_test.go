package core_test

import (
	"fmt"
	"strings"
	"testing"
)

// TestSearch runs generated scripts of random faults for a fixed range of seeds: see -first and -seeds.
func TestSearch(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			script := generateScript(seed)
			s, violations := runScript(t, script)
			if len(violations) == 0 {
				return
			}
			t.Errorf("%s\n%s", strings.Join(violations, "\n"), script)
			if *showDirectory != "" {
				writeOutput(t, fmt.Sprintf("%d.trace", seed), script)
				writeOutput(t, fmt.Sprintf("%d.all", seed), s.log.String())
			}
		})
	}
}

// TestSearchRepeats checks that a simulation is deterministic: two runs of the same script produce identical logs.
func TestSearchRepeats(t *testing.T) {
	first, _ := runScript(t, generateScript(5))
	second, _ := runScript(t, generateScript(5))
	if first.log.String() != second.log.String() {
		t.Error(firstDifference(first.log.String(), second.log.String()))
	}
}
