package registry

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/wire"
)

// maxSourceBytes bounds the uncompressed text of a configuration.
const maxSourceBytes = 64 << 20

// compress returns the text of a configuration in the gzip form in which it is stored and sent.
func compress(source []byte) ([]byte, error) {
	var out bytes.Buffer
	writer, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "compress the configuration")
	}
	if _, err := writer.Write(source); err != nil {
		return nil, eris.Wrap(err, "compress the configuration")
	}
	if err := writer.Close(); err != nil {
		return nil, eris.Wrap(err, "compress the configuration")
	}
	return out.Bytes(), nil
}

// Source returns the text of a configuration as it was submitted.
func Source(document *wire.RoutingDocument) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(document.Compressed))
	if err != nil {
		return nil, eris.Wrapf(err, "decompress version %d", document.Version)
	}
	source, err := io.ReadAll(io.LimitReader(reader, maxSourceBytes))
	return source, eris.Wrapf(err, "decompress version %d", document.Version)
}
