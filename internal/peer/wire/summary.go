package wire

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

const (
	// summaryFormat is the first byte of an encoded summary.
	summaryFormat = 1
	// maxSummaryBytes holds 8,400 teams with the longest names, one for each slot of the servers of one of six daemons.
	maxSummaryBytes = 1 << 20
	summaryFull     = 1 // flag
)

// errSummary reports a body that is not an encoded summary.
var errSummary = errors.New("malformed summary")

// summaryFrame is a Summary as sent: its fields as varints instead of JSON, a fifth of the size.
type summaryFrame struct {
	Sender
	Body []byte `json:"body"`
}

// MarshalJSON encodes the fields as binary in one string.
func (s Summary) MarshalJSON() ([]byte, error) {
	b := []byte{summaryFormat, 0}
	if s.Full {
		b[1] = summaryFull
	}
	b = binary.AppendUvarint(b, uint64(max(0, s.Backlog)))
	b = binary.AppendUvarint(b, uint64(s.Version))
	b = binary.AppendUvarint(b, uint64(len(s.Rooms)))
	for _, r := range s.Rooms {
		b = appendText(appendText(b, r.DataCentre), r.Region)
		for _, v := range []resource.Vector{r.Total, r.Largest, r.Capacity, r.LargestHost} {
			b = appendVector(b, v)
		}
	}
	b = binary.AppendUvarint(b, uint64(len(s.Teams)))
	for _, u := range s.Teams {
		b = binary.AppendUvarint(appendText(b, u.Team), uint64(max(0, u.Running)))
		b = appendVector(b, u.Used)
	}
	if len(b) > maxSummaryBytes {
		return nil, fmt.Errorf("encode summary: %d bytes, at most %d allowed", len(b), maxSummaryBytes)
	}
	text, err := json.Marshal(summaryFrame{s.Sender, b})
	if err != nil {
		return nil, fmt.Errorf("encode summary: %w", err)
	}
	return text, nil
}

// UnmarshalJSON decodes the binary fields. Memory use is bounded by the length of the body.
func (s *Summary) UnmarshalJSON(text []byte) error {
	var frame summaryFrame
	if err := json.Unmarshal(text, &frame); err != nil {
		return fmt.Errorf("decode summary: %w", err)
	}
	if len(frame.Body) < 2 || len(frame.Body) > maxSummaryBytes || frame.Body[0] != summaryFormat || frame.Body[1] > summaryFull {
		return fmt.Errorf("decode summary: %w: %d bytes", errSummary, len(frame.Body))
	}
	r := reader{rest: frame.Body[2:]}
	*s = Summary{Sender: frame.Sender, Full: frame.Body[1] == summaryFull}
	s.Backlog, s.Version = r.count(), ident.Version(r.uvarint())
	for range r.items(22) { // two texts and four vectors of at least a byte per field
		room := Room{DataCentre: ident.DataCentre(r.text()), Region: ident.Region(r.text())}
		for _, v := range []*resource.Vector{&room.Total, &room.Largest, &room.Capacity, &room.LargestHost} {
			*v = r.vector()
		}
		s.Rooms = append(s.Rooms, room)
	}
	for range r.items(7) {
		s.Teams = append(s.Teams, TeamUsage{Team: ident.TeamID(r.text()), Running: r.count(), Used: r.vector()})
	}
	if r.broken || len(r.rest) > 0 {
		return fmt.Errorf("decode summary: %w: %d bytes left", errSummary, len(r.rest))
	}
	return nil
}

func appendText[T ~string](b []byte, text T) []byte {
	return append(binary.AppendUvarint(b, uint64(len(text))), text...)
}

func appendVector(b []byte, v resource.Vector) []byte {
	for _, n := range [...]int64{int64(v.CPU), int64(v.Memory), int64(v.GPUs), int64(v.Slots), int64(v.Connections)} {
		b = binary.AppendVarint(b, n)
	}
	return b
}

// reader takes fields from the front of an encoded summary. After the first broken field all others are zero.
type reader struct {
	rest   []byte
	broken bool
}

// advance drops the n bytes of a field; n is not positive when the field is broken.
func (r *reader) advance(n int) bool {
	if n <= 0 || r.broken {
		r.broken = true
		return false
	}
	r.rest = r.rest[n:]
	return true
}

func (r *reader) uvarint() uint64 {
	n, size := binary.Uvarint(r.rest)
	if !r.advance(size) {
		return 0
	}
	return n
}

func (r *reader) varint() int64 {
	n, size := binary.Varint(r.rest)
	if !r.advance(size) {
		return 0
	}
	return n
}

// count returns a number of tasks, which never exceeds 2^31.
func (r *reader) count() int {
	n := r.uvarint()
	if n > 1<<31 {
		r.broken = true
		return 0
	}
	return int(n)
}

// items returns the length of a list whose elements have at least size bytes each.
func (r *reader) items(size int) int {
	n := r.uvarint()
	if n > uint64(len(r.rest)/size) {
		r.broken = true
		return 0
	}
	return int(n)
}

func (r *reader) text() string {
	n := r.uvarint()
	if n > ident.MaxLength || n > uint64(len(r.rest)) {
		r.broken = true
		return ""
	}
	text := string(r.rest[:n])
	r.rest = r.rest[n:]
	return text
}

func (r *reader) vector() resource.Vector {
	return resource.Vector{
		CPU: resource.MilliCPU(r.varint()), Memory: resource.Megabytes(r.varint()), GPUs: resource.Count(r.varint()),
		Slots: resource.Count(r.varint()), Connections: resource.Count(r.varint()),
	}
}
