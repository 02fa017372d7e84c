// Package prove holds the proofs of what must always hold, under failure: its
// tests run real processes, kill, freeze and cut them, and check the histories
// of concurrent callers and operators. They hang on timing and so run by `make
// prove`, not in CI; docs/PROOFS.md tells what each one shows.
package prove
