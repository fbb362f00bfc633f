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
	// summaryFormatVersion is the first byte of an encoded summary.
	summaryFormatVersion = 1
	// maxSummaryBytes holds 8,400 teams with the longest names, one for each slot of the servers of one of six daemons.
	maxSummaryBytes = 1 << 20
	summaryFlagFull = 1 // flag
)

// errMalformedSummary reports a body that is not an encoded summary.
var errMalformedSummary = errors.New("malformed summary")

// summaryEnvelope is a Summary as sent: its fields as varints instead of JSON, a fifth of the size.
type summaryEnvelope struct {
	Sender
	Body []byte `json:"body"`
}

// MarshalJSON encodes the fields as binary in one string.
func (s Summary) MarshalJSON() ([]byte, error) {
	b := []byte{summaryFormatVersion, 0}
	if s.Full {
		b[1] = summaryFlagFull
	}
	b = binary.AppendUvarint(b, uint64(max(0, s.Backlog)))
	b = binary.AppendUvarint(b, uint64(s.Version))
	b = binary.AppendUvarint(b, uint64(len(s.DataCentres)))
	for _, r := range s.DataCentres {
		b = appendText(appendText(b, r.DataCentre), r.Region)
		for _, v := range []resource.Vector{r.Free, r.LargestFree, r.Capacity, r.LargestHost} {
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
	text, err := json.Marshal(summaryEnvelope{s.Sender, b})
	if err != nil {
		return nil, fmt.Errorf("encode summary: %w", err)
	}
	return text, nil
}

// UnmarshalJSON decodes the binary fields. Memory use is bounded by the length of the body.
func (s *Summary) UnmarshalJSON(text []byte) error {
	var frame summaryEnvelope
	if err := json.Unmarshal(text, &frame); err != nil {
		return fmt.Errorf("decode summary: %w", err)
	}
	if len(frame.Body) < 2 || len(frame.Body) > maxSummaryBytes || frame.Body[0] != summaryFormatVersion || frame.Body[1] > summaryFlagFull {
		return fmt.Errorf("decode summary: %w: %d bytes", errMalformedSummary, len(frame.Body))
	}
	r := summaryReader{remaining: frame.Body[2:]}
	*s = Summary{Sender: frame.Sender, Full: frame.Body[1] == summaryFlagFull}
	s.Backlog, s.Version = r.count(), ident.Version(r.uvarint())
	for range r.listLength(22) { // two texts and four vectors of at least a byte per field
		room := DataCentreCapacity{DataCentre: ident.DataCentre(r.text()), Region: ident.Region(r.text())}
		for _, v := range []*resource.Vector{&room.Free, &room.LargestFree, &room.Capacity, &room.LargestHost} {
			*v = r.vector()
		}
		s.DataCentres = append(s.DataCentres, room)
	}
	for range r.listLength(7) {
		s.Teams = append(s.Teams, TeamUsage{Team: ident.TeamID(r.text()), Running: r.count(), Used: r.vector()})
	}
	if r.malformed || len(r.remaining) > 0 {
		return fmt.Errorf("decode summary: %w: %d bytes left", errMalformedSummary, len(r.remaining))
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

// summaryReader takes fields from the front of an encoded summary. After the first broken field all others are zero.
type summaryReader struct {
	remaining []byte
	malformed bool
}

// advance drops the n bytes of a field; n is not positive when the field is broken.
func (r *summaryReader) advance(n int) bool {
	if n <= 0 || r.malformed {
		r.malformed = true
		return false
	}
	r.remaining = r.remaining[n:]
	return true
}

func (r *summaryReader) uvarint() uint64 {
	n, size := binary.Uvarint(r.remaining)
	if !r.advance(size) {
		return 0
	}
	return n
}

func (r *summaryReader) varint() int64 {
	n, size := binary.Varint(r.remaining)
	if !r.advance(size) {
		return 0
	}
	return n
}

// count returns a number of tasks, which never exceeds 2^31.
func (r *summaryReader) count() int {
	n := r.uvarint()
	if n > 1<<31 {
		r.malformed = true
		return 0
	}
	return int(n)
}

// listLength returns the length of a list whose elements have at least size bytes each.
func (r *summaryReader) listLength(size int) int {
	n := r.uvarint()
	if n > uint64(len(r.remaining)/size) {
		r.malformed = true
		return 0
	}
	return int(n)
}

func (r *summaryReader) text() string {
	n := r.uvarint()
	if n > ident.MaxLength || n > uint64(len(r.remaining)) {
		r.malformed = true
		return ""
	}
	text := string(r.remaining[:n])
	r.remaining = r.remaining[n:]
	return text
}

func (r *summaryReader) vector() resource.Vector {
	return resource.Vector{
		CPU: resource.MilliCPU(r.varint()), Memory: resource.Megabytes(r.varint()), GPUs: resource.Count(r.varint()),
		Slots: resource.Count(r.varint()), Connections: resource.Count(r.varint()),
	}
}
