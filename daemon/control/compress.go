package control

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

// maxDecompressedBytes bounds the size of a decompressed declaration or listing.
const maxDecompressedBytes = 64 << 20

// compressor is the one compressor of a process, nil until it is used. It takes 1.2 MB, too much
// to allocate for each listing.
var compressor struct {
	mu sync.Mutex
	w  *flate.Writer
}

// compress shrinks declarations and listings, whose hundreds of routes or servers are highly
// repetitive.
func compress(data []byte) ([]byte, error) {
	compressor.mu.Lock()
	defer compressor.mu.Unlock()
	if compressor.w == nil {
		w, err := flate.NewWriter(nil, flate.BestSpeed)
		if err != nil {
			return nil, eris.Wrap(err, "compress")
		}
		compressor.w = w
	}
	var out bytes.Buffer
	compressor.w.Reset(&out)
	if _, err := compressor.w.Write(data); err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	if err := compressor.w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	return out.Bytes(), nil
}

func decompress(data []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxDecompressedBytes))
	return out, eris.Wrap(err, "decompress")
}
