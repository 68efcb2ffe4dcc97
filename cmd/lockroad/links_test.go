package main

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	amqp10 "github.com/Azure/go-amqp"
)

// TestMeasureLinks prints the memory, file descriptors and set-up times of AMQP links through a relay process: with one
// connection to the endpoint per link, and with connections shared by links. It checks nothing:
//
//	LOCKROAD_LINKS=1000 go test -run MeasureLinks -v ./cmd/lockroad
func TestMeasureLinks(t *testing.T) {
	var links int
	if _, err := fmt.Sscan(os.Getenv("LOCKROAD_LINKS"), &links); err != nil || links == 0 {
		t.Skip("LOCKROAD_LINKS is not set to a number of links")
	}
	for _, shared := range []int{0, 64, 0, 64} {
		cluster := newCluster(t)
		operator, address := filepath.Join(cluster.dir, "operator.toml"), freeAddress(t)
		if err := os.WriteFile(operator, fmt.Appendf(nil, "[amqp]\nlisten = %q\nserver_port = %d\nshared = %d\n", address, cluster.site.AMQPPort, shared), 0o600); err != nil {
			t.Fatal(err)
		}
		for _, server := range cluster.site.Servers {
			server.MaxConns, server.SetupTime = 10*links, 0
		}
		relay := cluster.startProcess("LOCKROAD_OPERATOR=" + operator)
		relay.awaitReady()
		base := relay.residentKB()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		var session *amqp10.Session
		var setupTimes []time.Duration
		for i := range links {
			if i%56 == 0 {
				conn, err := amqp10.Dial(ctx, "amqp://"+address, &amqp10.ConnOptions{SASLType: amqp10.SASLTypeAnonymous()})
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = conn.Close() }()
				if session, err = conn.NewSession(ctx, nil); err != nil {
					t.Fatal(err)
				}
			}
			began := time.Now()
			if _, err := session.NewSender(ctx, "there", &amqp10.SenderOptions{Name: fmt.Sprint(i),
				Properties: map[string]any{"class": "live", "give-up-ms": uint32(900), "group": fmt.Sprintf("%x", i)}}); err != nil {
				t.Fatalf("link %d: %v", i, err)
			}
			setupTimes = append(setupTimes, time.Since(began))
		}
		slices.Sort(setupTimes)
		descriptors, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", relay.Process.Pid))
		fmt.Printf("shared by %2d: %.1f KB per link, %d descriptors, set-up median %v, 99%% %v\n", shared, float64(relay.residentKB()-base)/float64(links), len(descriptors),
			setupTimes[len(setupTimes)/2].Round(time.Microsecond), setupTimes[len(setupTimes)*99/100].Round(time.Microsecond))
		cancel()
		relay.kill()
	}
}

// residentKB returns the resident memory of a process in KB.
func (p *process) residentKB() (kb int) {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", p.Process.Pid))
	if err != nil {
		p.cluster.t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if rest, found := strings.CutPrefix(lines.Text(), "VmRSS:"); found {
			_, _ = fmt.Sscan(rest, &kb)
		}
	}
	return kb
}
