package peers

import (
	"encoding/base64"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/hashicorp/memberlist"
)

// maxKeys is the largest number of keys that may be valid at the same time.
const maxKeys = 8

// KeyError means that a key file can't be used. Its text describes the required format.
type KeyError struct {
	File string
	Err  error
}

func (e *KeyError) Error() string {
	return fmt.Sprintf("key file %s: %v: expected one base64 key of 16, 24 or 32 bytes per line, the encryption key first; keys loaded before remain in use", e.File, e.Err)
}

// Unwrap returns why the key file can't be used.
func (e *KeyError) Unwrap() error { return e.Err }

// ReadKeys reads a key file. The first key encrypts; all of them decrypt.
func ReadKeys(file string) (keys [][]byte, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &KeyError{file, err}
	}
	for n, line := range strings.Split(string(text), "\n") {
		if line = strings.TrimSpace(line); line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		key, err := base64.StdEncoding.DecodeString(line)
		if err == nil {
			err = memberlist.ValidateKey(key)
		}
		if err != nil {
			return nil, &KeyError{file, fmt.Errorf("line %d: %w", n+1, err)}
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 || len(keys) > maxKeys {
		return nil, &KeyError{file, fmt.Errorf("found %d keys, want 1 to %d", len(keys), maxKeys)}
	}
	return keys, nil
}

// ReloadKeys reads the key file again. Its keys replace the current ones immediately. If it returns an error, of type
// *KeyError, the current keys remain valid.
func (c *Cluster) ReloadKeys() error {
	keys, err := ReadKeys(c.cfg.KeyFile)
	if err != nil {
		return err
	}
	for _, key := range keys {
		if err := c.keyring.AddKey(key); err != nil {
			return &KeyError{c.cfg.KeyFile, err}
		}
	}
	if err := c.keyring.UseKey(keys[0]); err != nil {
		return &KeyError{c.cfg.KeyFile, err}
	}
	for _, old := range c.keyring.GetKeys() {
		if !slices.ContainsFunc(keys, func(key []byte) bool { return slices.Equal(key, old) }) {
			c.keyring.RemoveKey(old)
		}
	}
	return nil
}
