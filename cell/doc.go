// Package cell owns the workers of one part of a data centre: it places the
// tasks that queue shards delegate to it, keeps their leases, throttles and
// evicts them, and returns each outcome once.
//
// Machine is the durable state, rebuilt from the journal. Server runs the
// cells that this host owns. The decisions between them (what to start,
// renew, stop and return next) are functions of state and time without I/O.
//
// # When an attempt has surely ended
//
// A task is given to another worker only after its attempt has surely ended.
// An owner concludes that from one of:
//
//   - a report of the worker, in answer to a call with this owner's token,
//     that shows the attempt as final;
//   - such a report that does not list the attempt, if the call was sent
//     after the attempt was reported running, or after its start deadline and
//     the clock margin. Workers list every attempt of a cell until the cell
//     forgets it, and refuse a start after its deadline;
//   - a refusal of the start: it never runs under this or a lower token;
//   - the platform's host list showing the worker as gone;
//   - the lease having lapsed at the worker: see below.
//
// Renewals carry a deadline after which a worker refuses them, so a renewal
// that was delayed, or sent by a process that was paused before sending it,
// can't extend a lease past deadline + TTL. An owner that gets no answer
// stops renewing one TTL after the last answered renewal; all leases on that
// worker have then lapsed at (latest deadline sent) + TTL + clock margin + the time that the
// worker takes to end a task.
//
// A new owner does not know what its predecessors sent. Once a worker answers
// its higher token, that worker refuses the predecessors' calls and only the
// new owner's own calls count. As long as the worker is silent, a predecessor
// that can't reach the store may still be renewing there. It is ruled out
// when the predecessor's last journal entry says that it stopped, when its
// process has ended (a newer incarnation of its host exists, or the host list
// shows the host as gone), or by time: an owner stops renewing
// MaxUnconfirmedOwnership after its last durable journal entry, and the new owner's
// first entry is later than that one.
package cell
