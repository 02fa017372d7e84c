// Package prove tests the guarantees of the system under failures. Its tests run real
// processes, kill, freeze and isolate them, and check the histories of concurrent callers
// and operators. They depend on timing and therefore run by `make prove`, not in CI.
// docs/PROOFS.md lists what each one shows.
package prove
