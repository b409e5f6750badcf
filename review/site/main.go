// Command site plays one case of the review: it starts the daemon as separate processes
// beside stand-ins of the platform, the minions and the consumers, all on loopback
// addresses, and checks one rule by what these have seen.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// playLimit bounds a whole case.
const playLimit = 115 * time.Second

// play runs a case on a site, with or without its disruption. It returns an error if the
// case could not run; broken rules are recorded on the site.
type play func(ctx context.Context, s *site, trouble bool) error

var plays = map[string]play{
	"unnoted-ends":  playUnnotedEnds,
	"occurrence":    playOccurrence,
	"dropped-route": playDroppedRoute,
	"budget":        playBudget,
	"crashes":       playCrashes,
	"avoided":       playAvoided,
	"gang":          playGang,
	"stale-upkeep":  playStaleUpkeep,
	"long-tasks":    playLongTasks,
	"outgrown":      playOutgrown,
}

func main() {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "", "path of the record")
	daemon := flag.String("daemon", "target/fuchsiahilld", "path of the daemon")
	flag.Parse()
	os.Exit(run(*name, *record, *daemon, os.Getenv("TROUBLE") != "0"))
}

// run plays a case and returns the exit code.
func run(name, record, daemon string, trouble bool) int {
	p, ok := plays[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case:", name)
		return 2
	}
	log, err := newRecord(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer log.close()
	log.add("case %s, disruption %v", name, trouble)
	ctx, cancel := context.WithTimeout(context.Background(), playLimit)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	s, err := newSite(ctx, log, daemon)
	if err == nil {
		defer s.close()
		err = p(ctx, s, trouble)
	}
	switch {
	case err != nil:
		log.add("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case log.broken() > 0:
		fmt.Println("rule broken:", log.firstBreak())
		return 1
	}
	log.add("no rule broken")
	fmt.Println("no rule broken")
	return 0
}
