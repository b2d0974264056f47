// Package keys makes and loads the certificates with which entry VMs prove
// their names to each other.
//
// The model: one certificate authority signs one certificate for each entry VM.
// The certificate's only DNS name is the VM's name. Both ends of a link present
// theirs. Make writes a development set into a directory; in production the
// same three files come from wherever the operators keep their keys. A Source
// reads the files again after they have changed, so that keys rotate without a
// restart.
package keys
