package owner

import "github.com/fuchsiahill/fuchsiahill/store"

// termStore is the store as an owner sees it in one term.
//
// Invariant: each of its transactions checks that the claim of the term is still the newest
// one, so that a superseded owner changes nothing, however late a transaction is carried out.
type termStore struct {
	store.Transactional
	claim store.Check
}

// Commit implements store.Transactional.
func (s *termStore) Commit(txn store.Txn) (store.Revision, error) {
	txn.Checks = append([]store.Check{s.claim}, txn.Checks...)
	return s.Transactional.Commit(txn)
}
