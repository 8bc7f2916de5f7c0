// Package demo runs a deployment in one process, shows its main functions step by
// step and checks the result of each step.
//
// # Usage
//
//	err := demo.Run(ctx, os.Stdout, zap.NewNop())
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"trefoildeck/core/placement"
	"trefoildeck/core/resource"
	"trefoildeck/internal/local"
	"trefoildeck/io/caller"
	"trefoildeck/io/declaration"
	"trefoildeck/standin"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

// errUnexpected is returned when a step does not have the result that the demo shows.
var errUnexpected = eris.New("unexpected result")

const (
	pollPeriod = 50 * time.Millisecond
	// outDelay is the longest time that an outage may take to come into effect:
	// after it no task may start in the data centre.
	outDelay = 3 * time.Second
)

const declarations = `
[DataCentre lannion]
Region = bretagne

[DataCentre vitre]
Region = bretagne

[Team mixing]
MilliCores = 64000

[Service ordering]
LatencyTarget = 100ms
Timeout = 2s
MilliCores = 1000
MemoryMB = 1000

[Configuration tints]
Junction = yellow

[Job batch-17]
Team = mixing
Tasks = 4
MilliCores = 2000
MemoryMB = 500
RunTime = 6s
Command = mix
`

// demo is one run of the demo.
type demo struct {
	ctx context.Context //nolint:containedctx // one run of the demo is one context
	out io.Writer
	d   *local.Deployment
}

// Run runs the demo and prints each step to out. It returns an error if a step does
// not have the expected result.
func Run(ctx context.Context, out io.Writer, log *zap.Logger) error {
	began := time.Now()

	d, err := local.Start(local.Options{
		DataCentres: []string{"lannion", "vitre"},
		Entries:     2,
		Agents:      2,
		Service:     "ordering",
		Slots:       8,
		Delay:       2 * time.Millisecond,
		MilliCores:  8000,
		MemoryMB:    16000,
		TaskLease:   10 * time.Second,
		ShardLease:  4 * time.Second,
		Log:         log,
	})
	if err != nil {
		return fmt.Errorf("start deployment: %w", err)
	}
	defer d.Stop()

	m := &demo{
		ctx: ctx,
		out: out,
		d:   d,
	}

	steps := []func() error{m.declare, m.callService, m.checkConfiguration, m.takeOut, m.checkResumed, m.bringBack, m.checkFinished}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}

	m.printf("All checks passed in %s.", time.Since(began).Round(100*time.Millisecond))

	return nil
}

func (m *demo) printf(format string, args ...any) {
	fmt.Fprintf(m.out, format+"\n", args...)
}

// waitFor polls until a condition holds; what names the condition in the error.
func (m *demo) waitFor(what string, limit time.Duration, condition func() bool) error {
	ctx, cancel := context.WithTimeout(m.ctx, limit)
	defer cancel()

	for !condition() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for %s within %s: %w", what, limit, errUnexpected)
		case <-time.After(pollPeriod):
		}
	}

	return nil
}

func (m *demo) declare() error {
	m.printf("Two data centres, lannion and vitre, have an entry and two agents each; every agent runs beside a service endpoint and a worker.")

	var p resource.Problems

	list := declaration.Read("demo.ini", []byte(declarations), &p)
	if err := p.Err(); err != nil {
		return fmt.Errorf("read declarations: %w", err)
	}

	results, err := m.d.Operator(0).Apply(m.ctx, list, false)
	if err != nil {
		return fmt.Errorf("apply: %w", err)
	}

	m.printf("Declared %d resources through entry-0 at revision %d.", len(results), results[0].Revision)

	again, err := m.d.Operator(0).Apply(m.ctx, list, true)
	if err != nil {
		return fmt.Errorf("diff: %w", err)
	}

	for _, r := range again {
		if r.Action != "Unchanged" {
			return fmt.Errorf("%s %s would change when applied again: %w", r.Kind, r.Name, errUnexpected)
		}
	}

	return nil
}

func (m *demo) callService() error {
	for n, e := range m.d.Entries {
		url := "http://" + e.CallerAddress.String() + "/services/ordering/tints/junction"

		err := m.waitFor("an answer through "+e.Name, 5*time.Second, func() bool { return m.callOnce(url) == nil })
		if err != nil {
			return err
		}

		m.printf("Called the service through entry-%d in %s: Answered, with a complete body.", n, e.DataCentre)
	}

	return nil
}

func (m *demo) callOnce(url string) error {
	const order = "30 cans of yellow"

	req, err := http.NewRequestWithContext(m.ctx, http.MethodPost, url, strings.NewReader(order))
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}

	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("call: %w", err)
	}
	defer res.Body.Close()

	body, err := io.ReadAll(res.Body)
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}

	if res.Header.Get(caller.HeaderOutcome) != "Answered" || !strings.HasSuffix(string(body), order) {
		return fmt.Errorf("outcome %q: %w", res.Header.Get(caller.HeaderOutcome), errUnexpected)
	}

	return nil
}

func (m *demo) checkConfiguration() error {
	id := resource.ID{
		Kind: resource.KindConfiguration,
		Name: "tints",
	}

	err := m.waitFor("the configuration in force in both data centres", 5*time.Second, func() bool {
		var status struct{ InForce map[string]any }

		v, err := m.d.Operator(1).Get(m.ctx, id)

		return err == nil && json.Unmarshal(v.Status, &status) == nil && len(status.InForce) == 2
	})
	if err != nil {
		return err
	}

	m.printf("The configuration tints is in force in both data centres.")

	return nil
}

// takeOut takes a data centre out while tasks run there.
func (m *demo) takeOut() error {
	err := m.waitFor("all four tasks running", 10*time.Second, func() bool {
		return len(m.events(placement.PhaseRunning)) == 4
	})
	if err != nil {
		return err
	}

	// The tasks make some progress that a checkpoint can save.
	time.Sleep(time.Second)

	m.printf("The four tasks of batch-17 are running. Taking the data centre of the first one out.")

	dataCentre := m.firstDataCentre()

	_, err = m.d.Operator(0).Put(m.ctx, resource.ID{
		Kind: resource.KindOutage,
		Name: dataCentre,
	}, &resource.Outage{Reason: "demo"})
	if err != nil {
		return fmt.Errorf("take data centre out: %w", err)
	}

	return nil
}

// firstDataCentre returns the data centre where the first task started, which is
// the one that the demo takes out.
func (m *demo) firstDataCentre() string {
	dataCentre, _, _ := strings.Cut(m.events(placement.PhaseRunning)[0].Worker, "-")

	return dataCentre
}

func (m *demo) checkResumed() error {
	var resumed []standin.Event

	err := m.waitFor("a task resumed from its checkpoint", 10*time.Second, func() bool {
		resumed = resumed[:0]

		for _, e := range m.events(placement.PhaseRunning) {
			if e.From > 0 {
				resumed = append(resumed, e)
			}
		}

		return len(resumed) > 0
	})
	if err != nil {
		return err
	}

	for _, e := range resumed {
		m.printf("Task %s resumed on %s from %.0f%% of its work.", e.ID, e.Worker, 100*e.From)
	}

	return nil
}

func (m *demo) bringBack() error {
	dataCentre := m.firstDataCentre()
	outSince := time.Now()

	time.Sleep(outDelay + time.Second)

	for _, e := range m.events(placement.PhaseRunning) {
		if strings.HasPrefix(e.Worker, dataCentre) && e.Time.After(outSince.Add(outDelay)) {
			return fmt.Errorf("%s started in %s while it was out: %w", e.ID, dataCentre, errUnexpected)
		}
	}

	url := "http://" + m.d.Entries[0].CallerAddress.String() + "/services/ordering/tints/junction"
	if err := m.callOnce(url); err != nil {
		return fmt.Errorf("call service during outage: %w", err)
	}

	_, err := m.d.Operator(1).Delete(m.ctx, resource.ID{
		Kind: resource.KindOutage,
		Name: dataCentre,
	})
	if err != nil {
		return fmt.Errorf("bring data centre back: %w", err)
	}

	m.printf("No task started in %s while it was out, and the service kept answering. It is back.", dataCentre)

	return nil
}

func (m *demo) checkFinished() error {
	err := m.waitFor("all four tasks finished", 20*time.Second, func() bool {
		v, err := m.d.Operator(1).Get(m.ctx, resource.ID{
			Kind: resource.KindJob,
			Name: "batch-17",
		})

		var status struct{ Finished int }

		return err == nil && json.Unmarshal(v.Status, &status) == nil && status.Finished == 4
	})
	if err != nil {
		return err
	}

	finished := map[int]int{}
	for _, e := range m.events(placement.PhaseFinished) {
		finished[e.ID.Task]++
	}

	for task, n := range finished {
		if n != 1 {
			return fmt.Errorf("task %d finished %d times: %w", task, n, errUnexpected)
		}
	}

	if len(finished) != 4 {
		return fmt.Errorf("%d tasks finished instead of 4: %w", len(finished), errUnexpected)
	}

	m.printf("Each of the four tasks finished exactly once.")

	return nil
}

// events returns the runtimes' events of a phase. The earliest one is first; the
// others are in no order.
func (m *demo) events(p placement.Phase) []standin.Event {
	var list []standin.Event

	for _, r := range m.d.Standins.Runtimes {
		for _, e := range r.Events() {
			if e.Phase == p {
				list = append(list, e)
			}
		}
	}

	for i := range list {
		if list[i].Time.Before(list[0].Time) {
			list[0], list[i] = list[i], list[0]
		}
	}

	return list
}
