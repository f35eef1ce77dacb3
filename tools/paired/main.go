// Command paired plays the same days with the same seeds on two source trees and prints what
// one of them gains over the other.
//
// # Usage
//
//	go run ./paired -bench FILE -why TEXT [-days quiet-1,scale-1] [-seeds 1,2,3] SITE BEFORE AFTER
//
// BEFORE and AFTER are checkouts. Each play leaves its entry in the journal of its tree, from
// which the figures are read; a tree is played before the other one in turn, as the load of
// the machine changes.
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

// entry is the part of a journal entry that is compared.
type entry struct {
	Days []struct {
		Worth  float64 `json:"G"`
		Served float64 `json:"served"`
		Rules  map[string]any
	}
}

// figures are those of one play.
type figures struct{ worth, served float64 }

func main() {
	bench := flag.String("bench", "", "the program that plays days")
	why := flag.String("why", "", "the reason, for the journal")
	days := flag.String("days", "quiet-1,trouble-1,scale-1", "days, separated by commas")
	seeds := flag.String("seeds", "", "seeds, separated by commas; those of the days if empty")
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

func compare(bench, why string, days, seeds []string, site string, trees [2]string) error {
	var differences []float64
	fmt.Printf("%-12s %-12s %8s %8s %8s %8s %8s\n", "day", "seed", "before", "after", "gain", "served", "served")
	for _, day := range days {
		for i, seed := range seeds {
			var out [2]figures
			for k := range trees {
				tree := (k + i) % len(trees)
				f, err := play(bench, why, site, day, seed, trees[tree])
				if err != nil {
					return err
				}
				out[tree] = f
			}
			gain := out[1].worth - out[0].worth
			differences = append(differences, gain)
			fmt.Printf("%-12s %-12s %8.3f %8.3f %+8.3f %8.3f %8.3f\n", day, seed, out[0].worth, out[1].worth, gain, out[0].served, out[1].served)
		}
	}
	mean, spread := meanAndSpread(differences)
	fmt.Printf("gain %+.4f, spread %.4f, error of the mean %.4f, %d pairs\n", mean, spread, spread/math.Sqrt(float64(len(differences))), len(differences))
	return nil
}

// play plays one day on one tree.
func play(bench, why, site, day, seed, tree string) (figures, error) {
	args := []string{"run", site, day, "--why", why}
	if seed != "" {
		args = append(args, "--seed", seed)
	}
	before, err := entries(tree)
	if err != nil {
		return figures{}, err
	}
	c := exec.Command(bench, args...)
	c.Dir = tree
	if out, err := c.CombinedOutput(); err != nil {
		return figures{}, fmt.Errorf("%s in %s: %w\n%s", day, tree, err, out)
	}
	after, err := entries(tree)
	if err != nil {
		return figures{}, err
	}
	for _, name := range after {
		if !slices.Contains(before, name) {
			return read(name)
		}
	}
	return figures{}, fmt.Errorf("%s in %s: no new entry in the journal", day, tree)
}

func entries(tree string) ([]string, error) {
	names, err := filepath.Glob(filepath.Join(tree, "journal", "*.json"))
	if err != nil {
		return nil, fmt.Errorf("journal of %s: %w", tree, err)
	}
	return names, nil
}

func read(name string) (figures, error) {
	raw, err := os.ReadFile(name)
	if err != nil {
		return figures{}, err
	}
	var e entry
	if err := json.Unmarshal(raw, &e); err != nil {
		return figures{}, fmt.Errorf("%s: %w", name, err)
	}
	if len(e.Days) != 1 {
		return figures{}, fmt.Errorf("%s: %d days found, one is needed", name, len(e.Days))
	}
	if rules := e.Days[0].Rules; len(rules) > 0 {
		fmt.Printf("%s: rules broken: %v\n", name, rules)
	}
	return figures{e.Days[0].Worth, e.Days[0].Served}, nil
}

// meanAndSpread returns the mean and the standard deviation.
func meanAndSpread(list []float64) (mean, spread float64) {
	for _, v := range list {
		mean += v / float64(len(list))
	}
	for _, v := range list {
		spread += (v - mean) * (v - mean) / math.Max(float64(len(list)-1), 1)
	}
	return mean, math.Sqrt(spread)
}
