package settings

import "reflect"

// ChangedNames returns the names of the settings that differ between before and
// after. The name of a bound has the prefix "Bounds.".
func ChangedNames(before, after Settings) []string {
	return changedFields("", reflect.ValueOf(before), reflect.ValueOf(after))
}

// changedFields returns the names of the fields that differ between two structs of
// the same type. It puts prefix before each name.
func changedFields(prefix string, before, after reflect.Value) []string {
	var names []string

	for i := range before.NumField() {
		name := before.Type().Field(i).Name
		beforeField, afterField := before.Field(i), after.Field(i)

		switch {
		case beforeField.Type() == reflect.TypeFor[Bounds]():
			names = append(names, changedFields(name+".", beforeField, afterField)...)
		case !reflect.DeepEqual(beforeField.Interface(), afterField.Interface()):
			names = append(names, prefix+name)
		}
	}

	return names
}
