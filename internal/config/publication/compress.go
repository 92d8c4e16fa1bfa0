package publication

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"
)

// compressors reuses flate writers because each uses more than half a megabyte of
// memory.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.DefaultCompression)
	if err != nil {
		panic(fmt.Sprintf("create compressor: %v", err)) // fails only for an invalid level
	}

	return w
}}

// compress returns the team file content in the DEFLATE format. Daemons keep team
// files compressed because they need the content only to serve it to peers.
func compress(content []byte) []byte {
	w, _ := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	var compressed bytes.Buffer
	w.Reset(&compressed)
	if _, err := w.Write(content); err != nil {
		panic(fmt.Sprintf("compress team file: %v", err)) // a bytes.Buffer accepts every write
	}
	if err := w.Close(); err != nil {
		panic(fmt.Sprintf("compress team file: %v", err))
	}

	return bytes.Clone(compressed.Bytes())
}

// decompress returns the team file content that was passed to compress.
func decompress(compressed []byte) []byte {
	content, err := io.ReadAll(flate.NewReader(bytes.NewReader(compressed)))
	if err != nil {
		panic(fmt.Sprintf("decompress team file: %v", err)) // the input always comes from compress
	}

	return content
}
