// Package member implements a fake of the platform's membership list.
//
// The list records each registration and removal with its time, and serves the
// state as of a fixed lag ago. A VM that is removed, or put in state gone, stays
// listed until the lag has passed.
package member
