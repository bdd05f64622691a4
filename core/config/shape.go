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
	// rootPath is the path of the whole document.
	rootPath = "$"
	// optionalTag marks fields that may be absent.
	optionalTag = "optional"
	// plainName holds the characters of names that need no quotes in a path.
	plainName = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_"
)

// renamed maps names of earlier versions to what they are called now.
var renamed = map[string]string{"customers": "teams", "customer": "team"}

// shape compares the tokens of a document with the types of this package. It
// finds what encoding/json lets pass: names that come twice or in other case,
// null in place of a value, and missing values.
type shape struct {
	dec      *json.Decoder
	problems []Problem
	fields   map[reflect.Type]map[string]reflect.StructField // by JSON name
}

// checkShape returns every problem of the names and types of b, which must be
// valid JSON.
func checkShape(b []byte) []Problem {
	s := &shape{
		dec:    json.NewDecoder(bytes.NewReader(b)),
		fields: make(map[reflect.Type]map[string]reflect.StructField),
	}
	s.dec.UseNumber()
	s.value(reflect.TypeFor[Document](), "")
	return s.problems
}

func (s *shape) add(path string, code Code, detail string) {
	if path == "" {
		path = rootPath
	}
	s.problems = append(s.problems, Problem{Path: path, Code: code, Detail: detail})
}

// next returns the next token. The text was found to be valid JSON before.
func (s *shape) next() json.Token {
	t, err := s.dec.Token()
	if err != nil {
		panic(fmt.Errorf("config: token of valid JSON: %w", err))
	}
	return t
}

// value checks the next value against type t.
func (s *shape) value(t reflect.Type, path string) {
	token := s.next()
	switch {
	case t.Kind() == reflect.Struct && token == json.Delim('{'):
		s.object(t, path)
	case t.Kind() == reflect.Slice && token == json.Delim('['):
		s.array(t.Elem(), path)
	default:
		s.scalar(t, token, path)
	}
}

func (s *shape) object(t reflect.Type, path string) {
	fields := s.fieldsOf(t)
	seen := make(map[string]bool, len(fields))
	for s.dec.More() {
		name, _ := s.next().(string)
		at := join(path, name)
		if seen[name] {
			s.add(at, DuplicateName, "the name stands twice in the same object")
		}
		seen[name] = true
		f, ok := fields[name]
		if !ok {
			s.add(at, UnknownName, unknownDetail(name))
			s.skip(s.next())
			continue
		}
		s.value(f.Type, at)
	}
	s.next()
	for i := range t.NumField() {
		f := t.Field(i)
		if name := jsonName(f); !seen[name] && f.Tag.Get("config") != optionalTag {
			s.add(join(path, name), Missing, "a value is required")
		}
	}
}

// unknownDetail tells what is wrong with a name that isn't defined.
func unknownDetail(name string) string {
	if now, ok := renamed[name]; ok {
		return "no such name is defined here; it is called " + now
	}
	return "no such name is defined here"
}

func (s *shape) array(t reflect.Type, path string) {
	for i := 0; s.dec.More(); i++ {
		s.value(t, path+"["+strconv.Itoa(i)+"]")
	}
	s.next()
}

// scalar checks a token, already read, against type t.
func (s *shape) scalar(t reflect.Type, token json.Token, path string) {
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
		if s.number(t, v, path) {
			return
		}
	}
	s.add(path, WrongType, fmt.Sprintf("%s is given, %s is required", tokenType(token), typeName(t)))
	s.skip(token)
}

// number tells whether v is of type t, apart from its range.
func (s *shape) number(t reflect.Type, v json.Number, path string) bool {
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

// skip passes over the value that begins with token.
func (s *shape) skip(token json.Token) {
	depth := delta(token)
	for depth > 0 {
		depth += delta(s.next())
	}
}

func delta(token json.Token) int {
	switch token {
	case json.Delim('{'), json.Delim('['):
		return 1
	case json.Delim('}'), json.Delim(']'):
		return -1
	default:
		return 0
	}
}

// fieldsOf returns the fields of struct type t by their JSON names.
func (s *shape) fieldsOf(t reflect.Type) map[string]reflect.StructField {
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

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

// join returns the path of a name below path; names that could be taken for
// something else are quoted.
func join(path, name string) string {
	if strings.Trim(name, plainName) != "" || name == "" {
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
