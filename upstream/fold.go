package upstream

// foldScanner finds folded lines in the head of a response: lines that begin with a blank and continue the value of the field
// before. HTTP/1.1 lets a proxy refuse them, and the parser joins them to that value without a trace.
type foldScanner struct {
	isAtLineStart, isAtEnd, hasFold bool
}

// scan goes on with the next bytes of the connection. It stops at the end of the head.
func (s *foldScanner) scan(data []byte) {
	for _, b := range data {
		switch {
		case s.isAtEnd:
			return
		case !s.isAtLineStart:
			s.isAtLineStart = b == '\n'
		case b == '\n':
			s.isAtEnd = true
		case b != '\r':
			s.isAtLineStart = false
			s.hasFold = s.hasFold || b == ' ' || b == '\t'
		}
	}
}
