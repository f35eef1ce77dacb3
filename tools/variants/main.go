// Command variants draws deployments around one: other engines, prices and prompts.
//
// # Usage
//
//	go run ./variants -n 6 -seed 7 -to DIR SITE.toml
//
// It writes SITE-SEED-1.toml and so on, with a line on standard output that says what differs.
// The same seed draws the same deployments.
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

// property is a number of the site file that is multiplied, or replaced where to is set.
type property struct {
	name    string
	pattern *regexp.Regexp
	// low and high bound the factor, or the new value; it is drawn evenly by its logarithm.
	low, high float64
	replace   bool
	whole     bool
}

// numberOf matches a field with its number, which is the second group.
func numberOf(field string) *regexp.Regexp { return regexp.MustCompile(`(\b` + field + ` = )([\d.]+)`) }

var properties = []property{
	{name: "reading", pattern: numberOf("prefill_tokens_per_ms"), low: 0.3, high: 3},
	{name: "memory", pattern: numberOf("kv_tokens"), low: 0.25, high: 2, whole: true},
	{name: "places", pattern: regexp.MustCompile(`((?:\bslots|\bbatch) = )(\d+)(, queue|, step_ms)`), low: 0.4, high: 4, whole: true},
	{name: "start", pattern: numberOf("boot_s"), low: 2, high: 10, replace: true},
	{name: "reclaimable price", pattern: numberOf("spot_price"), low: 0.1, high: 0.6, replace: true},
}

func main() {
	n := flag.Int("n", 6, "how many are drawn")
	seed := flag.Uint64("seed", 1, "the seed")
	to := flag.String("to", ".", "the folder that they are written to")
	flag.Parse()
	if flag.NArg() != 1 {
		flag.Usage()
		os.Exit(2)
	}
	if err := draw(flag.Arg(0), *to, *seed, *n); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func draw(site, to string, seed uint64, n int) error {
	raw, err := os.ReadFile(site)
	if err != nil {
		return err
	}
	name := strings.TrimSuffix(filepath.Base(site), ".toml")
	random := rand.New(rand.NewPCG(seed, 0))
	for i := range n {
		lines, says := strings.Split(string(raw), "\n"), []string(nil)
		for _, p := range properties {
			drawn := p.low * math.Pow(p.high/p.low, random.Float64())
			says = append(says, fmt.Sprintf("%s %.2f", p.name, drawn))
			for k, line := range lines {
				if strings.Contains(line, modelMark) {
					lines[k] = p.change(line, drawn)
				}
			}
		}
		file := filepath.Join(to, fmt.Sprintf("%s-%d-%d.toml", name, seed, i+1))
		if err := os.WriteFile(file, []byte(strings.Join(lines, "\n")), 0o644); err != nil {
			return err
		}
		fmt.Printf("%s: %s\n", file, strings.Join(says, ", "))
	}
	return nil
}

// modelMark is in the lines of services whose endpoints are model engines.
const modelMark = "llm = {"

// change multiplies the property in a line, or replaces it.
func (p *property) change(line string, by float64) string {
	return p.pattern.ReplaceAllStringFunc(line, func(match string) string {
		groups := p.pattern.FindStringSubmatch(match)
		value, err := strconv.ParseFloat(groups[2], 64)
		if err != nil {
			return match
		}
		value *= by
		if p.replace {
			value = by
		}
		digits := 3
		if p.whole {
			digits, value = 0, math.Max(math.Round(value), 1)
		}
		out := groups[1] + strconv.FormatFloat(value, 'f', digits, 64)
		if len(groups) > 3 {
			out += groups[3]
		}
		return out
	})
}
