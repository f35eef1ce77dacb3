// Command variants generates random variants of a deployment, with other engines, prices and
// prompts.
//
// # Usage
//
//	go run ./variants -n 6 -seed 7 -to DIR SITE.toml
//
// It writes SITE-SEED-1.toml, SITE-SEED-2.toml and so on, and prints what differs in each of
// them. The same seed generates the same variants.
package main

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
)

// property is a number in the site file that is multiplied by a random factor or, if replace is
// set, replaced by a random value.
type property struct {
	name    string
	pattern *regexp.Regexp
	// low and high bound the factor or the new value, which has a log-uniform distribution.
	low, high float64
	replace   bool
	// integer rounds the result to an integer of at least 1.
	integer bool
}

// numberOf returns a pattern for a field with its number, which is the second group.
func numberOf(field string) *regexp.Regexp { return regexp.MustCompile(`(\b` + field + ` = )([\d.]+)`) }

var properties = []property{
	{name: "prefill rate", pattern: numberOf("prefill_tokens_per_ms"), low: 0.3, high: 3},
	{name: "KV memory", pattern: numberOf("kv_tokens"), low: 0.25, high: 2, integer: true},
	{name: "slots", pattern: regexp.MustCompile(`((?:\bslots|\bbatch) = )(\d+)(, queue|, step_ms)`), low: 0.4, high: 4, integer: true},
	{name: "boot time", pattern: numberOf("boot_s"), low: 2, high: 10, replace: true},
	{name: "reclaimable price", pattern: numberOf("spot_price"), low: 0.1, high: 0.6, replace: true},
}

func main() {
	n := flag.Int("n", 6, "number of variants")
	seed := flag.Uint64("seed", 1, "random seed")
	to := flag.String("to", ".", "output folder")
	flag.Parse()
	if flag.NArg() != 1 {
		flag.Usage()
		os.Exit(2)
	}
	if err := generate(flag.Arg(0), *to, *seed, *n); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// generate writes n variants of a site file to a folder.
func generate(site, to string, seed uint64, n int) error {
	raw, err := os.ReadFile(site)
	if err != nil {
		return err
	}
	name := strings.TrimSuffix(filepath.Base(site), ".toml")
	random := rand.New(rand.NewPCG(seed, 0))
	for i := range n {
		lines, differences := strings.Split(string(raw), "\n"), []string(nil)
		for _, p := range properties {
			value := p.low * math.Pow(p.high/p.low, random.Float64())
			differences = append(differences, fmt.Sprintf("%s %.2f", p.name, value))
			for k, line := range lines {
				if strings.Contains(line, modelMark) {
					lines[k] = p.change(line, value)
				}
			}
		}
		file := filepath.Join(to, fmt.Sprintf("%s-%d-%d.toml", name, seed, i+1))
		if err := os.WriteFile(file, []byte(strings.Join(lines, "\n")), 0o644); err != nil {
			return err
		}
		fmt.Printf("%s: %s\n", file, strings.Join(differences, ", "))
	}
	return nil
}

// modelMark occurs in the lines of services whose endpoints are model engines.
const modelMark = "llm = {"

// change multiplies the property in a line by a factor, or replaces it.
func (p *property) change(line string, factor float64) string {
	return p.pattern.ReplaceAllStringFunc(line, func(match string) string {
		groups := p.pattern.FindStringSubmatch(match)
		value, err := strconv.ParseFloat(groups[2], 64)
		if err != nil {
			return match
		}
		value *= factor
		if p.replace {
			value = factor
		}
		digits := 3
		if p.integer {
			digits, value = 0, math.Max(math.Round(value), 1)
		}
		out := groups[1] + strconv.FormatFloat(value, 'f', digits, 64)
		if len(groups) > 3 {
			out += groups[3]
		}
		return out
	})
}
