// Package conf has the settings of an entry VM.
//
// The model: each setting has one name. As a flag it is written --name-address,
// as an environment variable TANAGER_NAME_ADDRESS; the flag wins over the
// variable, and the variable over the default. Settings are checked as a whole:
// Load returns every fault at once, each with the setting, what it was given and
// what it accepts. A TANAGER_ variable that names no setting is a fault too, so
// that a typing error is not ignored.
package conf
