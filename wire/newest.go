package wire

// NewestArgs asks an instance for the newest configuration that it has seen, unless it is Have.
type NewestArgs struct {
	Have uint64
}

// NewestReply names the newest configuration. Compared is set if the instance has been told of those that
// others have seen, or was up to date with the store in the era in which it was accepted. Value is the entry's
// value if the configuration is newer than what was asked with.
type NewestReply struct {
	Version  uint64
	Compared bool
	Key      string
	Value    []byte
}
