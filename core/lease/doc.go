// Package lease elects the entry VM that schedules the jobs of a failure domain.
//
// Each failure domain has one lease row in the platform's tables. The row has the
// holder, an epoch that increases by one with each holder, and a deadline. The
// holder renews the lease well before the deadline, and checks the stored deadline
// right before each command. Another entry VM may acquire the lease only after the
// deadline plus the maximum clock skew. Workers reject commands of an older epoch.
//
// The row also has the latest deadline that any holder may have given to a task,
// so that a new holder knows how long to wait for workers that do not answer.
//
// A holder that is cut off from the platform may continue with an Extension, for
// which every voter must promise not to acquire the lease before a given time. The
// voters are the entry VMs of the stored roster, as listed in the row. If one
// promise is missing, the grant ends at the row's deadline. A voter promises nothing
// before it has read the row, or while its own acquisition may still take effect. A VM
// that the row does not list as a voter may acquire the lease only when no voter of the
// row is in the stored roster any more. A VM that has just started waits for as long as
// a promise can last, because its previous process may have made one.
package lease
