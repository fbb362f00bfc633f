package wire

// Origin returns the sender of a message that embeds Sender.
func (s Sender) Origin() Sender { return s }

// SetDefaultSender sets the sender unless the message already names one.
func (s *Sender) SetDefaultSender(from Sender) {
	if s.Member == "" {
		*s = from
	}
}
