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

// userFile is the content of a password file. Any goroutine may call verify.
type userFile struct {
	hashes map[string]*passwordHash // by user
	decoy  *passwordHash            // is compared for a user that is not there, so that the answer takes as long

	// cacheKey is the key of the codes in verified. A password that has matched is recognized by
	// its code, so that many clients that return after an endpoint's restart do not wait for
	// their hashes one after another.
	cacheKey [sha256.Size]byte
	hashMu   sync.Mutex // held while a password is hashed, which takes memory and a core
	verified sync.Map   // user to the code of the password that has matched, a []byte
}

// readUserFile reads a file of NAME:HASH lines. Empty lines and those that begin with # are
// skipped. Its errors name the file and the line.
func readUserFile(file string) (*userFile, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, err
	}
	if info.Mode().Perm()&0o007 != 0 {
		return nil, fmt.Errorf("%s may be read or written by everyone: chmod 600 it", file)
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

func newUserFile() *userFile {
	decoy := &passwordHash{
		memory: memoryKiB, passes: passes, lanes: lanes,
		salt: make([]byte, saltBytes), hash: make([]byte, hashBytes),
	}
	users := &userFile{hashes: make(map[string]*passwordHash), decoy: decoy}
	rand.Read(users.cacheKey[:])
	rand.Read(users.decoy.hash)
	return users
}

// addLine adds the user of a NAME:HASH line.
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
		return fmt.Errorf("the user %q is there twice", name)
	}
	if len(u.hashes) >= maxUsers {
		return fmt.Errorf("more than %d users", maxUsers)
	}
	u.hashes[name] = hash
	return nil
}

// checkUserName returns an error for a name that a password file can't hold or that grants
// give a meaning of its own.
func checkUserName(name string) error {
	forbidden := func(r rune) bool { return r <= ' ' || r == ':' || r == 0x7f }
	if name == "" || name == "*" || name == AnonymousUser || len(name) > maxUserNameBytes || strings.ContainsFunc(name, forbidden) {
		return fmt.Errorf("%q is no name for a user", name)
	}
	return nil
}

// verify reports whether a password is the user's.
func (u *userFile) verify(name, text string) bool {
	mac := hmac.New(sha256.New, u.cacheKey[:])
	fmt.Fprintf(mac, "%d %s %s", len(name), name, text)
	code := mac.Sum(nil)
	if known, ok := u.verified.Load(name); ok && subtle.ConstantTimeCompare(known.([]byte), code) == 1 {
		return true
	}
	hash, ok := u.hashes[name]
	if !ok {
		hash = u.decoy
	}
	u.hashMu.Lock()
	defer u.hashMu.Unlock()
	if !hash.matches(text) || !ok {
		return false
	}
	u.verified.Store(name, code)
	return true
}

// SetPassword sets a user's password in a password file, which it creates if need be; with
// remove it removes the user. The file is replaced at once, and left as it is after an error.
func SetPassword(file, name, text string, remove bool) error {
	if err := checkUserName(name); err != nil {
		return err
	}
	if text == "" && !remove {
		return errors.New("an empty password is none")
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
	at := slices.IndexFunc(lines, func(line string) bool { return strings.HasPrefix(strings.TrimSpace(line), name+":") })
	switch {
	case remove && at < 0:
		return fmt.Errorf("%s has no user %q", file, name)
	case remove:
		lines = slices.Delete(lines, at, at+1)
	case at >= 0:
		lines[at] = name + ":" + hashPassword(text).String()
	default:
		lines = append(lines, name+":"+hashPassword(text).String())
	}
	return replaceFile(file, strings.Join(append(lines, ""), "\n"))
}

// replaceFile replaces a file at once by one that only its owner may read.
func replaceFile(file, text string) error {
	temporary, err := os.CreateTemp(filepath.Dir(file), filepath.Base(file)+".*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(temporary.Name()) }() // if it was not renamed
	_, err = temporary.WriteString(text)
	if err := errors.Join(err, temporary.Sync(), temporary.Close()); err != nil {
		return err
	}
	return os.Rename(temporary.Name(), file)
}
