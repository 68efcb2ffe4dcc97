// Package configtest provides a platform configuration for tests that start a relay. Only tests import it.
package configtest

import "fmt"

const settingsText = `{
	"Classes": [{"AimUs": 800000, "DeadlineUs": 1500000, "KeyScope": "all", "Name": "page", "Semantics": "idempotent"}],
	"Discovery": "push", "Localities": ["a", "b"], "NInstances": 3, "QuantumUs": 2000, "Zone": 1,
	"Guarantees": {"ColdUs": 23000000, "FallUs": 3000000, "StartCapacity": 0.12, "TipMultiple": 3.0},
	"Limits": {"ConnectTimeoutUs": 500000, "MaxRetryAfterUs": 2000000, "RetryAfter": false, "TryLimit": 5}}`

// PlatformConfig returns a platform configuration with the addresses of the line frontend, the discovery agent
// and the one endpoint in the list.
func PlatformConfig(listen, discovery, endpoint string) string {
	return fmt.Sprintf(`{"name":"n3","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1.0,"memory_mb":2048,"sockets":4096},
		"known":{"revision":41,"complete":true,"members":[{"id":"s-1","host_port":%q,"locality":"a","flavor":"m","cell":1,
		"phase":"ready","size":1.0,"up_since_ms":0}]},"settings":%s}`, listen, discovery, endpoint, settingsText)
}
