// Package orgs holds what a configuration says about organizations: the keys
// that identify their requests, their caps on resources and their weights.
//
// A Directory is one version of that list. It is immutable, so that a lookup
// needs no lock, and a new version replaces the whole Directory. It keeps
// digests of the keys and never the keys themselves, so that a dump of memory,
// a log or an error cannot reveal a key.
package orgs
