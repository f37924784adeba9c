package balancer

const (
	// cacheFraction is the fraction of an engine's memory that holds cached prompt parts while requests run.
	cacheFraction = 0.8
	// maxCachedParts limits the prompt parts tracked for one server. With parts of 250 tokens it exceeds any cache.
	maxCachedParts = 4096
)

// uncachedTokens returns the number of prompt tokens that the server would have to read. A cached part can
// be used only if all parts before it are cached.
func (s *server) uncachedTokens(request *Request) int {
	missing := request.PromptTokens

	for _, part := range request.PromptParts {
		if !s.cachedParts.Contains(part.ID) {
			break
		}

		missing -= part.Tokens
	}

	return max(missing, 1)
}

// prefillTokens returns the number of prompt tokens that the server must read for the request. A call of a plain service counts as 1.
func (s *server) prefillTokens(request *Request) float64 {
	if s.engine.CacheTokens == 0 {
		return 1
	}

	return float64(s.uncachedTokens(request))
}

// addToCache records that the server caches the parts of a prompt.
func (s *server) addToCache(request *Request) {
	for _, part := range request.PromptParts {
		if !s.cachedParts.Contains(part.ID) {
			s.cachedTokens += part.Tokens
		}

		s.cachedParts.Add(part.ID, part.Tokens)
	}

	limit := int(cacheFraction * float64(s.engine.CacheTokens))
	for s.cachedTokens > limit && s.cachedParts.Len() > 0 {
		s.cachedParts.RemoveOldest()
	}
}
