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

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
)

// Methods between daemons.
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
	// MethodPlacementOrder and MethodPlacementDemand belong to placement.
	MethodPlacementOrder  = "placement.order"
	MethodPlacementDemand = "placement.demand"
	// MethodNews is between gateways.
	MethodNews = "news"
)

// helloTimeout bounds dialing and the exchange of hello messages.
const helloTimeout = 2 * time.Second

// ErrNotSent means that no byte of a call left this process, which proves that
// the call did not run.
var ErrNotSent = errors.New("call was not sent")

// Counters count the bytes of all links of a process.
type Counters struct {
	SentBytes     atomic.Uint64
	ReceivedBytes atomic.Uint64
}

// Handler answers the calls of other daemons. Notifications and calls of one
// link arrive in order; a call that takes long must be answered by Respond from
// another goroutine.
type Handler interface {
	// Serve handles one message. Params are the raw JSON of its method.
	Serve(link *Link, call *Call)
	// LinkOpened is called once when the other side has said hello.
	LinkOpened(link *Link)
	// LinkClosed is called once when a link that said hello is gone.
	LinkClosed(link *Link)
}

// Call is one received message.
type Call struct {
	Method string
	Params json.RawMessage
	conn   *jsonrpc2.Conn
	id     jsonrpc2.ID
	notify bool
	once   sync.Once
}

// Decode reads the parameters; a message that does not fit is invalid_request.
func (c *Call) Decode(out any) error {
	if err := json.Unmarshal(c.Params, out); err != nil {
		return errkind.Wrap(err, errkind.InvalidRequest, "parameters of "+c.Method+" do not match the schema")
	}
	return nil
}

// Respond answers the call with a result. A notification has no answer.
func (c *Call) Respond(result any) {
	c.once.Do(func() {
		if c.notify {
			return
		}
		_ = c.conn.Reply(context.Background(), c.id, result)
	})
}

// Fail answers the call with an error of a listed kind.
func (c *Call) Fail(err error) {
	c.once.Do(func() {
		if c.notify {
			return
		}
		e := errkind.From(err)
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

// Link is one connection to another daemon.
type Link struct {
	// Remote is the member record of the other side's hello.
	Remote api.Member
	// Revision is the revision of the other side's hello.
	Revision api.Revision
	conn     *jsonrpc2.Conn
	// used is when the last call or notification began, in Unix nanoseconds, and
	// pending the number of calls that wait for their result.
	used    atomic.Int64
	pending atomic.Int64
	closed  atomic.Bool
}

// Key identifies the remote process, not only its instance.
type Key struct {
	Instance    string
	Incarnation int
}

// Key returns the identity of the remote process.
func (l *Link) Key() Key {
	return Key{Instance: l.Remote.Instance, Incarnation: l.Remote.Incarnation}
}

// Call sends a call and waits for its result.
func (l *Link) Call(ctx context.Context, method string, params, result any) error {
	l.pending.Add(1)
	defer l.pending.Add(-1)
	l.used.Store(time.Now().UnixNano())
	waiter, err := l.conn.DispatchCall(ctx, method, params)
	if err != nil {
		return sendError(err)
	}
	return fromRPC(waiter.Wait(ctx, result))
}

// Notify sends a notification.
func (l *Link) Notify(ctx context.Context, method string, params any) error {
	l.used.Store(time.Now().UnixNano())
	return l.conn.Notify(ctx, method, params)
}

// Close closes the connection.
func (l *Link) Close() {
	l.closed.Store(true)
	_ = l.conn.Close()
}

// ClosedHere reports whether this side closed the link.
func (l *Link) ClosedHere() bool { return l.closed.Load() }

// Done is closed when the connection is gone.
func (l *Link) Done() <-chan struct{} { return l.conn.DisconnectNotify() }

// closeWhenIdle returns when the link is gone. It closes a link that made no call
// for limit; incoming messages do not count, since the other side has its own
// outgoing link when it needs one.
func (l *Link) closeWhenIdle(limit, every time.Duration) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-l.Done():
			return
		case <-ticker.C:
			idle := time.Since(time.Unix(0, l.used.Load()))
			if idle > limit && l.pending.Load() == 0 {
				l.Close()
			}
		}
	}
}

// sendError tells a call that cannot have left this process from one that may
// have been sent in part.
func sendError(err error) error {
	if errors.Is(err, jsonrpc2.ErrClosed) {
		return errors.Join(ErrNotSent, err)
	}
	return errkind.Wrap(err, errkind.UpstreamFailed, "connection to peer failed")
}

func fromRPC(err error) error {
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

// Refused reports whether err is a connection refused by the other side: no
// process listens at the address.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// dispatcher adapts a Handler to jsonrpc2 and answers the hello itself.
type dispatcher struct {
	handler Handler
	local   func() api.Hello
	link    *Link
	said    chan struct{}
	once    sync.Once
	stream  *stream
	// attached is closed when link has its connection. The library reads messages
	// before it returns the connection.
	attached chan struct{}
}

// Handle implements jsonrpc2.Handler.
func (d *dispatcher) Handle(_ context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	<-d.attached
	call := &Call{Method: req.Method, conn: conn, id: req.ID, notify: req.Notif}
	call.Params = d.stream.params
	if req.Method == MethodHello {
		d.hello(call)
		return
	}
	select {
	case <-d.said:
		d.handler.Serve(d.link, call)
	default:
		call.Fail(errkind.New(errkind.InvalidRequest, "the first message must be hello"))
	}
}

func (d *dispatcher) hello(call *Call) {
	var hello api.Hello
	if err := call.Decode(&hello); err != nil {
		call.Fail(err)
		return
	}
	d.once.Do(func() {
		d.link.Remote = hello.Member
		d.link.Revision = hello.Revision
		close(d.said)
		d.handler.LinkOpened(d.link)
	})
	call.Respond(d.local())
}

// attach starts the connection of the dispatcher's link.
func (d *dispatcher) attach(ctx context.Context, netConn net.Conn, counters *Counters) {
	d.attached = make(chan struct{})
	d.stream = newStream(netConn, counters)
	d.link.conn = jsonrpc2.NewConn(ctx, d.stream, d, jsonrpc2.SetLogger(discard{}))
	close(d.attached)
}

// discard drops the messages of the JSON-RPC library: a closed connection is
// reported by the link itself.
type discard struct{}

// Printf implements jsonrpc2.Logger.
func (discard) Printf(string, ...any) {}

func wrapDial(err error, address string) error {
	return errors.Join(ErrNotSent, eris.Wrapf(err, "peer %s cannot be reached", address))
}

// NotSent reports whether err proves that a call did not leave this process.
func NotSent(err error) bool { return errors.Is(err, ErrNotSent) }
