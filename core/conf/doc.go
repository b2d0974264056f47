// Package conf reads the settings of an entry VM from flags and environment variables.
//
// A setting such as tables-address is set by the flag --tables-address or by the environment
// variable TANAGER_TABLES_ADDRESS. The flag takes precedence over the variable, and the
// variable over the default. Load reports all invalid settings at once, each with the given
// and the accepted values. It also reports TANAGER_ variables that match no setting, so that
// a misspelled name is not ignored.
package conf
