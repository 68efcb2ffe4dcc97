package auth

import (
	"cmp"
	"crypto/rand"
	"crypto/subtle"
	"encoding/base64"
	"errors"
	"fmt"
	"strings"

	"golang.org/x/crypto/argon2"
)

// The argon2id cost of a password that is set: the least that is considered safe today, as a
// relay has little memory.
const (
	memoryKiB = 19 << 10
	passes    = 2
	lanes     = 1
	saltBytes = 16
	hashBytes = 32
)

// The bounds of the cost in a password file that another program has written.
const (
	minMemoryKiB, maxMemoryKiB = 8, 64 << 10
	maxPasses                  = 10
	maxLanes                   = 4
	minSaltBytes               = 8
	minHashBytes, maxHashBytes = 16, 64
)

var base64Encoding = base64.RawStdEncoding

// passwordHash is the argon2id hash of a password.
type passwordHash struct {
	memory     uint32 // KiB
	passes     uint32
	lanes      uint8
	salt, hash []byte
}

// String returns the PHC string format.
func (p *passwordHash) String() string {
	return fmt.Sprintf("$argon2id$v=%d$m=%d,t=%d,p=%d$%s$%s", argon2.Version, p.memory, p.passes, p.lanes,
		base64Encoding.EncodeToString(p.salt), base64Encoding.EncodeToString(p.hash))
}

// matches reports whether text is the password, in a time that does not depend on the answer.
func (p *passwordHash) matches(text string) bool {
	hash := argon2.IDKey([]byte(text), p.salt, p.passes, p.memory, p.lanes, uint32(len(p.hash)))
	return subtle.ConstantTimeCompare(hash, p.hash) == 1
}

// hashPassword hashes a password with a new salt.
func hashPassword(text string) *passwordHash {
	p := &passwordHash{memory: memoryKiB, passes: passes, lanes: lanes, salt: make([]byte, saltBytes)}
	rand.Read(p.salt) // it never fails
	p.hash = argon2.IDKey([]byte(text), p.salt, p.passes, p.memory, p.lanes, hashBytes)
	return p
}

// parsePasswordHash parses the PHC string format, and rejects costs out of bounds.
func parsePasswordHash(text string) (*passwordHash, error) {
	parts := strings.Split(text, "$")
	if len(parts) != 6 || parts[0] != "" || parts[1] != "argon2id" {
		return nil, errors.New("expected $argon2id$v=…$m=…,t=…,p=…$SALT$HASH, as lockroad passwd writes it")
	}
	var version int
	p := &passwordHash{}
	if _, err := fmt.Sscanf(parts[2], "v=%d", &version); err != nil || version != argon2.Version {
		return nil, fmt.Errorf("%q is not the version of argon2 that is known, v=%d", parts[2], argon2.Version)
	}
	if _, err := fmt.Sscanf(parts[3], "m=%d,t=%d,p=%d", &p.memory, &p.passes, &p.lanes); err != nil {
		return nil, fmt.Errorf("%q: expected m=…,t=…,p=…", parts[3])
	}
	if p.memory < minMemoryKiB || p.memory > maxMemoryKiB || p.passes < 1 || p.passes > maxPasses || p.lanes < 1 || p.lanes > maxLanes {
		return nil, fmt.Errorf("%q costs less than nothing, or more than m=%d,t=%d,p=%d", parts[3], maxMemoryKiB, maxPasses, maxLanes)
	}
	var saltErr, hashErr error
	p.salt, saltErr = base64Encoding.DecodeString(parts[4])
	p.hash, hashErr = base64Encoding.DecodeString(parts[5])
	if err := cmp.Or(saltErr, hashErr); err != nil {
		return nil, err
	}
	if len(p.salt) < minSaltBytes || len(p.hash) < minHashBytes || len(p.hash) > maxHashBytes {
		return nil, errors.New("the salt or the hash is too short or too long")
	}
	return p, nil
}
