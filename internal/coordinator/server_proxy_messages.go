package coordinator

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// methodExchange hands commands for servers to a daemon that sends them, and returns the outcomes of earlier ones.
const methodExchange = "cell.exchange"

type (
	exchangeRequest struct {
		Epoch  ident.Epoch `json:"epoch"` // of the leader's term
		Leader string      `json:"leader"`
		// Session numbers the leader's sessions with its proxies. A later one ends the calls and exchanges of an earlier one.
		Session uint64 `json:"session"`
		// Proxy is the incarnation of the daemon that the commands are meant for; empty if there are none.
		Proxy string `json:"proxy,omitempty"`
		// SendUntil is a reading of that incarnation's clock. None of the commands is sent to a server after it.
		SendUntil time.Duration `json:"send-until,omitempty"`
		// Wait is how long the reply may wait for an outcome.
		Wait     time.Duration `json:"wait,omitempty"`
		Commands []byte        `json:"commands,omitempty"` // see encodeBatch
	}
	exchangeReply struct {
		Epoch    ident.Epoch   `json:"epoch,omitempty"` // of a later leader; the commands weren't taken
		Proxy    string        `json:"proxy,omitempty"` // incarnation of the daemon
		Clock    time.Duration `json:"clock,omitempty"` // reading of its clock, which also counts suspensions of the host
		Outcomes []byte        `json:"outcomes,omitempty"`
	}
)

// decoding accepts any text, as one invalid payload or error message must not make all others of its message unreadable.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// commandKind tells the commands of a batch apart.
type commandKind uint8

const (
	kindStart commandKind = iota + 1
	kindStop
	kindThrottle
	kindPoll
	kindCloseConnections
)

// commandBatch is a list of commands. The payload of a job is sent once for all its tasks in the batch.
type commandBatch struct {
	_        struct{} `cbor:",toarray"`
	Fence    uint64
	Payloads []string
	Commands []proxiedCommand
}

// proxiedCommand holds a command of any kind. Only the fields of its kind are set.
type proxiedCommand struct {
	_            struct{} `cbor:",toarray"`
	Serial       uint64   // numbers the commands of a term
	Kind         commandKind
	Server       sched.ServerID
	Address      string
	Task         taskKey
	Run          uint64
	Payload      int // index of the batch's payloads
	Checkpoint   string
	Ticket       string
	Deadline     time.Duration
	CommonDelay  time.Duration
	Percent      int
	Acknowledged uint64
	Wait         time.Duration
	Timeout      time.Duration
	EndsAfter    time.Duration
	Overdue      bool
}

// taskKey is the encoded form of a sched.TaskID.
type taskKey struct {
	_                       struct{} `cbor:",toarray"`
	Job                     string
	Occurrence, Step, Index int
}

func newTaskKey(t sched.TaskID) taskKey {
	return taskKey{Job: string(t.Job), Occurrence: t.Occurrence, Step: t.Step, Index: t.Index}
}

func (k taskKey) task() sched.TaskID {
	return sched.TaskID{Job: ident.JobID(k.Job), Occurrence: k.Occurrence, Step: k.Step, Index: k.Index}
}

// batchEncoder collects the commands of a batch.
type batchEncoder struct {
	batch    commandBatch
	payloads map[string]int
}

// add appends a command.
func (e *batchEncoder) add(serial uint64, command sched.Command) {
	switch c := command.(type) {
	case sched.StartCommand:
		e.append(serial, kindStart, c.Server, proxiedCommand{
			Task: newTaskKey(c.Task), Run: uint64(c.Run), Payload: e.payload(c.Payload), Checkpoint: string(c.Checkpoint), Ticket: string(c.Ticket),
			Deadline: c.Deadline, CommonDelay: c.CommonDelay,
		})
	case sched.StopCommand:
		e.append(serial, kindStop, c.Server, proxiedCommand{Task: newTaskKey(c.Task), Run: uint64(c.Run), CommonDelay: c.CommonDelay})
	case sched.ThrottleCommand:
		e.append(serial, kindThrottle, c.Server, proxiedCommand{Task: newTaskKey(c.Task), Run: uint64(c.Run), Percent: c.Percent})
	case sched.PollCommand:
		e.append(serial, kindPoll, c.Server, proxiedCommand{
			Deadline: c.Deadline, Acknowledged: c.Acknowledged, Wait: c.Wait, Timeout: c.Timeout, EndsAfter: c.EndsAfter, Overdue: c.Overdue,
		})
	}
}

func (e *batchEncoder) append(serial uint64, kind commandKind, server sched.Server, c proxiedCommand) {
	c.Serial, c.Kind, c.Server, c.Address = serial, kind, server.ID, server.Address
	e.batch.Commands = append(e.batch.Commands, c)
}

// payload returns the index of a payload.
func (e *batchEncoder) payload(text string) int {
	i, ok := e.payloads[text]
	if !ok {
		if e.payloads == nil {
			e.payloads = map[string]int{}
		}
		i = len(e.batch.Payloads)
		e.payloads[text] = i
		e.batch.Payloads = append(e.batch.Payloads, text)
	}
	return i
}

// encode returns the batch, or nothing if it has no commands.
func (e *batchEncoder) encode(fence sched.FencingToken) ([]byte, error) {
	if len(e.batch.Commands) == 0 {
		return nil, nil
	}
	e.batch.Fence = uint64(fence)
	b, err := cbor.Marshal(e.batch)
	if err != nil {
		return nil, fmt.Errorf("encode commands: %w", err)
	}
	return b, nil
}

// errInvalidBatch reports a batch that names what it doesn't contain.
var errInvalidBatch = errors.New("invalid batch of commands")

// decodeBatch decodes a batch.
func decodeBatch(b []byte) (commandBatch, error) {
	var batch commandBatch
	if len(b) == 0 {
		return batch, nil
	}
	if err := decoding.Unmarshal(b, &batch); err != nil {
		return commandBatch{}, fmt.Errorf("decode commands: %w", err)
	}
	for _, c := range batch.Commands {
		if c.Kind == kindStart && (c.Payload < 0 || c.Payload >= len(batch.Payloads)) {
			return commandBatch{}, fmt.Errorf("%w: payload %d of %d", errInvalidBatch, c.Payload, len(batch.Payloads))
		}
	}
	return batch, nil
}

// start returns the start command of the kind kindStart.
func (c *proxiedCommand) start(payloads []string) sched.StartCommand {
	return sched.StartCommand{
		Server: c.server(), Task: c.Task.task(), Run: sched.RunNumber(c.Run), Payload: payloads[c.Payload], Checkpoint: sched.Checkpoint(c.Checkpoint),
		Ticket: sched.Ticket(c.Ticket), Deadline: c.Deadline, CommonDelay: c.CommonDelay,
	}
}

// poll returns the poll command of the kind kindPoll.
func (c *proxiedCommand) poll() sched.PollCommand {
	return sched.PollCommand{
		Server: c.server(), Deadline: c.Deadline, Acknowledged: c.Acknowledged, Wait: c.Wait, Timeout: c.Timeout, EndsAfter: c.EndsAfter,
		Overdue: c.Overdue,
	}
}

// server returns the part of a server's registration that calls need.
func (c *proxiedCommand) server() sched.Server { return sched.Server{ID: c.Server, Address: c.Address} }

// outcomeKind is the result of a proxied command.
type outcomeKind uint8

const (
	callAnswered outcomeKind = iota + 1
	callRefused              // with a Reason
	callNotSent
	callUnanswered // the command may have been carried out
	callMisdirected
	callExpired // not sent to the server, as the leader's bound was over
	pollOverdue // no reply within the timeout; a later reply follows as another outcome
)

// proxiedOutcome is the outcome of a command. Reply is set for an answered poll.
type proxiedOutcome struct {
	_      struct{} `cbor:",toarray"`
	Serial uint64
	Kind   outcomeKind
	Reason string
	Error  string
	Clock  time.Duration
	Reply  *pollReply
}

// pollReply is the encoded form of a sched.Inventory.
type pollReply struct {
	_           struct{} `cbor:",toarray"`
	Incarnation int64
	Delay       time.Duration
	Running     []activeRow
	Finished    []finishedRow
	More        bool
}

type activeRow struct {
	_          struct{} `cbor:",toarray"`
	Task       taskKey
	Run        uint64
	Checkpoint string
	Percent    int
	Tail       time.Duration
}

type finishedRow struct {
	_          struct{} `cbor:",toarray"`
	Number     uint64
	Task       taskKey
	Run        uint64
	Outcome    string
	Checkpoint string
}

func newPollReply(inv sched.Inventory) *pollReply {
	r := &pollReply{Incarnation: inv.Incarnation, Delay: inv.Delay, More: inv.MoreFinished}
	for _, a := range inv.Running {
		r.Running = append(r.Running, activeRow{
			Task: newTaskKey(a.Task), Run: uint64(a.Run), Checkpoint: string(a.Checkpoint), Percent: a.Percent, Tail: a.TailLatency,
		})
	}
	for _, f := range inv.Finished {
		r.Finished = append(r.Finished, finishedRow{
			Number: f.Number, Task: newTaskKey(f.Task), Run: uint64(f.Run), Outcome: string(f.Outcome), Checkpoint: string(f.Checkpoint),
		})
	}
	return r
}

// inventory returns the inventory that the reply holds.
func (o *proxiedOutcome) inventory() sched.Inventory {
	inv := sched.Inventory{Clock: o.Clock}
	if o.Reply == nil {
		return inv
	}
	inv.Incarnation, inv.Delay, inv.MoreFinished = o.Reply.Incarnation, o.Reply.Delay, o.Reply.More
	for _, a := range o.Reply.Running {
		inv.Running = append(inv.Running, sched.ActiveRun{
			Task: a.Task.task(), Run: sched.RunNumber(a.Run), Checkpoint: sched.Checkpoint(a.Checkpoint), Percent: a.Percent, TailLatency: a.Tail,
		})
	}
	for _, f := range o.Reply.Finished {
		inv.Finished = append(inv.Finished, sched.FinishedRun{
			Number: f.Number, Task: f.Task.task(), Run: sched.RunNumber(f.Run), Outcome: sched.Outcome(f.Outcome), Checkpoint: sched.Checkpoint(f.Checkpoint),
		})
	}
	return inv
}

// newOutcome returns the outcome of a call that ended with an error or nil.
func newOutcome(serial uint64, clock time.Duration, err error) proxiedOutcome {
	o := proxiedOutcome{Serial: serial, Kind: callAnswered, Clock: clock}
	var refused *RefusedError
	switch {
	case err == nil:
		return o
	case errors.As(err, &refused):
		o.Kind, o.Reason, o.Clock = callRefused, string(refused.Reason), refused.Clock
	case errors.Is(err, ErrInstanceMismatch):
		o.Kind = callMisdirected
	case errors.Is(err, ErrNotSent):
		o.Kind = callNotSent
	default:
		o.Kind = callUnanswered
	}
	o.Error = err.Error()
	return o
}

// err returns the error that the call would have returned to this daemon.
func (o *proxiedOutcome) err() error {
	switch o.Kind {
	case callAnswered:
		return nil
	case callRefused:
		return &RefusedError{Reason: sched.Refusal(o.Reason), Clock: o.Clock, Err: errors.New(o.Error)}
	case callMisdirected:
		return fmt.Errorf("%w: %s", ErrInstanceMismatch, o.Error)
	case callNotSent, callExpired:
		return fmt.Errorf("%w: %s", ErrNotSent, o.Error)
	case callUnanswered, pollOverdue:
	}
	return fmt.Errorf("%w: %s", ErrNoResponse, o.Error)
}

// encodeOutcomes encodes outcomes that are encoded one by one.
func encodeOutcomes(outcomes []cbor.RawMessage) ([]byte, error) {
	if len(outcomes) == 0 {
		return nil, nil
	}
	b, err := cbor.Marshal(outcomes)
	if err != nil {
		return nil, fmt.Errorf("encode outcomes: %w", err)
	}
	return b, nil
}

// decodeOutcomes decodes outcomes.
func decodeOutcomes(b []byte) ([]proxiedOutcome, error) {
	if len(b) == 0 {
		return nil, nil
	}
	var outcomes []proxiedOutcome
	if err := decoding.Unmarshal(b, &outcomes); err != nil {
		return nil, fmt.Errorf("decode outcomes: %w", err)
	}
	return outcomes, nil
}
