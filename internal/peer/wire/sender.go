package wire

// Origin returns the sender; messages that embed Sender inherit it.
func (s Sender) Origin() Sender { return s }

// Stamp sets the sender unless the message already names one.
func (s *Sender) Stamp(from Sender) {
	if s.Member == "" {
		*s = from
	}
}
