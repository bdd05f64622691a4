package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"unicode/utf8"
)

// MaxDocumentBytes is the maximum size of a document, 32 MiB. That is more than
// thirty times the size of a document with 1,200 models, 10,000 teams and 600
// engines.
const MaxDocumentBytes = 32 << 20

// Parse reads a document and fills in the defaults. It rejects text that is not
// exactly one JSON object, unknown and duplicate names, values of the wrong
// type, and missing values that have no default. It doesn't check the meaning
// of the values; Validate does. The error is an *InvalidError that lists every
// problem found.
func Parse(b []byte) (*Document, error) {
	if p, bad := checkSyntax(b); bad {
		return nil, &InvalidError{Problems: []Problem{p}}
	}
	if problems := checkSchema(b); len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	doc := Document{Limits: DefaultLimits(), Placement: DefaultPlacement()}
	if err := json.Unmarshal(b, &doc); err != nil {
		return nil, &InvalidError{Problems: []Problem{{Path: rootPath, Code: WrongType, Detail: err.Error()}}}
	}
	return &doc, nil
}

// Load parses a document and returns an *InvalidError if Parse or Validate finds
// a problem.
func Load(b []byte) (*Document, error) {
	doc, err := Parse(b)
	if err != nil {
		return nil, err
	}
	if problems := doc.Validate(); len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	return doc, nil
}

// checkSyntax reports a problem if b is too large or is not exactly one JSON
// value in valid UTF-8.
func checkSyntax(b []byte) (Problem, bool) {
	if len(b) > MaxDocumentBytes {
		return Problem{Path: rootPath, Code: DocumentTooLarge, Detail: fmt.Sprintf("%d bytes, at most %d are allowed", len(b), MaxDocumentBytes)}, true
	}
	if !utf8.Valid(b) {
		return Problem{Path: rootPath, Code: Syntax, Detail: "the text is not valid UTF-8"}, true
	}
	var raw json.RawMessage
	err := json.Unmarshal(b, &raw)
	if err == nil {
		return Problem{}, false
	}
	detail := err.Error()
	if s, ok := errors.AsType[*json.SyntaxError](err); ok {
		line, column := position(b, s.Offset)
		detail = fmt.Sprintf("line %d, column %d: %s", line, column, s.Error())
	}
	return Problem{Path: rootPath, Code: Syntax, Detail: detail}, true
}

// position returns the line and column, both counted from one, of the byte
// before offset.
func position(b []byte, offset int64) (line, column int) {
	prefix := b[:min(max(offset-1, 0), int64(len(b)))]
	line = 1 + bytes.Count(prefix, []byte{'\n'})
	column = len(prefix) - bytes.LastIndexByte(prefix, '\n')
	return line, column
}
