package publication

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"
)

// compressors are reused, since each holds more than half a megabyte.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.DefaultCompression)
	if err != nil {
		panic(fmt.Sprintf("creating a compressor: %v", err)) // only an invalid level fails
	}

	return w
}}

// compress returns the compressed form in which a daemon holds a team file,
// which it only passes on to its peers.
func compress(content []byte) []byte {
	w, _ := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	var b bytes.Buffer
	w.Reset(&b)
	if _, err := w.Write(content); err != nil {
		panic(fmt.Sprintf("compressing a team file: %v", err)) // writing to memory does not fail
	}
	if err := w.Close(); err != nil {
		panic(fmt.Sprintf("compressing a team file: %v", err))
	}

	return bytes.Clone(b.Bytes())
}

func decompress(compressed []byte) []byte {
	content, err := io.ReadAll(flate.NewReader(bytes.NewReader(compressed)))
	if err != nil {
		panic(fmt.Sprintf("decompressing a team file: %v", err)) // written by compress
	}

	return content
}
