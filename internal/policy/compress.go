package policy

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
)

// compress compresses an encoded configuration. It prefers speed, since other daemons wait for it.
func compress(value []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("create compressor: %w", err)
	}
	if _, err := w.Write(value); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	return bytes.Clone(out.Bytes()), nil
}

// decompress reverses compress. It refuses more than the largest value of the store.
func decompress(encoded []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(encoded))
	value, err := io.ReadAll(io.LimitReader(r, platform.MaxValueBytes+1))
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	if len(value) > platform.MaxValueBytes {
		return nil, fmt.Errorf("decompress: %w", platform.ErrTooLarge)
	}
	return value, nil
}
