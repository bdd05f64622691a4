package configsync

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"

	"guavapaddle/core/config"
)

// pack returns a canonical body in the form used in the object store and between
// peers. It is compressed, as the body of a large deployment is sent to hundreds
// of nodes hundreds of times a day.
func pack(body []byte) []byte {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err == nil {
		_, err = w.Write(body)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		panic(fmt.Errorf("configsync: writing to memory: %w", err))
	}
	return b.Bytes()
}

// unpack returns the canonical body from its packed form and verifies its hash.
// The error is a *BodyError or a *HashError.
func unpack(packed []byte, hash string) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, &BodyError{Err: err}
	}
	body, err := io.ReadAll(io.LimitReader(r, config.MaxDocumentBytes+1))
	if err != nil {
		return nil, &BodyError{Err: err}
	}
	if got := config.HashBytes(body); got != hash {
		return nil, &HashError{Want: hash, Got: got}
	}
	return body, nil
}
