package store

import "errors"

// IsRefused reports whether err says that the service refused a call for its content:
// nothing was applied, and the same call is refused again.
func IsRefused(err error) bool {
	var bad *BadRequestError
	var large *TooLargeError
	return errors.As(err, &bad) || errors.As(err, &large)
}

// CommitDivided commits items in one transaction. If it is refused for its content, the
// items are divided until each one at fault is alone: refused is called for it, and the
// others are committed. commit handles all other outcomes itself.
func CommitDivided[T any](items []T, commit func([]T) error, refused func(T, error)) {
	err := commit(items)
	switch {
	case !IsRefused(err):
	case len(items) == 1:
		refused(items[0], err)
	default:
		half := len(items) / 2
		CommitDivided(items[:half], commit, refused)
		CommitDivided(items[half:], commit, refused)
	}
}
