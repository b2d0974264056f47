// Package object implements a fake of the platform's object store.
//
// Objects are kept in memory by key. A put replaces the object.
package object
