package config

import (
	"errors"
	"fmt"
	"os"
	"strings"
)

// RenderSite returns a commented starter site file. servers holds host:port addresses; socket is the path of the
// console's socket.
func RenderSite(name, listen, socket string, servers []string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "# Configuration of a relay for a small site. Validate it with `lockroad check`. A reload applies servers, classes,\n# attempts, client limits and health; an invalid file is rejected as a whole.\nname = %q\nlisten = %q\n", name, listen)
	for i, address := range servers {
		fmt.Fprintf(&text, "\n[[server]]\nname = \"s-%d\"\naddress = %q\nsize = 1.0                   # capacity relative to the other servers\n", i+1, address)
	}
	text.WriteString(`
# Classes of requests. Clients choose a class by name.
[[class]]
name = "page"
set_up_within = "800ms"
give_up_after = "4800ms"
message_within = "100ms"

[[class]]
name = "live"
set_up_within = "500ms"
give_up_after = "2s"
message_within = "60ms"

[limits]
memory_mb = 128
sockets = 4096
attempts = 5
per_address = 0              # concurrent requests per client address; 0: no limit
rate = 0.0                   # new requests per second and client address; 0: no limit
fair = true                  # divide scarce admission slots fairly among client addresses

# Probes mark servers as up; probes and failed requests mark them as down.
[health]
probe = "ping"               # or "connect" for servers without PING
every = "2s"
timeout = "1s"
rise = 2                     # successes in a row until a server that is down counts as up
fall = 3                     # failures in a row until a server that is up counts as down
panic = 0.5                  # if more than this share of the servers seems down, all count as up
`)
	fmt.Fprintf(&text, "\n[console]\nsocket = %q\n\n[log]\nlevel = \"info\"\nform = \"text\"\n", socket)
	return text.String()
}

// WriteSite creates a site file. It fails with fs.ErrExist if path already exists.
func WriteSite(path, text string) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
	if err != nil {
		return err
	}
	_, err = file.WriteString(text)
	return errors.Join(err, file.Close())
}
