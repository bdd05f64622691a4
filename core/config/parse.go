package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"unicode/utf8"
)

// MaxDocumentBytes bounds a document: 32 MiB, above thirty times what 1,200
// models, 10,000 teams and 600 engines take.
const MaxDocumentBytes = 32 << 20

// Parse reads a document. It refuses text that is not one JSON object, names
// that are not defined or come twice, values of the wrong type, and missing
// values that have no default; it fills in the defaults. It doesn't check what
// the values mean: see Validate. The error is an *InvalidError with every
// problem found.
func Parse(b []byte) (*Document, error) {
	if p, bad := checkSyntax(b); bad {
		return nil, &InvalidError{Problems: []Problem{p}}
	}
	if problems := checkShape(b); len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	doc := Document{Limits: DefaultLimits(), Placement: DefaultPlacement()}
	if err := json.Unmarshal(b, &doc); err != nil {
		return nil, &InvalidError{Problems: []Problem{{Path: rootPath, Code: WrongType, Detail: err.Error()}}}
	}
	return &doc, nil
}

// Load reads a document as Parse does and refuses one in which Validate finds
// problems.
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

// checkSyntax returns a problem if b is not one JSON value in valid UTF-8.
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

// position returns the line and column, from one, of the byte before offset.
func position(b []byte, offset int64) (line, column int) {
	before := b[:min(max(offset-1, 0), int64(len(b)))]
	line = 1 + bytes.Count(before, []byte{'\n'})
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}
