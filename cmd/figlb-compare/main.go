// Command figlb-compare simulates the scheduling policy and the baseline policies on models
// of both sites. It prints the results as a table and optionally writes them as JSON.
package main

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/figlb/figlb/sched/compare"
)

func main() {
	seeds := flag.Int("seeds", 3, "number of seeds")
	loads := flag.String("loads", "50,80,100", "loads in percent of the reference rate")
	reference := flag.String("reference", "capacity", "rate that counts as 100% load: \"capacity\" of the engines without recomputation, or \"baseline\" for the rate that saturates the best baseline")
	floodLoad := flag.Float64("flood-load", 80, "load in percent before one organisation sends eight times its rate; 0 skips this run")
	site := flag.String("site", "", "compare only this site")
	policies := flag.String("policies", "", "compare only these policies, separated by commas")
	jsonPath := flag.String("json", "", "write the report as JSON to this file")
	flag.Parse()
	if *policies != "" {
		compare.SelectContenders(strings.Split(*policies, ","))
	}
	if err := run(*seeds, *loads, *reference, *floodLoad, *site, *jsonPath); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(seeds int, loads, reference string, floodLoad float64, site, jsonPath string) error {
	report := &compare.Report{Reference: map[string]float64{}}
	for i := range seeds {
		report.Seeds = append(report.Seeds, uint64(i+1))
	}
	for _, s := range compare.Sites {
		if site != "" && site != s.Name {
			continue
		}
		if err := compareSite(report, s, loads, reference, floodLoad); err != nil {
			return err
		}
	}
	if err := report.WriteTable(os.Stdout); err != nil {
		return err
	}
	if jsonPath == "" {
		return nil
	}
	f, err := os.Create(jsonPath)
	if err != nil {
		return err
	}
	if err := report.WriteJSON(f); err != nil {
		return err
	}
	return f.Close()
}

func compareSite(report *compare.Report, s compare.Site, loads, reference string, floodLoad float64) error {
	rate := compare.Capacity(s)
	if reference == "baseline" {
		rate = compare.Saturation(s)
	}
	report.Reference[s.Name] = rate
	for _, item := range strings.Split(loads, ",") {
		load, err := strconv.ParseFloat(item, 64)
		if err != nil {
			return err
		}
		report.Figures = append(report.Figures, compare.Compare(s, rate, load/100, report.Seeds)...)
	}
	if floodLoad > 0 {
		report.Floods = append(report.Floods, compare.CompareFloods(s, rate, floodLoad/100, report.Seeds)...)
	}
	return nil
}
