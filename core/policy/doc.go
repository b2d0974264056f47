// Package policy holds what operators decide and how it takes force.
//
// The model: there is one Document for the whole fleet, kept as one row of the
// platform's tables. Each accepted change is a new Version with a number one
// higher than the one before; a rollback is a new version too. An entry VM has
// one version in force, held by a Keeper, and the number of that version never
// falls. A VM that has no version yet is not ready and refuses all requests.
package policy
