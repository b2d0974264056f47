// Package guard bounds what clients can make a process hold: bytes, connections and descriptors.
//
// A Guard has one byte budget for a process, a fraction of the memory of its VM. Each Port, the
// listener of one kind of client, has a fixed share of it, so that a crowd at one port leaves the
// others their share:
//
//	g := guard.New(ctx, guard.Options{Limits: limits, Log: logger.Warn})
//	port := g.Port(guard.Callers, guard.Refusal{})
//	listener, err := port.Listen("127.0.0.1:8080")
//	server := port.Wrap(&http.Server{Handler: handler, ReadHeaderTimeout: 3 * time.Second})
//	err = server.Serve(listener)
//
// A connection takes connectionCost while it is open. Headers, bodies and answers take a multiple
// of their bytes as these arrive, whatever length was announced, and give it back when the request
// has ended. Where the share does not suffice, connections that wait for their client, the longest
// without progress first, are closed. If that is not enough, the request is answered with 503 and
// Retry-After, and its connection is closed.
//
// A server is shut down by its port, which answers each request that was read:
//
//	err = port.Shutdown(ctx, server)
//
// The answer 503 means that the request has not run. A handler must therefore read the body to its
// end before it acts on it.
//
// Without load, connections are closed only if a body or the reading of an answer makes less than
// the least progress. A nil Guard and a nil Port set no limits.
package guard
