package storetest

import (
	"strings"
	"sync/atomic"

	"github.com/fuchsiahill/fuchsiahill/store"
)

// Refusing refuses each transaction that puts a key which contains Part, for good.
type Refusing struct {
	store.Transactional
	Part    string
	Refused atomic.Int64 // transactions
}

// Commit implements store.Transactional.
func (r *Refusing) Commit(txn store.Txn) (store.Revision, error) {
	for _, p := range txn.Puts {
		if strings.Contains(p.Key, r.Part) {
			r.Refused.Add(1)
			return 0, &store.BadRequestError{Message: "value of " + p.Key}
		}
	}
	return r.Transactional.Commit(txn)
}
