package netpeek

import (
	"context"
	"net"
)

// callerKey is the key of a connection in the context of its requests.
type callerKey struct{}

// WithCaller adds the connection of a caller to the context of its requests.
func WithCaller(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, c)
}

// CallerLeft reports whether the caller of a request, whose body was read, has closed its connection. net/http
// notices a close by a read in the background, which needs processor time: a process that was paused or is
// busy would first work on what it has received from callers that are gone. It is false if the connection is
// not known.
func CallerLeft(ctx context.Context) bool {
	c, ok := ctx.Value(callerKey{}).(net.Conn)
	return ok && Look(c) == Ended
}
