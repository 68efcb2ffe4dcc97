package auth

import (
	"bufio"
	"bytes"
	"cmp"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"golang.org/x/crypto/argon2"
)

// The cost of a password that is set: the least that is held sound today, as a relay has
// little memory. A file may have others up to the most.
const (
	memoryKB, passes, lanes = 19 << 10, 2, 1
	memoryMost              = 64 << 10
	passesMost, lanesMost   = 10, 4
	saltBytes, hashBytes    = 16, 32

	usersMost = 10_000
)

var encoding = base64.RawStdEncoding

// password is what is kept of one: its argon2id hash in the usual text form (PHC).
type password struct {
	memory, passes uint32
	lanes          uint8
	salt, hash     []byte
}

func (p *password) String() string {
	return fmt.Sprintf("$argon2id$v=%d$m=%d,t=%d,p=%d$%s$%s", argon2.Version, p.memory, p.passes, p.lanes,
		encoding.EncodeToString(p.salt), encoding.EncodeToString(p.hash))
}

func (p *password) matches(text string) bool {
	hash := argon2.IDKey([]byte(text), p.salt, p.passes, p.memory, p.lanes, uint32(len(p.hash)))
	return subtle.ConstantTimeCompare(hash, p.hash) == 1
}

// newPassword hashes a password.
func newPassword(text string) *password {
	p := &password{memory: memoryKB, passes: passes, lanes: lanes, salt: make([]byte, saltBytes)}
	rand.Read(p.salt) // it never fails
	p.hash = argon2.IDKey([]byte(text), p.salt, p.passes, p.memory, p.lanes, hashBytes)
	return p
}

// parsePassword reads the text form.
func parsePassword(text string) (*password, error) {
	parts := strings.Split(text, "$")
	if len(parts) != 6 || parts[0] != "" || parts[1] != "argon2id" {
		return nil, errors.New("expected $argon2id$v=…$m=…,t=…,p=…$SALT$HASH, as lockroad passwd writes it")
	}
	var version int
	p := &password{}
	if _, err := fmt.Sscanf(parts[2], "v=%d", &version); err != nil || version != argon2.Version {
		return nil, fmt.Errorf("%q is not the version of argon2 that is known, v=%d", parts[2], argon2.Version)
	}
	if _, err := fmt.Sscanf(parts[3], "m=%d,t=%d,p=%d", &p.memory, &p.passes, &p.lanes); err != nil {
		return nil, fmt.Errorf("%q: expected m=…,t=…,p=…", parts[3])
	}
	if p.memory < 8 || p.memory > memoryMost || p.passes < 1 || p.passes > passesMost || p.lanes < 1 || p.lanes > lanesMost {
		return nil, fmt.Errorf("%q costs less than nothing, or more than m=%d,t=%d,p=%d", parts[3], memoryMost, passesMost, lanesMost)
	}
	var err1, err2 error
	p.salt, err1 = encoding.DecodeString(parts[4])
	p.hash, err2 = encoding.DecodeString(parts[5])
	if err := cmp.Or(err1, err2); err != nil {
		return nil, err
	}
	if len(p.salt) < 8 || len(p.hash) < 16 || len(p.hash) > 64 {
		return nil, errors.New("the salt or the hash is too short or too long")
	}
	return p, nil
}

// users are those of one file.
type users struct {
	all   map[string]*password
	decoy *password // is looked at for a user that is not there

	// A password that has matched is known again by a code under a key of this process, so that a crowd
	// that comes back after a restart of a server does not wait for its hashes one after another.
	key   [sha256.Size]byte
	mu    sync.Mutex // one password is hashed at a time: each takes memory and a core
	known sync.Map   // name to code
}

// readUsers reads a file of NAME:HASH lines. Empty lines and those that begin with # say nothing.
func readUsers(file string) (*users, error) {
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
	u := &users{all: make(map[string]*password), decoy: &password{memory: memoryKB, passes: passes, lanes: lanes, salt: make([]byte, saltBytes), hash: make([]byte, hashBytes)}}
	rand.Read(u.key[:])
	rand.Read(u.decoy.hash)
	lines := bufio.NewScanner(bytes.NewReader(text))
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || line[0] == '#' {
			continue
		}
		name, hash, _ := strings.Cut(line, ":")
		p, err := parsePassword(hash)
		switch {
		case err != nil:
		case checkName(name) != nil:
			err = checkName(name)
		case u.all[name] != nil:
			err = fmt.Errorf("the user %q is there twice", name)
		case len(u.all) >= usersMost:
			err = fmt.Errorf("more than %d users", usersMost)
		}
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", file, n, err)
		}
		u.all[name] = p
	}
	return u, lines.Err()
}

func checkName(name string) error {
	if name == "" || name == "*" || name == AnonymousUser || len(name) > 128 || strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r == ':' || r == 0x7f }) {
		return fmt.Errorf("%q is no name for a user", name)
	}
	return nil
}

// verify tells whether a password is a user's.
func (u *users) verify(name, text string) bool {
	m := hmac.New(sha256.New, u.key[:])
	fmt.Fprintf(m, "%d %s %s", len(name), name, text)
	code := m.Sum(nil)
	if known, ok := u.known.Load(name); ok && subtle.ConstantTimeCompare(known.([]byte), code) == 1 {
		return true
	}
	p, ok := u.all[name]
	if !ok {
		p = u.decoy
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if !p.matches(text) || !ok {
		return false
	}
	u.known.Store(name, code)
	return true
}

// SetPassword puts a user's password into a file, which it makes if need be; with remove it takes the user out.
// The file is replaced whole.
func SetPassword(file, name, text string, remove bool) error {
	if err := checkName(name); err != nil {
		return err
	}
	if text == "" && !remove {
		return errors.New("an empty password is none")
	}
	old, err := os.ReadFile(file)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	if err == nil {
		if _, err := readUsers(file); err != nil {
			return err
		}
	}
	var lines []string
	if len(old) > 0 {
		lines = strings.Split(strings.TrimRight(string(old), "\n"), "\n")
	}
	at := slices.IndexFunc(lines, func(line string) bool { return strings.HasPrefix(strings.TrimSpace(line), name+":") })
	switch {
	case remove && at < 0:
		return fmt.Errorf("%s has no user %q", file, name)
	case remove:
		lines = slices.Delete(lines, at, at+1)
	case at >= 0:
		lines[at] = name + ":" + newPassword(text).String()
	default:
		lines = append(lines, name+":"+newPassword(text).String())
	}
	f, err := os.CreateTemp(filepath.Dir(file), filepath.Base(file)+".*") // for its owner alone
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(f.Name()) }() // if it was not renamed
	_, err = f.WriteString(strings.Join(append(lines, ""), "\n"))
	if err := errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	return os.Rename(f.Name(), file)
}
