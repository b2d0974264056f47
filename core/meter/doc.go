// Package meter counts the bytes that a VM exchanges, by purpose.
//
// A use is the purpose of the traffic, such as "store" or "workers". If a
// connection has a single use, Meter.CountingDialer opens it and counts all its
// bytes. If several uses share a connection, the sender and the receiver of each
// message count its body with Meter.Sent and Meter.Received. The counts are
// exported as a Prometheus counter. They show which use saturates a VM's link.
package meter
