// Package policy defines the policy document by which operators configure the fleet, and
// its versions.
//
// There is one Document for the whole fleet. Each accepted change is a new Version,
// numbered one higher than the previous one and stored in a row of the platform's
// tables; a rollback is a new version too. The Head row names the newest version. An
// entry VM uses one version at a time, the active version, which is held by an
// ActiveVersion; its number never decreases. A VM without an active version is not
// ready and refuses all requests.
package policy
