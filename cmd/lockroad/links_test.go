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

// TestMeasureLinks prints what links of AMQP cost a relay that is a process of its own: memory, descriptors and the
// time of a set-up, with a connection to the endpoint for each and with shared ones. It measures and judges nothing:
//
//	LOCKROAD_LINKS=1000 go test -run MeasureLinks -v ./cmd/lockroad
func TestMeasureLinks(t *testing.T) {
	var links int
	if _, err := fmt.Sscan(os.Getenv("LOCKROAD_LINKS"), &links); err != nil || links == 0 {
		t.Skip("LOCKROAD_LINKS names no number")
	}
	for _, shared := range []int{0, 64, 0, 64} {
		cluster := newCluster(t)
		operator, address := filepath.Join(cluster.dir, "operator.toml"), freeAddress(t)
		if err := os.WriteFile(operator, fmt.Appendf(nil, "[amqp]\nlisten = %q\nserver_port = %d\nshared = %d\n", address, cluster.site.AMQPPort, shared), 0o600); err != nil {
			t.Fatal(err)
		}
		for _, one := range cluster.site.Servers {
			one.MaxConns, one.SetupTime = 10*links, 0
		}
		p := cluster.startProcess("LOCKROAD_OPERATOR=" + operator)
		p.awaitReady()
		base := p.residentKB()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		var session *amqp10.Session
		var took []time.Duration
		for i := range links {
			if i%56 == 0 {
				c, err := amqp10.Dial(ctx, "amqp://"+address, &amqp10.ConnOptions{SASLType: amqp10.SASLTypeAnonymous()})
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = c.Close() }()
				if session, err = c.NewSession(ctx, nil); err != nil {
					t.Fatal(err)
				}
			}
			began := time.Now()
			if _, err := session.NewSender(ctx, "there", &amqp10.SenderOptions{Name: fmt.Sprint(i),
				Properties: map[string]any{"class": "live", "give-up-ms": uint32(900), "group": fmt.Sprintf("%x", i)}}); err != nil {
				t.Fatalf("link %d: %v", i, err)
			}
			took = append(took, time.Since(began))
		}
		slices.Sort(took)
		fds, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
		fmt.Printf("shared by %2d: %.1f KB a link, %d descriptors, set-up median %v, 99%% %v\n", shared, float64(p.residentKB()-base)/float64(links), len(fds),
			took[len(took)/2].Round(time.Microsecond), took[len(took)*99/100].Round(time.Microsecond))
		cancel()
		p.kill()
	}
}

// residentKB returns the resident memory of a process in KB.
func (p *process) residentKB() (kb int) {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", p.Process.Pid))
	if err != nil {
		p.cluster.t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if rest, is := strings.CutPrefix(lines.Text(), "VmRSS:"); is {
			_, _ = fmt.Sscan(rest, &kb)
		}
	}
	return kb
}
