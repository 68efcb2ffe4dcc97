package auth

import (
	"bufio"
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
)

const (
	maxUsers         = 10_000
	maxUserNameBytes = 128
)

// userFile is the content of a password file. Its method verify is safe for concurrent use.
type userFile struct {
	hashes    map[string]*passwordHash // by user name
	dummyHash *passwordHash            // used for unknown users, so that verify takes as long for them

	// verified caches matches: it maps a user name to the HMAC, a []byte, of the password that has
	// matched, with cacheKey as its key. Otherwise clients that reconnect together would wait for
	// their hashes one after another.
	cacheKey [sha256.Size]byte
	hashMu   sync.Mutex // held while a password is hashed, which takes much memory and processor time
	verified sync.Map
}

// readUserFile reads a file of NAME:HASH lines. It skips empty lines and those that begin with #.
// Errors in a line include the file and the number of the line.
func readUserFile(file string) (*userFile, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, err
	}
	if info.Mode().Perm()&0o007 != 0 {
		return nil, fmt.Errorf("%s is accessible to all users: run chmod 600 on it", file)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	users := newUserFile()
	lines := bufio.NewScanner(bytes.NewReader(text))
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || line[0] == '#' {
			continue
		}
		if err := users.addLine(line); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", file, number, err)
		}
	}
	return users, lines.Err()
}

// newUserFile returns a userFile without users.
func newUserFile() *userFile {
	dummy := &passwordHash{
		memory: hashMemoryKiB, passes: hashPasses, lanes: hashLanes,
		salt: make([]byte, saltBytes), hash: make([]byte, hashBytes),
	}
	users := &userFile{hashes: make(map[string]*passwordHash), dummyHash: dummy}
	rand.Read(users.cacheKey[:])
	rand.Read(users.dummyHash.hash)
	return users
}

// addLine adds the user in a NAME:HASH line.
func (u *userFile) addLine(line string) error {
	name, text, _ := strings.Cut(line, ":")
	hash, err := parsePasswordHash(text)
	if err != nil {
		return err
	}
	if err := checkUserName(name); err != nil {
		return err
	}
	if u.hashes[name] != nil {
		return fmt.Errorf("duplicate user %q", name)
	}
	if len(u.hashes) >= maxUsers {
		return fmt.Errorf("too many users: the maximum is %d", maxUsers)
	}
	u.hashes[name] = hash
	return nil
}

// checkUserName returns an error if a password file can't contain the name, or if the name has a
// special meaning in grants.
func checkUserName(name string) error {
	forbidden := func(r rune) bool { return r <= ' ' || r == ':' || r == 0x7f }
	if name == "" || name == "*" || name == AnonymousUser || len(name) > maxUserNameBytes || strings.ContainsFunc(name, forbidden) {
		return fmt.Errorf("invalid user name %q: expected 1 to %d bytes without spaces, control characters or colons, and neither * nor %s",
			name, maxUserNameBytes, AnonymousUser)
	}
	return nil
}

// verify reports whether a user has the password.
func (u *userFile) verify(name, password string) bool {
	mac := hmac.New(sha256.New, u.cacheKey[:])
	fmt.Fprintf(mac, "%d %s %s", len(name), name, password)
	code := mac.Sum(nil)
	if known, ok := u.verified.Load(name); ok && subtle.ConstantTimeCompare(known.([]byte), code) == 1 {
		return true
	}
	hash, ok := u.hashes[name]
	if !ok {
		hash = u.dummyHash
	}
	u.hashMu.Lock()
	defer u.hashMu.Unlock()
	if !hash.matches(password) || !ok {
		return false
	}
	u.verified.Store(name, code)
	return true
}

// SetPassword sets a user's password in a password file, which it creates if it does not exist, or
// removes the user if remove is true. It replaces the file atomically; after an error the file is
// unchanged.
func SetPassword(file, name, password string, remove bool) error {
	if err := checkUserName(name); err != nil {
		return err
	}
	if password == "" && !remove {
		return errors.New("password is empty")
	}
	previous, err := os.ReadFile(file)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	if err == nil {
		if _, err := readUserFile(file); err != nil {
			return err
		}
	}
	var lines []string
	if len(previous) > 0 {
		lines = strings.Split(strings.TrimRight(string(previous), "\n"), "\n")
	}
	index := slices.IndexFunc(lines, func(line string) bool { return strings.HasPrefix(strings.TrimSpace(line), name+":") })
	switch {
	case remove && index < 0:
		return fmt.Errorf("%s has no user %q", file, name)
	case remove:
		lines = slices.Delete(lines, index, index+1)
	case index >= 0:
		lines[index] = name + ":" + hashPassword(password).String()
	default:
		lines = append(lines, name+":"+hashPassword(password).String())
	}
	return replaceFile(file, strings.Join(append(lines, ""), "\n"))
}

// replaceFile atomically replaces a file by one with the given text that only its owner may access.
func replaceFile(file, text string) error {
	temporary, err := os.CreateTemp(filepath.Dir(file), filepath.Base(file)+".*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(temporary.Name()) }() // does nothing after the rename
	_, err = temporary.WriteString(text)
	if err := errors.Join(err, temporary.Sync(), temporary.Close()); err != nil {
		return err
	}
	return os.Rename(temporary.Name(), file)
}
