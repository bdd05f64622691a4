package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
)

const (
	// rootPath is the path of the document's root.
	rootPath = "$"
	// optionalTag is the value of the config tag on fields that may be absent.
	optionalTag = "optional"
	// unquotedChars are the characters of names that need no quotes in a path.
	unquotedChars = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_"
)

// renamedFields maps field names of earlier versions to their current names.
var renamedFields = map[string]string{"customers": "teams", "customer": "team"}

// schemaChecker compares the tokens of a document with the types of this
// package. It finds errors that encoding/json accepts: duplicate names, names
// that differ in case, null in place of a value, and missing values.
type schemaChecker struct {
	dec      *json.Decoder
	problems []Problem
	fields   map[reflect.Type]map[string]reflect.StructField // by JSON name
}

// checkSchema returns all problems with the names and types in b, which must
// be valid JSON.
func checkSchema(b []byte) []Problem {
	s := &schemaChecker{
		dec:    json.NewDecoder(bytes.NewReader(b)),
		fields: make(map[reflect.Type]map[string]reflect.StructField),
	}
	s.dec.UseNumber()
	s.checkValue(reflect.TypeFor[Document](), "")
	return s.problems
}

func (s *schemaChecker) add(path string, code Code, detail string) {
	if path == "" {
		path = rootPath
	}
	s.problems = append(s.problems, Problem{Path: path, Code: code, Detail: detail})
}

// next returns the next token. It panics on a syntax error, as the text was
// already checked to be valid JSON.
func (s *schemaChecker) next() json.Token {
	t, err := s.dec.Token()
	if err != nil {
		panic(fmt.Errorf("config: token of valid JSON: %w", err))
	}
	return t
}

// checkValue checks the next value against type t.
func (s *schemaChecker) checkValue(t reflect.Type, path string) {
	token := s.next()
	switch {
	case t.Kind() == reflect.Struct && token == json.Delim('{'):
		s.checkObject(t, path)
	case t.Kind() == reflect.Slice && token == json.Delim('['):
		s.checkArray(t.Elem(), path)
	default:
		s.checkScalar(t, token, path)
	}
}

// checkObject checks the rest of an object, whose opening brace was read, against
// struct type t.
func (s *schemaChecker) checkObject(t reflect.Type, path string) {
	fields := s.fieldsOf(t)
	seen := make(map[string]bool, len(fields))
	for s.dec.More() {
		name, _ := s.next().(string)
		fieldPath := joinPath(path, name)
		if seen[name] {
			s.add(fieldPath, DuplicateName, "the name stands twice in the same object")
		}
		seen[name] = true
		f, ok := fields[name]
		if !ok {
			s.add(fieldPath, UnknownName, unknownNameDetail(name))
			s.skip(s.next())
			continue
		}
		s.checkValue(f.Type, fieldPath)
	}
	s.next()
	for i := range t.NumField() {
		f := t.Field(i)
		if name := jsonName(f); !seen[name] && f.Tag.Get("config") != optionalTag {
			s.add(joinPath(path, name), Missing, "a value is required")
		}
	}
}

// unknownNameDetail returns the detail of an UnknownName problem, with the
// current name if the field was renamed.
func unknownNameDetail(name string) string {
	if current, ok := renamedFields[name]; ok {
		return "no such name is defined here; it is called " + current
	}
	return "no such name is defined here"
}

// checkArray checks the rest of an array, whose opening bracket was read, against
// element type t.
func (s *schemaChecker) checkArray(t reflect.Type, path string) {
	for i := 0; s.dec.More(); i++ {
		s.checkValue(t, path+"["+strconv.Itoa(i)+"]")
	}
	s.next()
}

// checkScalar checks a token that was already read against type t.
func (s *schemaChecker) checkScalar(t reflect.Type, token json.Token, path string) {
	switch v := token.(type) {
	case string:
		if t.Kind() == reflect.String {
			return
		}
	case bool:
		if t.Kind() == reflect.Bool {
			return
		}
	case json.Number:
		if s.checkNumber(t, v, path) {
			return
		}
	}
	s.add(path, WrongType, fmt.Sprintf("%s is given, %s is required", tokenType(token), typeName(t)))
	s.skip(token)
}

// checkNumber reports whether v is of type t, and adds a problem if its value is
// out of the type's range.
func (s *schemaChecker) checkNumber(t reflect.Type, v json.Number, path string) bool {
	switch t.Kind() {
	case reflect.Float64:
		if f, err := v.Float64(); err != nil || math.IsInf(f, 0) {
			s.add(path, OutOfRange, fmt.Sprintf("%s is beyond what can be represented", v))
		}
		return true
	case reflect.Int, reflect.Int64:
		if strings.ContainsAny(v.String(), ".eE") {
			return false
		}
		if _, err := v.Int64(); err != nil {
			s.add(path, OutOfRange, fmt.Sprintf("%s is beyond what can be represented", v))
		}
		return true
	default:
		return false
	}
}

// skip skips the value that starts with token.
func (s *schemaChecker) skip(token json.Token) {
	depth := depthChange(token)
	for depth > 0 {
		depth += depthChange(s.next())
	}
}

// depthChange returns the change of nesting depth that token causes.
func depthChange(token json.Token) int {
	switch token {
	case json.Delim('{'), json.Delim('['):
		return 1
	case json.Delim('}'), json.Delim(']'):
		return -1
	default:
		return 0
	}
}

// fieldsOf returns the fields of struct type t by JSON name, cached per type.
func (s *schemaChecker) fieldsOf(t reflect.Type) map[string]reflect.StructField {
	if fields, ok := s.fields[t]; ok {
		return fields
	}
	fields := make(map[string]reflect.StructField, t.NumField())
	for i := range t.NumField() {
		f := t.Field(i)
		fields[jsonName(f)] = f
	}
	s.fields[t] = fields
	return fields
}

// jsonName returns the name of a field in its json tag.
func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

// joinPath appends a name to a path. Names with characters outside of
// unquotedChars, and the empty name, are quoted so that the path is unambiguous.
func joinPath(path, name string) string {
	if strings.Trim(name, unquotedChars) != "" || name == "" {
		name = strconv.Quote(name)
	}
	if path == "" {
		return name
	}
	return path + "." + name
}

func tokenType(token json.Token) string {
	switch v := token.(type) {
	case nil:
		return "null"
	case string:
		return "a string"
	case bool:
		return "a boolean"
	case json.Number:
		return "the number " + v.String()
	case json.Delim:
		if v == '{' {
			return "an object"
		}
		return "an array"
	default:
		return "another value"
	}
}

func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "an array"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "a boolean"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}
