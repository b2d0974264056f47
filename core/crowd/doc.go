// Package crowd plays hostile HTTP clients against a process and measures what the process uses
// meanwhile. Only tests import it.
//
// Each client of a crowd sends one request in a given form and then keeps its connection open
// without reading, until the server closes it or Close is called:
//
//	watch := crowd.StartWatch(pid, address)
//	c := crowd.Start(crowd.Options{Address: address, Clients: 500, Head: head, Body: body, Form: crowd.Whole, Missing: 10})
//	c.Wait() // until every client has sent all that it will send
//	c.Close()
//	peak := watch.Stop()
//
// Wait and the figures of a watch do not depend on the speed of the machine.
package crowd
