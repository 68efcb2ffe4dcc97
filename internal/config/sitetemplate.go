package config

import (
	"errors"
	"fmt"
	"os"
	"strings"
)

// RenderSite returns the text of a site's file to begin with, which has a comment on each setting. servers are host:port each;
// socket is the path of the console's.
func RenderSite(name, listen, socket string, servers []string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# A relay of a small site. `lockroad check` tells all that is wrong with this file; a reload takes servers,\n# classes, attempts and health, whole or not at all.\nname = %q\nlisten = %q\n", name, listen)
	for i, address := range servers {
		fmt.Fprintf(&b, "\n[[server]]\nname = \"s-%d\"\naddress = %q\nsize = 1.0                   # against the others\n", i+1, address)
	}
	b.WriteString(`
# What clients ask for by name. Those that are turned away first are worth least.
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
per_address = 0              # transactions of one client address at a time; 0: any number
rate = 0.0                   # that one address may begin a second; 0: any number
fair = true                  # seats that run short are shared out among addresses

# Servers are found to be up by probes, and down by probes and by what becomes of their passes.
[health]
probe = "ping"               # or connect, where servers know no PING
every = "2s"
timeout = "1s"
rise = 2                     # in a row, until one that was down is up
fall = 3                     # in a row, until one that was up is down
panic = 0.5                  # where more are down, this box is doubted first
`)
	fmt.Fprintf(&b, "\n[console]\nsocket = %q\n\n[log]\nlevel = \"info\"\nform = \"text\"\n", socket)
	return b.String()
}

// WriteSite writes a site's file. It fails with fs.ErrExist if there is a file at path already.
func WriteSite(path, text string) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
	if err != nil {
		return err
	}
	_, err = f.WriteString(text)
	return errors.Join(err, f.Close())
}
