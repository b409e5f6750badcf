package owner

import "testing"

// The worker of an unanswered start has restarted unseen, and accepted the run that takes its place: it
// executed the late start beside that run, as both had the same token.
func TestRunInPlaceOfUnansweredStartHasItsToken(t *testing.T) {
	tests := map[string]struct{ token, want int64 }{
		"usual":                      {7 * tokensPerTerm, 7*tokensPerTerm + 1},
		"never that of a later term": {8*tokensPerTerm - 1, 8*tokensPerTerm - 1},
	}
	for name, tt := range tests {
		w := &workerLoop{token: tt.token}
		if got := w.raiseToken(); got != tt.want || w.currentToken() != tt.want {
			t.Errorf("%s: token %d after %d, want %d", name, got, tt.token, tt.want)
		}
	}
}
