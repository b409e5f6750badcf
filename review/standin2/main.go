// Command standin2 plays the scripts of the second review: it starts stand-ins and the
// daemon, and tells by its exit code whether the rule of a case was broken.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// timeLimit bounds a run.
const timeLimit = 110 * time.Second

// scenario plays a case on a site. trouble is whether the disruption happens.
type scenario func(s *site, trouble bool) error

func main() { os.Exit(run(os.Args)) }

func run(args []string) int {
	scenarios := map[string]scenario{
		"crashes": crashes, "odd-entry": oddEntry, "dropped-queue": droppedQueue, "dropped-route": droppedRoute, "pending": pendingJobs, "ticket": staleTicket, "rolling": rolling,
	}
	const words = 4
	if len(args) != words || scenarios[args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 SCENARIO DAEMON RECORD")
		return failed
	}
	s, err := newSite(args[2], args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer s.close()
	trouble := os.Getenv("TROUBLE") != "0"
	s.record("scenario %s, disruption %v", args[1], trouble)
	ended := make(chan error, 1)
	go func() { ended <- scenarios[args[1]](s, trouble) }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	select {
	case err = <-ended:
	case sig := <-stop:
		err = &stoppedError{sig.String()}
	case <-time.After(timeLimit):
		err = &stoppedError{"the time limit"}
	}
	if err != nil {
		s.record("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	return s.verdict()
}

// stoppedError reports a run that was stopped before its end.
type stoppedError struct{ cause string }

func (e *stoppedError) Error() string { return "stopped by " + e.cause }

// verdict prints the rules that were broken, and returns the exit code.
func (s *site) verdict() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.broke) == 0 {
		fmt.Println("held")
		return held
	}
	for _, b := range s.broke {
		fmt.Println("BROKEN", b)
	}
	return broken
}

// setUp starts minions and hosts with a configuration.
func (s *site) setUp(minions int, routes ...route) error {
	if err := s.configure(1, routes...); err != nil {
		return err
	}
	if err := s.addMinions(minions, usualService); err != nil {
		return err
	}
	if err := s.startHosts(s.frontHosts); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	return nil
}
