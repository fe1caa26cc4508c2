// Package rules holds tests that check rules of the repository, such as which
// package may import which, and that links between pages resolve.
package rules
