// Package keys issues and loads the certificates with which entry VMs authenticate
// to each other.
//
// A certificate authority signs one certificate for each entry VM, whose only DNS
// name is the name of the VM. Both ends of a connection present their
// certificates. Issue creates a set of files for development; in production, the
// operators provide the same three files. A Source reloads the files after they
// change, so that keys can be rotated without a restart.
package keys
