package node

import (
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// IncompatibleConfigError says that a configuration can't replace the one in force while the node runs.
type IncompatibleConfigError struct {
	Key string // path of the key that is missing or of another kind
}

func (e *IncompatibleConfigError) Error() string { return e.Key + " is missing or of another kind" }

// optionalKeys are keys that the platform may leave out of one file and not of the next.
var optionalKeys = map[string]bool{"aim-stretch": true, "by-arrival": true, "bound-to": true, "confined-to": true}

// optionalPaths are paths below which anything may come and go.
var optionalPaths = map[string]bool{"known": true, "settings.family-info": true}

// errMaxAttempts says that a changed file has no sound limit of attempts though the one in force has.
var errMaxAttempts = errors.New("settings.limits.max-attempts must be above 0")

// checkCompatible returns an IncompatibleConfigError if the configuration can't replace an old one while the node runs.
//
// It guards against a file that was read while it was written: one that was cut short may still be valid JSON, and
// settings that silently fall back to their zero values would take the node out of service. Whatever the old
// configuration had must be there again, but for what the platform leaves out at times.
func (c Config) checkCompatible(old Config) error {
	if key := missingKey(old.parsedJSON, c.parsedJSON, ""); key != "" {
		return &IncompatibleConfigError{key}
	}
	if c.Settings.MaxAttempts <= 0 && old.Settings.MaxAttempts > 0 {
		return errMaxAttempts
	}
	return nil
}

// missingKey returns the path of something that an old JSON value has and the new one has not: a key, or a value of the
// same kind. Objects in a list must have the keys that all objects of the old list have. "": nothing is missing. path is
// that of the two values.
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

// commonKeys is an object with the keys that all objects of a list have; nil if one of them is no object.
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
