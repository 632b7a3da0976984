package peer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/time/rate"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
)

// JSON-RPC methods that daemons call on each other.
const (
	MethodHello        = "hello"
	MethodRun          = "attempt.run"
	MethodParts        = "attempt.parts"
	MethodCancel       = "attempt.cancel"
	MethodConfigOffer  = "config.offer"
	MethodConfigFetch  = "config.fetch"
	MethodDigest       = "exchange.digest"
	MethodProbe        = "probe"
	MethodLeaving      = "leaving"
	MethodUsageConfirm = "usage.confirm"
	MethodUsageHold    = "usage.hold"
	MethodClaim        = "claims.claim"
	MethodClaimEnd     = "claims.end"
	// MethodPlacementOrder and MethodPlacementDemand carry replica placement.
	MethodPlacementOrder  = "placement.order"
	MethodPlacementDemand = "placement.demand"
	// MethodNews and MethodLoads are called between gateways only.
	MethodNews  = "news"
	MethodLoads = "loads"
)

// helloTimeout bounds dialing plus the exchange of hello messages.
const helloTimeout = 2 * time.Second

// ErrNotSent is returned when no byte of a call left this process. The remote
// process therefore did not run it.
var ErrNotSent = errors.New("call was not sent")

// Counters hold the bytes that all links of a process sent and received,
// including the frame headers.
type Counters struct {
	SentBytes     atomic.Uint64
	ReceivedBytes atomic.Uint64
}

// Handler serves the calls of other daemons. Calls and notifications of one link
// arrive in order on one goroutine, so a slow call must be answered from another
// goroutine with Call.Respond or Call.Fail.
type Handler interface {
	// Serve handles one call or notification. Call.Decode reads its parameters.
	Serve(link *Link, call *Call)
	// LinkOpened is called once per link, after the remote hello arrived.
	LinkOpened(link *Link)
	// LinkClosed is called once for each opened link, after its connection closed.
	LinkClosed(link *Link)
}

// Call is one call or notification that was received from another daemon.
type Call struct {
	Method         string
	Params         json.RawMessage
	conn           *jsonrpc2.Conn
	id             jsonrpc2.ID
	isNotification bool
	once           sync.Once
}

// Decode decodes the JSON parameters into out. It returns an error of kind
// invalid_request when they do not match.
func (c *Call) Decode(out any) error {
	if err := json.Unmarshal(c.Params, out); err != nil {
		return errkind.Wrap(err, errkind.InvalidRequest, "parameters of "+c.Method+" do not match the schema")
	}
	return nil
}

// Respond sends result as the answer to the call. Only the first Respond or Fail
// of a call has an effect, and neither has one for a notification.
func (c *Call) Respond(result any) {
	c.once.Do(func() {
		if c.isNotification {
			return
		}
		_ = c.conn.Reply(context.Background(), c.id, result)
	})
}

// Fail answers the call with the error kind, run state and retry delay of err.
// Errors without a kind are converted by errkind.FromError.
func (c *Call) Fail(err error) {
	c.once.Do(func() {
		if c.isNotification {
			return
		}
		e := errkind.FromError(err)
		answer := &jsonrpc2.Error{Code: errkind.Lookup(e.Kind).RPCCode, Message: e.Message}
		answer.SetError(rpcErrorData{Kind: e.Kind, RunState: e.RunState, RetryAfterMs: e.RetryAfter.Milliseconds()})
		_ = c.conn.ReplyWithError(context.Background(), c.id, answer)
	})
}

type rpcErrorData struct {
	Kind         errkind.Kind `json:"kind"`
	RunState     api.RunState `json:"runState"`
	RetryAfterMs int64        `json:"retryAfterMs,omitempty"`
}

// Link is one connection to another daemon, on which both sides can call.
type Link struct {
	// Remote is the member record in the remote hello.
	Remote api.Member
	// Revision is the manifest revision in the remote hello.
	Revision api.Revision
	conn     *jsonrpc2.Conn
	// lastCallNanos is the start of the last outgoing call or notification, in Unix
	// nanoseconds.
	lastCallNanos atomic.Int64
	// pendingCalls counts the outgoing calls without a result.
	pendingCalls atomic.Int64
	// closedLocally is set by Close.
	closedLocally atomic.Bool
	// countCall is called with the bytes of each call and its answer, if set.
	countCall func(remote api.Member, method string, bytes int)
}

// Key identifies a process: a restarted process of the same instance has another
// incarnation.
type Key struct {
	Instance    string
	Incarnation int
}

// Key returns the instance and incarnation of the remote process.
func (l *Link) Key() Key {
	return Key{Instance: l.Remote.Instance, Incarnation: l.Remote.Incarnation}
}

// Call sends a call and decodes its result into result. The error wraps
// ErrNotSent when nothing was sent; any other error is an *errkind.Error.
func (l *Link) Call(ctx context.Context, method string, params, result any) error {
	l.pendingCalls.Add(1)
	defer l.pendingCalls.Add(-1)
	l.lastCallNanos.Store(time.Now().UnixNano())
	if l.countCall != nil {
		return l.callCounted(ctx, method, params, result)
	}
	return l.dispatch(ctx, method, params, result)
}

func (l *Link) dispatch(ctx context.Context, method string, params, result any) error {
	pending, err := l.conn.DispatchCall(ctx, method, params)
	if err != nil {
		return sendError(err)
	}
	return responseError(pending.Wait(ctx, result))
}

// envelopeBytes is the length of what JSON-RPC and the stream put around the parameters and the result
// of one call, with short method names.
const envelopeBytes = 110

// callCounted is a call whose parameters and result are encoded here, so that their bytes are known.
func (l *Link) callCounted(ctx context.Context, method string, params, result any) error {
	sent, err := json.Marshal(params)
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "parameters of "+method+" cannot be encoded")
	}
	var received json.RawMessage
	err = l.dispatch(ctx, method, json.RawMessage(sent), &received)
	l.countCall(l.Remote, method, len(sent)+len(received)+envelopeBytes)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(received, result); err != nil {
		return errkind.Wrap(err, errkind.UpstreamFailed, "answer to "+method+" does not match the schema")
	}
	return nil
}

// Notify sends a notification, which has no answer. A nil error means that it was
// written to the connection.
func (l *Link) Notify(ctx context.Context, method string, params any) error {
	l.lastCallNanos.Store(time.Now().UnixNano())
	return l.conn.Notify(ctx, method, params)
}

// Close closes the connection.
func (l *Link) Close() {
	l.closedLocally.Store(true)
	_ = l.conn.Close()
}

// ClosedLocally reports whether this process closed the link.
func (l *Link) ClosedLocally() bool { return l.closedLocally.Load() }

// Done returns a channel that is closed when the connection closes.
func (l *Link) Done() <-chan struct{} { return l.conn.DisconnectNotify() }

// closeAfterIdle closes the link when no outgoing call or notification started for
// longer than timeout and none is pending, and returns when the link is closed.
// Incoming messages do not count because the remote process opens its own link for
// its calls.
func (l *Link) closeAfterIdle(timeout, checkInterval time.Duration) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.Done():
			return
		case <-ticker.C:
			idle := time.Since(time.Unix(0, l.lastCallNanos.Load()))
			if idle > timeout && l.pendingCalls.Load() == 0 {
				l.Close()
			}
		}
	}
}

// sendError adds ErrNotSent when the connection was closed before the call. After
// any other error, part of the call may have been sent.
func sendError(err error) error {
	if errors.Is(err, jsonrpc2.ErrClosed) {
		return errors.Join(ErrNotSent, err)
	}
	return errkind.Wrap(err, errkind.UpstreamFailed, "connection to peer failed")
}

// responseError converts the remote error of a call into an *errkind.Error.
func responseError(err error) error {
	if err == nil {
		return nil
	}
	var answer *jsonrpc2.Error
	if !errors.As(err, &answer) {
		return errkind.Wrap(err, errkind.UpstreamFailed, "connection to peer failed")
	}
	e := errkind.New(errkind.Internal, answer.Message)
	var data rpcErrorData
	if answer.Data != nil && json.Unmarshal(*answer.Data, &data) == nil {
		e.Kind = errkind.Parse(string(data.Kind))
		e.RunState = data.RunState
		e.RetryAfter = time.Duration(data.RetryAfterMs) * time.Millisecond
	}
	return e
}

// IsConnectionRefused reports whether the connection was refused, which means that no process
// listens at the address.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// dispatcher passes the messages of one link to a Handler. It answers hello itself
// and rejects other messages that arrive before hello.
type dispatcher struct {
	handler    Handler
	localHello func() api.Hello
	// onPanic is called by the function that recovered a panic in a handler.
	onPanic func(method string, value any)
	link    *Link
	// helloDone is closed when the remote hello was stored in link.
	helloDone chan struct{}
	helloOnce sync.Once
	stream    *stream
	// connReady is closed when link.conn is set. The JSON-RPC library may deliver a
	// message before NewConn returns the connection.
	connReady chan struct{}
}

// Handle implements jsonrpc2.Handler.
func (d *dispatcher) Handle(_ context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	<-d.connReady
	call := &Call{Method: req.Method, conn: conn, id: req.ID, isNotification: req.Notif}
	call.Params = d.stream.params
	defer func() {
		// One message must not end the process, which would meet it again from each peer that has it.
		if p := recover(); p != nil {
			d.onPanic(req.Method, p)
			call.Fail(errkind.New(errkind.Internal, "message cannot be handled: unexpected error"))
		}
	}()
	if req.Method == MethodHello {
		d.handleHello(call)
		return
	}
	select {
	case <-d.helloDone:
		d.handler.Serve(d.link, call)
	default:
		call.Fail(errkind.New(errkind.InvalidRequest, "the first message must be hello"))
	}
}

func (d *dispatcher) handleHello(call *Call) {
	var hello api.Hello
	if err := call.Decode(&hello); err != nil {
		call.Fail(err)
		return
	}
	d.helloOnce.Do(func() {
		d.link.Remote = hello.Member
		d.link.Revision = hello.Revision
		close(d.helloDone)
		d.handler.LinkOpened(d.link)
	})
	call.Respond(d.localHello())
}

// startConn starts JSON-RPC on netConn and sets the connection of the link.
func (d *dispatcher) startConn(ctx context.Context, netConn net.Conn, counters *Counters) {
	d.start(ctx, newStream(netConn, counters))
}

// startAccepted does so for a connection that was accepted by a node. Its messages share the node's memory and are short
// until its hello has come.
func (d *dispatcher) startAccepted(n *Node, netConn net.Conn) {
	s := newStream(netConn, &n.counters)
	s.memory = n.messageMemory
	if perSecond := n.bounds.MessageRate; perSecond > 0 {
		s.pace = rate.NewLimiter(rate.Limit(perSecond), int(perSecond))
	}
	s.maxBytes = func() uint32 {
		select {
		case <-d.helloDone:
			return maxMessageBytes
		default:
			return maxHelloBytes
		}
	}
	d.start(n.ctx, s)
}

func (d *dispatcher) start(ctx context.Context, s *stream) {
	d.connReady = make(chan struct{})
	d.stream = s
	d.link.conn = jsonrpc2.NewConn(ctx, d.stream, d, jsonrpc2.SetLogger(discardLogger{}))
	close(d.connReady)
}

// discardLogger drops the log lines of the JSON-RPC library, because Link.Done and
// Handler.LinkClosed already report a closed connection.
type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}

func dialError(err error, address string) error {
	return errors.Join(ErrNotSent, eris.Wrapf(err, "peer %s cannot be reached", address))
}

// IsNotSent reports whether err proves that no byte of a call left this process.
func IsNotSent(err error) bool { return errors.Is(err, ErrNotSent) }
