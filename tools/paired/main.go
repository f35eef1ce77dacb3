// Command paired runs the same days with the same seeds on two source trees and prints the
// difference of their scores.
//
// # Usage
//
//	go run ./paired -bench FILE -why TEXT [-days quiet-1,scale-1] [-seeds 1,2,3] SITE BEFORE AFTER
//
// BEFORE and AFTER are checkouts. Each run adds an entry to the journal of its tree, from which
// the scores are read. Which tree runs first alternates between seeds, because the load of the
// machine changes over time.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
)

// entry is the compared part of a journal entry.
type entry struct {
	Days []struct {
		Score  float64 `json:"G"`
		Served float64 `json:"served"`
		Rules  map[string]any
	}
}

// result holds the score and the served share of one run.
type result struct{ score, served float64 }

func main() {
	bench := flag.String("bench", "", "the program that runs days")
	why := flag.String("why", "", "the reason, written to the journal")
	days := flag.String("days", "quiet-1,trouble-1,scale-1", "comma-separated days")
	seeds := flag.String("seeds", "", "comma-separated seeds; if empty, those of the days")
	flag.Parse()
	if *bench == "" || *why == "" || flag.NArg() != 3 {
		flag.Usage()
		os.Exit(2)
	}
	if err := compare(*bench, *why, strings.Split(*days, ","), strings.Split(*seeds, ","), flag.Arg(0), [2]string{flag.Arg(1), flag.Arg(2)}); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// compare runs each day and seed on both trees and prints the scores and the mean gain.
func compare(bench, why string, days, seeds []string, site string, trees [2]string) error {
	var differences []float64
	fmt.Printf("%-12s %-12s %8s %8s %8s %8s %8s\n", "day", "seed", "before", "after", "gain", "served", "served")
	for _, day := range days {
		for i, seed := range seeds {
			var out [2]result
			for k := range trees {
				tree := (k + i) % len(trees)
				f, err := run(bench, why, site, day, seed, trees[tree])
				if err != nil {
					return err
				}
				out[tree] = f
			}
			gain := out[1].score - out[0].score
			differences = append(differences, gain)
			fmt.Printf("%-12s %-12s %8.3f %8.3f %+8.3f %8.3f %8.3f\n", day, seed, out[0].score, out[1].score, gain, out[0].served, out[1].served)
		}
	}
	mean, stdDev := meanAndStdDev(differences)
	fmt.Printf("gain %+.4f, spread %.4f, error of the mean %.4f, %d pairs\n", mean, stdDev, stdDev/math.Sqrt(float64(len(differences))), len(differences))
	return nil
}

// run runs one day on one tree and returns its result.
func run(bench, why, site, day, seed, tree string) (result, error) {
	args := []string{"run", site, day, "--why", why}
	if seed != "" {
		args = append(args, "--seed", seed)
	}
	before, err := entries(tree)
	if err != nil {
		return result{}, err
	}
	c := exec.Command(bench, args...)
	c.Dir = tree
	if out, err := c.CombinedOutput(); err != nil {
		return result{}, fmt.Errorf("%s in %s: %w\n%s", day, tree, err, out)
	}
	after, err := entries(tree)
	if err != nil {
		return result{}, err
	}
	for _, name := range after {
		if !slices.Contains(before, name) {
			return readResult(name)
		}
	}
	return result{}, fmt.Errorf("%s in %s: the run added no journal entry", day, tree)
}

// entries returns the files of the journal entries of a tree.
func entries(tree string) ([]string, error) {
	names, err := filepath.Glob(filepath.Join(tree, "journal", "*.json"))
	if err != nil {
		return nil, fmt.Errorf("journal of %s: %w", tree, err)
	}
	return names, nil
}

// readResult reads the result from a journal entry and prints the rules that were broken.
func readResult(name string) (result, error) {
	raw, err := os.ReadFile(name)
	if err != nil {
		return result{}, err
	}
	var e entry
	if err := json.Unmarshal(raw, &e); err != nil {
		return result{}, fmt.Errorf("%s: %w", name, err)
	}
	if len(e.Days) != 1 {
		return result{}, fmt.Errorf("%s: found %d days, want 1", name, len(e.Days))
	}
	if rules := e.Days[0].Rules; len(rules) > 0 {
		fmt.Printf("%s: broken rules: %v\n", name, rules)
	}
	return result{e.Days[0].Score, e.Days[0].Served}, nil
}

// meanAndStdDev returns the mean and the sample standard deviation.
func meanAndStdDev(list []float64) (mean, stdDev float64) {
	for _, v := range list {
		mean += v / float64(len(list))
	}
	for _, v := range list {
		stdDev += (v - mean) * (v - mean) / math.Max(float64(len(list)-1), 1)
	}
	return mean, math.Sqrt(stdDev)
}
