package route

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

const (
	// Added marks an item that only the later configuration has.
	Added = "added"
	// Removed marks an item that only the earlier configuration has.
	Removed = "removed"
	// Changed marks an item that both configurations have, with different fields.
	Changed = "changed"
)

type (
	// Difference is a route, service or organisation, or the limits, that differs between two configurations.
	Difference struct {
		// Item is "route", "service", "organisation" or "limits". Name is empty for the limits.
		Item, Name string
		// Change is Added, Removed or Changed.
		Change string
		// Fields holds the fields that differ if the item was changed.
		Fields []FieldDifference `json:",omitempty"`
	}

	// FieldDifference is a field that differs.
	FieldDifference struct{ Field, Before, After string }
)

// Differences returns what differs between two configurations, by route, service and organisation in the order of their
// names. Keys are secrets, so they are counted and not shown.
func Differences(before, after *Configuration) []Difference {
	list := compareItems("route", before.Routes, after.Routes, func(r Route) string { return r.Name })
	list = append(list, compareItems("service", before.Services, after.Services, func(s Service) string { return s.Name })...)
	list = append(list, compareItems("organisation", before.Organisations, after.Organisations, func(o Organisation) string { return o.Name })...)
	if fields := compareFields(reflect.ValueOf(before.Limits), reflect.ValueOf(after.Limits)); len(fields) > 0 {
		list = append(list, Difference{Item: "limits", Change: Changed, Fields: fields})
	}
	return list
}

// compareItems compares the items of two lists that have the same name. Of several items of one name, the last one counts.
func compareItems[T any](item string, before, after []T, name func(T) string) []Difference {
	held, next := map[string]T{}, map[string]T{}
	var names []string
	for _, v := range before {
		held[name(v)] = v
		names = append(names, name(v))
	}
	for _, v := range after {
		next[name(v)] = v
		names = append(names, name(v))
	}
	slices.Sort(names)
	var list []Difference
	for _, n := range slices.Compact(names) {
		old, wasThere := held[n]
		current, isThere := next[n]
		switch {
		case !wasThere:
			list = append(list, Difference{Item: item, Name: n, Change: Added})
		case !isThere:
			list = append(list, Difference{Item: item, Name: n, Change: Removed})
		default:
			if fields := compareFields(reflect.ValueOf(old), reflect.ValueOf(current)); len(fields) > 0 {
				list = append(list, Difference{Item: item, Name: n, Change: Changed, Fields: fields})
			}
		}
	}
	return list
}

// compareFields compares the fields of two values of one struct type.
func compareFields(before, after reflect.Value) []FieldDifference {
	var list []FieldDifference
	for i := range before.NumField() {
		field := before.Type().Field(i).Name
		old, current := before.Field(i).Interface(), after.Field(i).Interface()
		if reflect.DeepEqual(old, current) {
			continue
		}
		if field == "Keys" {
			list = append(list, compareKeys(old.([]string), current.([]string)))
			continue
		}
		oldEngine, isEngine := old.(*Engine)
		if engine, _ := current.(*Engine); isEngine && oldEngine != nil && engine != nil {
			for _, d := range compareFields(reflect.ValueOf(*oldEngine), reflect.ValueOf(*engine)) {
				d.Field = field + "." + d.Field
				list = append(list, d)
			}
			continue
		}
		list = append(list, FieldDifference{Field: field, Before: shown(old), After: shown(current)})
	}
	return list
}

func compareKeys(before, after []string) FieldDifference {
	kept := 0
	for _, key := range after {
		if slices.Contains(before, key) {
			kept++
		}
	}
	return FieldDifference{
		Field: "Keys", Before: fmt.Sprintf("%d keys", len(before)), After: fmt.Sprintf("%d keys, %d of them new", len(after), len(after)-kept),
	}
}

// shown returns the text of a value. Engines are shown by their fields, not by their address.
func shown(value any) string {
	if e, isEngine := value.(*Engine); isEngine {
		if e == nil {
			return "none"
		}
		return fmt.Sprintf("%+v", *e)
	}
	if list, isList := value.([]string); isList {
		return "[" + strings.Join(list, " ") + "]"
	}
	return fmt.Sprintf("%+v", value)
}
