// Package dev runs a small site in one process: stand-ins for the platform,
// workers and backend servers, three entry hosts in two data centres, and a
// light mixed load. Its verdict comes from what the stand-ins and the callers
// saw, not from the hosts' own counters.
package dev
