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

// Parameters of argon2id for new passwords: the minimum that OWASP recommends, because a relay has
// little memory.
const (
	hashMemoryKiB = 19 << 10
	hashPasses    = 2
	hashLanes     = 1
	saltBytes     = 16
	hashBytes     = 32
)

// Bounds of the parameters in a password file, which other programs may write too.
const (
	minMemoryKiB, maxMemoryKiB = 8, 64 << 10
	maxPasses                  = 10
	maxLanes                   = 4
	minSaltBytes               = 8
	minHashBytes, maxHashBytes = 16, 64
)

// phcEncoding is the base64 variant of the PHC string format.
var phcEncoding = base64.RawStdEncoding

// passwordHash is the argon2id hash of a password, with its parameters.
type passwordHash struct {
	memory     uint32 // in KiB; m in the PHC string format
	passes     uint32 // t
	lanes      uint8  // p
	salt, hash []byte
}

// String returns the hash in the PHC string format.
func (p *passwordHash) String() string {
	return fmt.Sprintf("$argon2id$v=%d$m=%d,t=%d,p=%d$%s$%s", argon2.Version, p.memory, p.passes, p.lanes,
		phcEncoding.EncodeToString(p.salt), phcEncoding.EncodeToString(p.hash))
}

// matches reports whether the hash is that of password. Its time does not depend on the result.
func (p *passwordHash) matches(password string) bool {
	hash := argon2.IDKey([]byte(password), p.salt, p.passes, p.memory, p.lanes, uint32(len(p.hash)))
	return subtle.ConstantTimeCompare(hash, p.hash) == 1
}

// hashPassword hashes a password with a new salt.
func hashPassword(password string) *passwordHash {
	p := &passwordHash{memory: hashMemoryKiB, passes: hashPasses, lanes: hashLanes, salt: make([]byte, saltBytes)}
	rand.Read(p.salt) // never fails
	p.hash = argon2.IDKey([]byte(password), p.salt, p.passes, p.memory, p.lanes, hashBytes)
	return p
}

// parsePasswordHash parses a hash in the PHC string format. It fails if a parameter is out of bounds.
func parsePasswordHash(text string) (*passwordHash, error) {
	parts := strings.Split(text, "$")
	if len(parts) != 6 || parts[0] != "" || parts[1] != "argon2id" {
		return nil, errors.New("invalid password hash: expected $argon2id$v=…$m=…,t=…,p=…$SALT$HASH, as written by lockroad passwd")
	}
	var version int
	parsed := &passwordHash{}
	if _, err := fmt.Sscanf(parts[2], "v=%d", &version); err != nil || version != argon2.Version {
		return nil, fmt.Errorf("unsupported argon2 version %q: expected v=%d", parts[2], argon2.Version)
	}
	if _, err := fmt.Sscanf(parts[3], "m=%d,t=%d,p=%d", &parsed.memory, &parsed.passes, &parsed.lanes); err != nil {
		return nil, fmt.Errorf("invalid argon2 parameters %q: expected m=…,t=…,p=…", parts[3])
	}
	if parsed.memory < minMemoryKiB || parsed.memory > maxMemoryKiB || parsed.passes < 1 || parsed.passes > maxPasses || parsed.lanes < 1 || parsed.lanes > maxLanes {
		return nil, fmt.Errorf("argon2 parameters %q out of range: expected m=%d,t=1,p=1 to m=%d,t=%d,p=%d", parts[3], minMemoryKiB, maxMemoryKiB, maxPasses, maxLanes)
	}
	var saltErr, hashErr error
	parsed.salt, saltErr = phcEncoding.DecodeString(parts[4])
	parsed.hash, hashErr = phcEncoding.DecodeString(parts[5])
	if err := cmp.Or(saltErr, hashErr); err != nil {
		return nil, fmt.Errorf("decode salt and hash of the password: %w", err)
	}
	if len(parsed.salt) < minSaltBytes || len(parsed.hash) < minHashBytes || len(parsed.hash) > maxHashBytes {
		return nil, errors.New("invalid password hash: the salt is too short, or the hash too short or too long")
	}
	return parsed, nil
}
