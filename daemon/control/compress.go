package control

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/rotisserie/eris"
)

// maxDeclarationBytes bounds the size of a decompressed declaration.
const maxDeclarationBytes = 64 << 20

// compress shrinks declarations, whose hundreds of routes are highly repetitive.
func compress(data []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "compress declaration")
	}
	if _, err := w.Write(data); err != nil {
		return nil, eris.Wrap(err, "compress declaration")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress declaration")
	}
	return out.Bytes(), nil
}

func decompress(data []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxDeclarationBytes))
	return out, eris.Wrap(err, "decompress declaration")
}
