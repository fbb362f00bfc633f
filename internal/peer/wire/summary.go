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
	// summaryFormatVersion is the version of the binary format, the first byte of an encoded summary.
	summaryFormatVersion = 1
	// maxSummaryBytes is enough for 8,400 teams with the longest names: one team for each slot of the backend servers of
	// one of six daemons.
	maxSummaryBytes = 1 << 20
	summaryFlagFull = 1 // value of the second byte when the summary is full, 0 otherwise
)

// errMalformedSummary reports a body that isn't a valid encoded summary.
var errMalformedSummary = errors.New("malformed summary")

// summaryEnvelope is the JSON form of a Summary. Body contains the fields as varints, in a fifth of the size of JSON.
type summaryEnvelope struct {
	Sender
	Body []byte `json:"body"`
}

// MarshalJSON encodes the fields in binary form as one JSON string.
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

// UnmarshalJSON decodes the binary form. The memory that it allocates is bounded by the length of the body.
func (s *Summary) UnmarshalJSON(text []byte) error {
	var envelope summaryEnvelope
	if err := json.Unmarshal(text, &envelope); err != nil {
		return fmt.Errorf("decode summary: %w", err)
	}
	if len(envelope.Body) < 2 || len(envelope.Body) > maxSummaryBytes ||
		envelope.Body[0] != summaryFormatVersion || envelope.Body[1] > summaryFlagFull {
		return fmt.Errorf("decode summary: %w: %d bytes", errMalformedSummary, len(envelope.Body))
	}
	r := summaryReader{remaining: envelope.Body[2:]}
	*s = Summary{Sender: envelope.Sender, Full: envelope.Body[1] == summaryFlagFull}
	s.Backlog, s.Version = r.count(), ident.Version(r.uvarint())
	for range r.listLength(22) { // minimum size: two strings and four vectors of five fields, one byte each
		capacity := DataCentreCapacity{DataCentre: ident.DataCentre(r.text()), Region: ident.Region(r.text())}
		for _, v := range []*resource.Vector{&capacity.Free, &capacity.LargestFree, &capacity.Capacity, &capacity.LargestHost} {
			*v = r.vector()
		}
		s.DataCentres = append(s.DataCentres, capacity)
	}
	for range r.listLength(7) { // minimum size: a string, a count and a vector of five fields, one byte each
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

// summaryReader decodes fields from the front of an encoded summary. After a malformed field it returns zero for all
// others.
type summaryReader struct {
	remaining []byte
	malformed bool
}

// advance removes the n bytes of a decoded field. A field is malformed if n isn't positive, as returned by
// binary.Uvarint.
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

// count decodes a number of tasks, which is at most 2^31.
func (r *summaryReader) count() int {
	n := r.uvarint()
	if n > 1<<31 {
		r.malformed = true
		return 0
	}
	return int(n)
}

// listLength decodes the length of a list whose elements have at least size bytes each.
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
