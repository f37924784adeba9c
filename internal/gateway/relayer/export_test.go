package relayer

// BodyMemory returns the number of bytes that bodies and incomplete events take now.
func (r *Relayer) BodyMemory() int64 {
	return r.bodyBytes.Load()
}
