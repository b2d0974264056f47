// Package cmds implements the commands of tanager-stand.
//
// Each command that runs fakes adds them to a serverSet, which owns their
// listeners, fault injector and control address, and serves until the command is
// stopped. The command all uses one serverSet for each kind of fake.
package cmds
