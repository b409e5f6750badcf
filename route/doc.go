// Package route chooses a backend server for a request and limits, queues and retries requests.
package route
