package node

import (
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// IncompatibleConfigError says that a configuration can't replace the current one while the node runs.
type IncompatibleConfigError struct {
	Key string // path of the key that is missing, or has a value of another JSON type
}

func (e *IncompatibleConfigError) Error() string { return e.Key + " is missing or of another type" }

// optionalKeys are keys that a new file may lack although the old one has them.
var optionalKeys = map[string]bool{"aim-stretch": true, "by-arrival": true, "bound-to": true, "confined-to": true}

// optionalPaths are paths whose values are not compared at all.
var optionalPaths = map[string]bool{"known": true, "settings.family-info": true}

// errMaxAttempts says that a new configuration has no valid limit on attempts although the current one has.
var errMaxAttempts = errors.New("settings.limits.max-attempts must be above 0")

// checkCompatible returns an error if the configuration can't replace an old one while the node runs.
//
// It protects against a file that is read while it is written. A truncated file may still be valid JSON, and settings
// that silently fall back to their zero values would make the node unusable. Therefore every key of the old
// configuration has to be present in the new one, except for those that the platform may omit (optionalKeys,
// optionalPaths).
func (c Config) checkCompatible(old Config) error {
	if key := missingKey(old.parsedJSON, c.parsedJSON, ""); key != "" {
		return &IncompatibleConfigError{key}
	}
	if c.Settings.MaxAttempts <= 0 && old.Settings.MaxAttempts > 0 {
		return errMaxAttempts
	}
	return nil
}

// missingKey compares two JSON values at a path. It returns the path of a key that the new value lacks, or of a value
// that has changed its type; "" if there is none. Each object in a new list must have the keys that all objects of the
// old list have.
func missingKey(old, updated any, path string) string {
	switch old := old.(type) {
	case map[string]any:
		object, ok := updated.(map[string]any)
		if !ok {
			return path
		}
		return missingInObject(old, object, path)
	case []any:
		list, ok := updated.([]any)
		if !ok {
			return path
		}
		for i, value := range list {
			if missing := missingKey(commonKeys(old), value, fmt.Sprintf("%s[%d]", path, i)); missing != "" {
				return missing
			}
		}
	case nil:
	default:
		if reflect.TypeOf(old) != reflect.TypeOf(updated) {
			return path
		}
	}
	return ""
}

func missingInObject(old, updated map[string]any, path string) string {
	for _, key := range slices.Sorted(maps.Keys(old)) {
		keyPath := strings.TrimPrefix(path+"."+key, ".")
		if optionalPaths[keyPath] || optionalKeys[key] {
			continue
		}
		if missing := missingKey(old[key], updated[key], keyPath); missing != "" {
			return missing
		}
	}
	return ""
}

// commonKeys returns an object with the keys that all objects of a list have; nil if an element is not an object.
func commonKeys(list []any) any {
	var common map[string]any
	for i, value := range list {
		object, ok := value.(map[string]any)
		if !ok {
			return nil
		}
		if i == 0 {
			common = maps.Clone(object)
		}
		maps.DeleteFunc(common, func(key string, _ any) bool {
			_, has := object[key]
			return !has
		})
	}
	if common == nil {
		return nil
	}
	return common
}
