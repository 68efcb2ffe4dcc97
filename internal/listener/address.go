package listener

import (
	"context"
	"net"
)

// SameAddress reports whether Listen at a configured address would listen where a socket does: the ports are equal, and one
// of the addresses that the configured host stands for is the socket's, in its IPv4, IPv6 or IPv4-mapped form. All wildcard
// addresses are equal, as Listen opens one socket for both families. Port 0 is equal to none.
func SameAddress(ctx context.Context, configured string, socket net.Addr) bool {
	bound, ok := socket.(*net.TCPAddr)
	if !ok {
		return false
	}
	host, service, err := net.SplitHostPort(configured)
	if err != nil {
		return false
	}
	port, err := net.DefaultResolver.LookupPort(ctx, "tcp", service)
	if err != nil || port == 0 || port != bound.Port {
		return false
	}
	if host == "" {
		return bound.IP.IsUnspecified()
	}
	addresses, err := net.DefaultResolver.LookupIPAddr(ctx, host)
	if err != nil {
		return false
	}
	for _, address := range addresses {
		if address.IP.Equal(bound.IP) && address.Zone == bound.Zone || address.IP.IsUnspecified() && bound.IP.IsUnspecified() {
			return true
		}
	}
	return false
}
