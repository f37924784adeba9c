package storer

// LimitDepth returns JSON with each value below the given depth replaced by null, so that a decoder that limits the depth can decode the
// rest. The outermost value has depth 1. It doesn't check that data is JSON.
func LimitDepth(data []byte, limit int) []byte {
	limited := make([]byte, 0, len(data))
	depth, inText, escaped := 0, false, false

	for _, c := range data {
		opens, closes := !inText && (c == '[' || c == '{'), !inText && (c == ']' || c == '}')

		if opens {
			depth++
			if depth == limit+1 {
				limited = append(limited, "null"...)
			}
		}

		if depth <= limit {
			limited = append(limited, c)
		}

		if closes {
			depth--
		}

		inText, escaped = inText != (c == '"' && !escaped), inText && c == '\\' && !escaped
	}

	return limited
}
