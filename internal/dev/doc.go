// Package dev runs a small site in one process: stand-ins for the platform,
// workers and backend servers, three entry hosts in two data centres, and a
// light mixed load. Its verdict is based on what the stand-ins and the callers
// observed, not on the hosts' own counters.
package dev
