package jsonc

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// maxShownValue bounds the value that a problem repeats, in bytes.
const maxShownValue = 60

// decoder fills a struct from a document. It continues after a fault, which encoding/json does not.
type decoder struct {
	text     []byte
	lines    map[string]int
	problems []Problem
}

// Decode fills out, which points to a struct whose exported fields all have json tags. Fields may
// be structs, slices, maps with string keys, scalars, durations written as "2s" and addresses
// written as IP:port. Unknown keys, keys in another case, keys that are given twice and null are
// problems. Missing and faulty fields keep their value.
func (d *Document) Decode(out any) Decoded {
	decoder := decoder{text: d.text, lines: map[string]int{}}
	decoder.decodeValue(d.path, d.value, reflect.ValueOf(out).Elem())
	return Decoded{Lines: decoder.lines, Problems: decoder.problems}
}

// decodeValue decodes a value by the type of out.
func (d *decoder) decodeValue(path string, in *hujson.Value, out reflect.Value) {
	if path != "" {
		d.lines[path] = d.lineOf(in)
	}
	switch target := out.Addr().Interface().(type) {
	case *time.Duration:
		d.decodeDuration(path, in, target)
	case *netip.AddrPort:
		d.decodeAddress(path, in, target)
	default:
		switch out.Kind() {
		case reflect.Struct:
			d.decodeObject(path, in, out)
		case reflect.Map:
			d.decodeMap(path, in, out)
		case reflect.Slice:
			d.decodeList(path, in, out)
		default:
			d.decodeScalar(path, in, out)
		}
	}
}

// decodeObject decodes an object into a struct.
func (d *decoder) decodeObject(path string, in *hujson.Value, out reflect.Value) {
	object, ok := in.Value.(*hujson.Object)
	if !ok {
		d.addProblem(path, in, "is not an object", "write {...} with the keys "+fieldNames(out.Type()))
		return
	}
	fields := fieldsByName(out)
	seen := map[string]bool{}
	for i := range object.Members {
		member := &object.Members[i]
		name := memberName(member)
		memberPath := JoinPath(path, name)
		field, known := fields[name]
		switch {
		case !known:
			d.addProblem(memberPath, &member.Value, "is not a known key", "remove it or use one of "+fieldNames(out.Type()))
		case seen[name]:
			d.addDuplicate(memberPath, &member.Value)
		default:
			seen[name] = true
			d.decodeValue(memberPath, &member.Value, field)
		}
	}
}

// decodeMap decodes an object into a map. An object replaces the map's default as a whole.
func (d *decoder) decodeMap(path string, in *hujson.Value, out reflect.Value) {
	object, ok := in.Value.(*hujson.Object)
	if !ok {
		d.addProblem(path, in, "is not an object", "write {...} with "+kindName(out.Type().Elem().Kind())+" for each name")
		return
	}
	out.Set(reflect.MakeMap(out.Type()))
	for i := range object.Members {
		member := &object.Members[i]
		name := reflect.ValueOf(memberName(member)).Convert(out.Type().Key())
		memberPath := JoinPath(path, name.String())
		if out.MapIndex(name).IsValid() {
			d.addDuplicate(memberPath, &member.Value)
			continue
		}
		value := reflect.New(out.Type().Elem()).Elem()
		d.decodeValue(memberPath, &member.Value, value)
		out.SetMapIndex(name, value)
	}
}

// decodeList decodes a list into a slice.
func (d *decoder) decodeList(path string, in *hujson.Value, out reflect.Value) {
	array, ok := in.Value.(*hujson.Array)
	if !ok {
		d.addProblem(path, in, "is not a list", "write [...]")
		return
	}
	out.Set(reflect.MakeSlice(out.Type(), len(array.Elements), len(array.Elements)))
	for i := range array.Elements {
		d.decodeValue(elementPath(path, i), &array.Elements[i], out.Index(i))
	}
}

// decodeScalar decodes a string, a number or a boolean.
func (d *decoder) decodeScalar(path string, in *hujson.Value, out reflect.Value) {
	decoded := reflect.New(out.Type())
	// encoding/json would accept null and leave the default in place without an error.
	isNull := in.Value.Kind() == 'n'
	if isNull || json.Unmarshal(minified(in), decoded.Interface()) != nil {
		want := kindName(out.Kind())
		d.addProblem(path, in, "is not "+want, "write "+want+", or remove the key to take the default")
		return
	}
	out.Set(decoded.Elem())
}

// decodeDuration decodes a string such as "500ms".
func (d *decoder) decodeDuration(path string, in *hujson.Value, out *time.Duration) {
	text, ok := stringOf(in)
	parsed, err := time.ParseDuration(text)
	if !ok || err != nil {
		d.addProblem(path, in, "is not a duration", `write a string with a unit, such as "500ms" or "2s"`)
		return
	}
	*out = parsed
}

// decodeAddress decodes a string of the form IP:port.
func (d *decoder) decodeAddress(path string, in *hujson.Value, out *netip.AddrPort) {
	text, ok := stringOf(in)
	parsed, err := netip.ParseAddrPort(text)
	if !ok || err != nil {
		d.addProblem(path, in, "is not an IP address with a port", `write IP:port without a host name, such as "192.0.2.7:7100" or "[2001:db8::7]:7100"`)
		return
	}
	*out = parsed
}

// addDuplicate adds the problem of a key that is given twice.
func (d *decoder) addDuplicate(path string, in *hujson.Value) {
	d.addProblem(path, in, "is given twice", "keep one of the two")
}

// addProblem adds a problem with a value.
func (d *decoder) addProblem(path string, in *hujson.Value, fault, remedy string) {
	d.problems = append(d.problems, Problem{Path: path, Line: d.lineOf(in), Value: shownValue(in), Fault: fault, Remedy: remedy})
}

// lineOf returns the line of a value in the text, from 1.
func (d *decoder) lineOf(in *hujson.Value) int {
	return 1 + bytes.Count(d.text[:in.StartOffset], []byte("\n"))
}

// minified returns a value as JSON without comments and spaces.
func minified(in *hujson.Value) []byte {
	value := in.Clone()
	value.Minimize()
	return value.Pack()
}

// shownValue returns a value as a problem repeats it, cut to maxShownValue.
func shownValue(in *hujson.Value) string {
	text := string(minified(in))
	if len(text) > maxShownValue {
		return strings.ToValidUTF8(text[:maxShownValue], "") + "..."
	}
	return text
}

// stringOf returns the value of a string literal; false for anything else.
func stringOf(in *hujson.Value) (string, bool) {
	literal, ok := in.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		return "", false
	}
	return literal.String(), true
}

// memberName returns the key of a member of an object.
func memberName(member *hujson.ObjectMember) string {
	return member.Name.Value.(hujson.Literal).String()
}

// fieldsByName returns the fields of a struct by their keys.
func fieldsByName(out reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value, out.NumField())
	for i := range out.NumField() {
		fields[fieldName(out.Type().Field(i))] = out.Field(i)
	}
	return fields
}

// fieldNames lists the keys of a struct in alphabetical order.
func fieldNames(t reflect.Type) string {
	names := make([]string, 0, t.NumField())
	for field := range t.Fields() {
		names = append(names, fieldName(field))
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// fieldName returns the key of a field.
func fieldName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

// kindName names the values that a scalar of a kind takes.
func kindName(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}
