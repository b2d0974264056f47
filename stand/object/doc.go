// Package object is a stand-in for the platform's object store.
//
// The model: whole objects by key, in memory. A put replaces the object.
package object
