// Package member is a stand-in for the platform's membership list.
//
// The model: each registration and removal is kept with its instant, and the
// list that is served is the one that was true a lag ago. A VM that was removed,
// or whose state is gone, is no longer listed once the lag has passed.
package member
