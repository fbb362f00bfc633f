package wire

// MessageSender returns the sender of a message that embeds Sender. No message has a field of this name, which would hide it.
func (s Sender) MessageSender() Sender { return s }

// SetDefaultSender sets the sender unless the message already names one.
func (s *Sender) SetDefaultSender(from Sender) {
	if s.Member == "" {
		*s = from
	}
}
