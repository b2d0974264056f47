// Package table is a stand-in for the platform's transactional table service.
//
// The model: rows in memory, in key order, each with the version of the
// transaction that wrote it last. Versions grow over the whole service and are
// never used twice, so that a row which was deleted and written again can be
// told from the one before. A commit call carries many transactions; each
// applies whole or not at all.
package table
