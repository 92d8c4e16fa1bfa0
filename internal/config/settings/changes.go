package settings

import "reflect"

// ChangedNames names the settings in which two readings of the file differ.
func ChangedNames(before, after Settings) []string {
	return differences("", reflect.ValueOf(before), reflect.ValueOf(after))
}

func differences(prefix string, before, after reflect.Value) []string {
	var names []string

	for i := range before.NumField() {
		name := before.Type().Field(i).Name
		b, a := before.Field(i), after.Field(i)

		switch {
		case b.Type() == reflect.TypeFor[Bounds]():
			names = append(names, differences(name+".", b, a)...)
		case !reflect.DeepEqual(b.Interface(), a.Interface()):
			names = append(names, prefix+name)
		}
	}

	return names
}
