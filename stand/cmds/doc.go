// Package cmds has the commands of tanager-stand.
//
// The model: each stand-in command builds its part on a stage, which owns the
// listeners, the fault switch and the control address of the process, and serves
// until it is told to stop. The command all puts every stand-in on one stage.
package cmds
