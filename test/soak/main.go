package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

func main() {
	bin := flag.String("bin", "target", "`DIR` that contains the built programs")
	oldBin := flag.String("old-bin", "", "start with the programs in `DIR` and replace them host by host by those of -bin")
	seed := flag.Int64("seed", 1, "first seed")
	seeds := flag.Int("seeds", 1, "number of consecutive seeds to run")
	length := flag.Duration("time", 20*time.Second, "duration of fault injection for each seed")
	keep := flag.String("keep", "", "`DIR` for the logs of failed seeds (default: the system's temporary directory)")
	dir := flag.String("dir", "", "`DIR` for the files of the site, best in memory (default: the system's temporary directory)")
	flag.Parse()
	failed := 0
	for s := *seed; s < *seed+int64(*seeds); s++ {
		report, err := Run(Options{Bin: *bin, Seed: s, FaultDuration: *length, LogDir: *keep, Dir: *dir, OldBin: *oldBin})
		if err != nil {
			fmt.Fprintln(os.Stderr, "soak:", err)
			os.Exit(2)
		}
		fmt.Println(report.Summary())
		if len(report.Violations) > 0 {
			failed++
		}
	}
	if failed > 0 {
		fmt.Println(failed, "seeds failed")
		os.Exit(1)
	}
}
