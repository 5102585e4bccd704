package sidecar

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/admission"
	"guavahitch.example/guavahitch/outcome"
	"guavahitch.example/guavahitch/wire"
)

// stream.go holds both ends of a stream, which carries the pieces of one answer as they arrive. Streams are used
// instead of long polls over twirp, because a long poll costs a whole HTTP exchange per token; docs/DECISIONS.md has
// the figures.

const (
	// maxMessageBytes is the maximum size of a stream's request and of one piece.
	maxMessageBytes = 80 << 20
	// writeTimeout bounds the write of one piece.
	writeTimeout = 10 * time.Second
	// loadInterval is the minimum time between two load reports on one stream.
	loadInterval = 100 * time.Millisecond
)

// streamWriter is the sidecar's end of one stream.
type streamWriter struct {
	server   *Server
	id       *wire.AttemptID
	w        http.ResponseWriter
	control  *http.ResponseController
	buffer   []byte
	hasHead  bool
	loadSent time.Time
}

// ServeHTTP serves one stream: it starts or resumes the requested attempt and writes the pieces of its answer.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	request, err := readStreamRequest(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.release(request.Released)
	out := &streamWriter{server: s, w: w, control: http.NewResponseController(w)}
	// The write deadline must not apply to the next request on this connection.
	defer func() { _ = out.control.SetWriteDeadline(time.Time{}) }()
	if start := request.Start; start != nil {
		out.id = shortID(start.Id)
		call, refusal := s.admitStart(start)
		out.writeAnswer(r.Context(), call, 0, refusal)
		return
	}
	out.id = shortID(request.Resume.GetId())
	call := s.call(request.Resume.GetId())
	var refusal *outcome.Error
	if call == nil {
		refusal = s.unknownAttempt()
	}
	out.writeAnswer(r.Context(), call, request.Resume.GetOffset(), refusal)
}

func readStreamRequest(r *http.Request) (*wire.StreamRequest, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxMessageBytes))
	if err != nil {
		return nil, err
	}
	request := &wire.StreamRequest{}
	return request, proto.Unmarshal(data, request)
}

// shortID returns the part of the ID that identifies an attempt on the link to its sidecar.
func shortID(id *wire.AttemptID) *wire.AttemptID {
	return &wire.AttemptID{Request: id.GetRequest(), Attempt: id.GetAttempt()}
}

func (s *Server) admitStart(start *wire.StartRequest) (*admission.Call, *outcome.Error) {
	s.mutex.Lock()
	call, refusal := s.admit(start)
	s.mutex.Unlock()
	if refusal != nil {
		s.settings.Scope.Tagged(map[string]string{"reason": refusal.Reason}).Counter("refused").Inc(1)
	}
	return call, refusal
}

func (s *Server) call(id *wire.AttemptID) *admission.Call {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.gate.Call(idOf(id))
}

// writeAnswer writes the pieces of the answer from the offset until the answer or the connection ends. Given a
// refusal, it writes only that.
func (o *streamWriter) writeAnswer(ctx context.Context, call *admission.Call, offset int64, refusal *outcome.Error) {
	if refusal != nil {
		_ = o.write(&wire.Piece{Offset: offset, Failure: refusal.Failure()})
		return
	}
	for ctx.Err() == nil {
		piece, readFailure := call.Answer.Read(ctx, offset, MaxPieceInterval)
		if readFailure != nil {
			_ = o.write(&wire.Piece{Offset: offset, Failure: readFailure.WithPeer(o.server.settings.Name).Failure()})
			return
		}
		o.server.recordFetch(call)
		if o.write(o.pieceOf(piece)) != nil || piece.End || piece.Failure != nil {
			return
		}
		offset += int64(len(piece.Data))
	}
}

func (o *streamWriter) pieceOf(piece admission.Piece) *wire.Piece {
	message := &wire.Piece{
		Offset: piece.Offset, Data: piece.Data, End: piece.End, Length: piece.Length, Checksum: piece.Checksum,
	}
	if piece.Failure != nil {
		message.Failure = piece.Failure.Failure()
	}
	if !o.hasHead && piece.Head.Status != 0 {
		message.Status, message.Headers = int32(piece.Head.Status), HeadersToWire(piece.Head.Headers)
		o.hasHead = true
	}
	return message
}

func (o *streamWriter) write(piece *wire.Piece) error {
	piece.Id = o.id
	piece.Epoch = o.server.Epoch()
	now := time.Now()
	if now.Sub(o.loadSent) >= loadInterval {
		piece.Load = o.server.Load()
		o.loadSent = now
	}
	_ = o.control.SetWriteDeadline(now.Add(writeTimeout))
	o.buffer = o.buffer[:0]
	if _, err := protodelim.MarshalTo((*sliceWriter)(&o.buffer), piece); err != nil {
		return err
	}
	if _, err := o.w.Write(o.buffer); err != nil {
		return err
	}
	return o.control.Flush()
}

// sliceWriter is an io.Writer that appends to a slice.
type sliceWriter []byte

func (w *sliceWriter) Write(data []byte) (int, error) {
	*w = append(*w, data...)
	return len(data), nil
}

// streamReader is the entry's end of one stream.
type streamReader struct {
	body   io.ReadCloser
	reader *bufio.Reader
	cancel context.CancelFunc
	// detach lets the stream outlive the context that it was opened with.
	detach    func() bool
	idleTimer *time.Timer
}

// openStream sends the request of a stream. The stream is cancelled when the context ends or when no piece has arrived
// for MaxPieceInterval plus ResponseGrace.
func openStream(ctx context.Context, g *generation, request *wire.StreamRequest) (*streamReader, error) {
	data, err := proto.Marshal(request)
	if err != nil {
		return nil, err
	}
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	detach := context.AfterFunc(ctx, cancel)
	idleTimer := time.AfterFunc(MaxPieceInterval+ResponseGrace, cancel)
	response, err := g.post(streamCtx, StreamPath, data)
	if err != nil {
		idleTimer.Stop()
		detach()
		cancel()
		return nil, err
	}
	return &streamReader{
		body: response.Body, reader: bufio.NewReader(response.Body), cancel: cancel, detach: detach, idleTimer: idleTimer,
	}, nil
}

func (r *streamReader) next() (*wire.Piece, error) {
	r.idleTimer.Reset(MaxPieceInterval + ResponseGrace)
	piece := &wire.Piece{}
	err := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}.UnmarshalFrom(r.reader, piece)
	r.idleTimer.Stop()
	return piece, err
}

// close cancels the stream. Unless its response has been read to the end, this also closes its connection.
func (r *streamReader) close() {
	r.idleTimer.Stop()
	r.detach()
	r.cancel()
	_ = r.body.Close()
}

// finish reads the rest of a stream whose last piece has arrived, so that its connection can be reused even when the
// context of the attempt ends at once.
func (r *streamReader) finish() {
	r.idleTimer.Reset(ResponseGrace)
	_, _ = io.Copy(io.Discard, r.reader)
	r.close()
}
