// Package table implements a fake of the platform's transactional table service.
//
// Rows are kept in memory, sorted by key. Each row has the version of the
// transaction that last wrote it. Versions increase across all tables and are
// never reused, so a row that was deleted and recreated differs from the
// original. A commit call carries several transactions; each one is atomic and
// independent of the others.
package table
