package document

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// decode.go walks the syntax tree and the Go value together. A struct field has its Go name in the document.
// Its tag `document:"..."` holds comma-separated rules: required, min=N, max=N, and oneof=A|B. In a slice or map, min,
// max and oneof apply to each element and not to the number of elements.

const (
	ruleRequired = "required"
	ruleMin      = "min"
	ruleMax      = "max"
	ruleOneOf    = "oneof"
)

var durationType = reflect.TypeFor[time.Duration]()

// rules maps the names of a field's rules to their arguments.
type rules map[string]string

func rulesOf(field reflect.StructField) rules {
	found := rules{}
	for rule := range strings.SplitSeq(field.Tag.Get("document"), ",") {
		name, argument, _ := strings.Cut(rule, "=")
		if name != "" {
			found[name] = argument
		}
	}
	return found
}

func (d *Document) decodeRoot(root hujson.Value, into any) {
	d.ranges[""] = byteRange{root.StartOffset, root.EndOffset}
	d.decode(root, "", reflect.ValueOf(into).Elem(), rules{})
}

func (d *Document) decode(v hujson.Value, path string, target reflect.Value, r rules) {
	d.ranges[path] = byteRange{v.StartOffset, v.EndOffset}
	if target.Kind() == reflect.Pointer {
		target.Set(reflect.New(target.Type().Elem()))
		target = target.Elem()
	}
	switch target.Kind() {
	case reflect.Struct:
		d.decodeStruct(v, path, target)
	case reflect.Slice:
		d.decodeSlice(v, path, target, r)
	case reflect.Map:
		d.decodeMap(v, path, target, r)
	default:
		d.decodeLiteral(v, path, target, r)
	}
}

func (d *Document) decodeStruct(v hujson.Value, path string, target reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.Add(path, "wrong type", "an object")
		return
	}
	seen := map[string]bool{}
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		inner := joinPath(path, name)
		field, known := target.Type().FieldByName(name)
		if !known || !field.IsExported() {
			d.addUnknown(member, inner, name, target.Type())
			continue
		}
		if seen[name] {
			d.ranges[inner] = byteRange{member.Name.StartOffset, member.Name.EndOffset}
			d.Add(inner, "duplicate field", "one value")
			continue
		}
		seen[name] = true
		d.decode(member.Value, inner, target.FieldByIndex(field.Index), rulesOf(field))
	}
	for i := range target.NumField() {
		field := target.Type().Field(i)
		if _, required := rulesOf(field)[ruleRequired]; required && !seen[field.Name] {
			d.Add(joinPath(path, field.Name), "required field is missing", "")
		}
	}
}

func (d *Document) addUnknown(member hujson.ObjectMember, path, name string, t reflect.Type) {
	var names []string
	for i := range t.NumField() {
		if t.Field(i).IsExported() {
			names = append(names, t.Field(i).Name)
		}
	}
	text := "unknown field"
	if near := Nearest(name, names); near != "" {
		text += fmt.Sprintf("; did you mean %s?", near)
	}
	d.ranges[path] = byteRange{member.Name.StartOffset, member.Name.EndOffset}
	d.Add(path, text, strings.Join(names, ", "))
}

func (d *Document) decodeSlice(v hujson.Value, path string, target reflect.Value, r rules) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.Add(path, "wrong type", "an array")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements)))
	for i, element := range array.Elements {
		d.decode(element, fmt.Sprintf("%s[%d]", path, i), target.Index(i), r)
	}
}

func (d *Document) decodeMap(v hujson.Value, path string, target reflect.Value, r rules) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.Add(path, "wrong type", "an object")
		return
	}
	target.Set(reflect.MakeMap(target.Type()))
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		key := reflect.ValueOf(name)
		inner := joinPath(path, name)
		if target.MapIndex(key).IsValid() {
			d.ranges[inner] = byteRange{member.Name.StartOffset, member.Name.EndOffset}
			d.Add(inner, "duplicate field", "one value")
			continue
		}
		element := reflect.New(target.Type().Elem()).Elem()
		d.decode(member.Value, inner, element, r)
		target.SetMapIndex(key, element)
	}
}

func (d *Document) decodeLiteral(v hujson.Value, path string, target reflect.Value, r rules) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok {
		d.Add(path, "wrong type", typeName(target.Type()))
		return
	}
	if !setLiteral(literal, target) {
		d.Add(path, "wrong type", typeName(target.Type()))
		return
	}
	d.checkRange(path, target, r)
}

// setLiteral stores a literal in the target and reports whether the literal has the target's type.
func setLiteral(literal hujson.Literal, target reflect.Value) bool {
	isString := literal.Kind() == '"'
	text := literal.String()
	if target.Type() == durationType {
		duration, err := time.ParseDuration(text)
		target.SetInt(int64(duration))
		return isString && err == nil
	}
	switch target.Kind() {
	case reflect.String:
		target.SetString(text)
		return isString
	case reflect.Bool:
		target.SetBool(literal.Bool())
		return literal.Kind() == 't' || literal.Kind() == 'f'
	case reflect.Int, reflect.Int32, reflect.Int64:
		n, err := strconv.ParseInt(text, 10, target.Type().Bits())
		target.SetInt(n)
		return !isString && err == nil
	case reflect.Uint32, reflect.Uint64:
		n, err := strconv.ParseUint(text, 10, target.Type().Bits())
		target.SetUint(n)
		return !isString && err == nil
	case reflect.Float64:
		n, err := strconv.ParseFloat(text, 64)
		target.SetFloat(n)
		return !isString && err == nil
	default:
		return false
	}
}

func typeName(t reflect.Type) string {
	if t == durationType {
		return `a duration such as "250ms"`
	}
	switch t.Kind() {
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

func (d *Document) checkRange(path string, target reflect.Value, r rules) {
	if allowed, ok := r[ruleOneOf]; ok {
		d.checkOneOf(path, target.String(), strings.Split(allowed, "|"))
	}
	if least, ok := r[ruleMin]; ok && compare(target, least) < 0 {
		d.Add(path, "value too small", "at least "+least)
	}
	if most, ok := r[ruleMax]; ok && compare(target, most) > 0 {
		d.Add(path, "value too large", "at most "+most)
	}
}

func (d *Document) checkOneOf(path, value string, names []string) {
	for _, name := range names {
		if name == value {
			return
		}
	}
	named := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == "" })
	text := "unknown value"
	if near := Nearest(value, named); near != "" {
		text += fmt.Sprintf("; did you mean %q?", near)
	}
	d.Add(path, text, strings.Join(named, ", "))
}

// compare returns the sign of the difference between a decoded value and a bound from a tag. For a string the bound
// applies to the length.
func compare(target reflect.Value, bound string) int {
	if target.Type() == durationType {
		limit, _ := time.ParseDuration(bound)
		return sign(float64(target.Int()) - float64(limit))
	}
	limit, _ := strconv.ParseFloat(bound, 64)
	switch target.Kind() {
	case reflect.String:
		return sign(float64(target.Len()) - limit)
	case reflect.Float64:
		return sign(target.Float() - limit)
	case reflect.Uint32, reflect.Uint64:
		return sign(float64(target.Uint()) - limit)
	default:
		return sign(float64(target.Int()) - limit)
	}
}

func sign(difference float64) int {
	if difference < 0 {
		return -1
	}
	if difference > 0 {
		return 1
	}
	return 0
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
