package demo

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"lockroad/internal/explain"
	"lockroad/internal/fake"
)

// checkExplanations requests the explanations of a random sample of sessions, and compares each
// with what the client and the servers observed. It returns the explanations by request name.
func (d *demonstration) checkExplanations() (map[string]*explain.Explanation, error) {
	sessions := d.site.Log.Sessions()
	d.result.Sessions = len(sessions)
	attempts := d.site.Log.Attempts()
	d.result.Attempts = len(attempts)
	byName := make(map[string][]fake.Attempt)
	for _, attempt := range attempts {
		byName[attempt.Name] = append(byName[attempt.Name], attempt)
	}
	kills := d.kills()
	order := d.rng.Perm(len(sessions))
	explanations := make(map[string]*explain.Explanation)
	for _, i := range order[:min(len(order), d.SampleSize)] {
		session := sessions[i]
		explanation, text, err := d.explain(session)
		if err != nil {
			return nil, err
		}
		if explanation == nil {
			continue
		}
		explanations[session.Name] = explanation
		check := checker{explanation: explanation, session: session, attempts: byName[session.Name], kills: kills}
		if mismatches := check.check(); len(mismatches) > 0 {
			d.result.Mismatches = append(d.result.Mismatches, fmt.Sprintf("%s: %s\n%s", session.Name, strings.Join(mismatches, "; "), text))
		}
		d.result.Races += check.races
	}
	return explanations, nil
}

// explain requests the explanation of a session. The explanation is nil if the relay has none: the
// result then counts the session as unexplained or as a mismatch.
func (d *demonstration) explain(session fake.Session) (explanation *explain.Explanation, text string, err error) {
	name := session.Name
	if session.Frontend == "amqp" {
		name = "client/" + session.Name
	}
	d.result.Sampled++
	if text, err = d.command("why --json -- " + name); err != nil {
		switch {
		case strings.Contains(err.Error(), "no longer in the log"):
			d.result.Unexplained++
		case session.Answer == "none" && strings.Contains(err.Error(), "not found: the log has all"):
			d.result.Unexplained++ // the client left before the relay had read the request
		default:
			d.result.Mismatches = append(d.result.Mismatches, fmt.Sprintf("%s: %v", session.Name, err))
		}
		return nil, "", nil
	}
	explanation = &explain.Explanation{}
	if err := json.Unmarshal([]byte(text), explanation); err != nil {
		return nil, "", fmt.Errorf("decode the explanation of %s: %w", name, err)
	}
	return explanation, text, nil
}

// kills returns the times at which each server was killed.
func (d *demonstration) kills() map[string][]time.Time {
	kills := make(map[string][]time.Time)
	for _, change := range d.site.Log.EndpointChanges() {
		if change.State == fake.Killed {
			kills[change.Endpoint] = append(kills[change.Endpoint], change.At)
		}
	}
	return kills
}
