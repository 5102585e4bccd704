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

// stream.go is the sidecar's end of a stream: pieces of one answer, written as they come. It took the place
// of long polls over twirp, which cost a whole exchange per token; docs/DECISIONS.md has the figures.

const (
	// requestLimit is the largest request of a stream, in bytes.
	requestLimit = 80 << 20
	// writeTimeout bounds the writing of one piece.
	writeTimeout = 10 * time.Second
	// loadInterval is the time between two load reports of one stream.
	loadInterval = 100 * time.Millisecond
)

// streamWriter writes the pieces of one stream.
type streamWriter struct {
	server   *Server
	id       *wire.AttemptID
	w        http.ResponseWriter
	control  *http.ResponseController
	buffer   []byte
	hasHead  bool
	loadSent time.Time
}

// ServeHTTP serves one stream.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	request, err := readStreamRequest(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.release(request.Released)
	out := &streamWriter{server: s, w: w, control: http.NewResponseController(w)}
	// The next request on this connection has its own time.
	defer func() { _ = out.control.SetWriteDeadline(time.Time{}) }()
	if start := request.Start; start != nil {
		out.id = shortID(start.Id)
		call, refusal := s.admitStart(start)
		out.follow(r.Context(), call, 0, refusal)
		return
	}
	out.id = shortID(request.Resume.GetId())
	call := s.call(request.Resume.GetId())
	var refusal *outcome.Error
	if call == nil {
		refusal = s.unknownAttempt()
	}
	out.follow(r.Context(), call, request.Resume.GetOffset(), refusal)
}

func readStreamRequest(r *http.Request) (*wire.StreamRequest, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, requestLimit))
	if err != nil {
		return nil, err
	}
	request := &wire.StreamRequest{}
	return request, proto.Unmarshal(data, request)
}

// shortID names an attempt in the pieces of its own stream.
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

// follow writes pieces from the offset on until the answer or the connection ends.
func (o *streamWriter) follow(ctx context.Context, call *admission.Call, offset int64, refusal *outcome.Error) {
	if refusal != nil {
		_ = o.write(&wire.Piece{Offset: offset, Failure: refusal.Failure()})
		return
	}
	for ctx.Err() == nil {
		piece, lost := call.Answer.Read(ctx, offset, WaitLimit)
		if lost != nil {
			_ = o.write(&wire.Piece{Offset: offset, Failure: lost.WithPeer(o.server.settings.Name).Failure()})
			return
		}
		o.server.touch(call)
		if o.write(o.pieceOf(piece)) != nil || piece.End || piece.Failure != nil {
			return
		}
		offset += int64(len(piece.Data))
	}
}

func (o *streamWriter) pieceOf(piece admission.Piece) *wire.Piece {
	sent := &wire.Piece{
		Offset: piece.Offset, Data: piece.Data, End: piece.End, Length: piece.Length, Checksum: piece.Checksum,
	}
	if piece.Failure != nil {
		sent.Failure = piece.Failure.Failure()
	}
	if !o.hasHead && piece.Head.Status != 0 {
		sent.Status, sent.Headers = int32(piece.Head.Status), HeadersToWire(piece.Head.Headers)
		o.hasHead = true
	}
	return sent
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

// sliceWriter appends what is written to a slice.
type sliceWriter []byte

func (w *sliceWriter) Write(data []byte) (int, error) {
	*w = append(*w, data...)
	return len(data), nil
}

// streamReader is the entry's end of a stream.
type streamReader struct {
	body   io.ReadCloser
	reader *bufio.Reader
	cancel context.CancelFunc
	// detach lets the stream outlive the context that it was opened under.
	detach func() bool
	silent *time.Timer
}

// openStream sends the request of a stream. The stream ends when the context ends or nothing has come for
// WaitLimit and SilenceLimit together.
func openStream(ctx context.Context, g *generation, request *wire.StreamRequest) (*streamReader, error) {
	data, err := proto.Marshal(request)
	if err != nil {
		return nil, err
	}
	own, cancel := context.WithCancel(context.WithoutCancel(ctx))
	detach := context.AfterFunc(ctx, cancel)
	silent := time.AfterFunc(WaitLimit+SilenceLimit, cancel)
	response, err := g.post(own, StreamPath, data)
	if err != nil {
		silent.Stop()
		detach()
		cancel()
		return nil, err
	}
	return &streamReader{
		body: response.Body, reader: bufio.NewReader(response.Body), cancel: cancel, detach: detach, silent: silent,
	}, nil
}

func (r *streamReader) next() (*wire.Piece, error) {
	r.silent.Reset(WaitLimit + SilenceLimit)
	piece := &wire.Piece{}
	err := protodelim.UnmarshalOptions{MaxSize: requestLimit}.UnmarshalFrom(r.reader, piece)
	r.silent.Stop()
	return piece, err
}

// close gives up the stream and its connection.
func (r *streamReader) close() {
	r.silent.Stop()
	r.detach()
	r.cancel()
	_ = r.body.Close()
}

// finish reads the end of a stream whose last piece has come, so that its connection can be used again even when
// the context of the attempt ends at once.
func (r *streamReader) finish() {
	r.silent.Reset(SilenceLimit)
	_, _ = io.Copy(io.Discard, r.reader)
	r.close()
}
