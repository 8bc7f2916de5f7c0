package nodecmd

import (
	"bytes"
	"context"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const configurationText = `{
  "version": 4,
  "routes": [
    {"name": "plain", "host": "jobs.example", "path_prefix": "/plain/", "timeout_ms": 3000, "target_latency_ms": 250,
     "priority": 0, "service": "orders", "max_attempts": 3, "stretch": 1.5}
  ],
  "services": [{"name": "orders", "admission_check": false, "standby": false}],
  "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
}
`

const entryText = `[Node]
Name = front-1
DataCentre = lannion
IP = 10.1.0.13
CallerAddress = 10.1.0.13:8166
ReadyAddress = 10.1.0.13:8167
PeerPort = 7720
MemoryMB = 184
[Store]
Address = 10.200.1.7:8169
RowBytes = 262144
[Bounds]
DrainGrace = 6s
`

// newFolder writes the files of the tests to a temporary folder, and returns its path.
func newFolder(t *testing.T) string {
	t.Helper()

	folder := t.TempDir()

	for name, text := range map[string]string{
		"good.json":  configurationText,
		"old.json":   strings.NewReplacer(`"version": 4`, `"version": 3`, `"stretch": 1.5`, `"stretch": 2`).Replace(configurationText),
		"later.json": strings.Replace(configurationText, `"version": 4`, `"version": 5`, 1),
		"bad.json": strings.NewReplacer(`"host": "jobs.example"`, `"host": "jobs.example:80"`,
			`"stretch": 1.5`, `"stretch": "1.5"`, `"standby": false`, `"standby": true`).Replace(configurationText),
		"warned.json": strings.Replace(configurationText, `"admission_check": false, `, "", 1),
		"text.json":   "version = 4",
		"entry.ini":   entryText,
		"small.ini":   strings.Replace(entryText, "RowBytes = 262144", "RowBytes = 65536", 1),
		"memory.ini":  strings.Replace(entryText, "MemoryMB = 184", "MemoryMB = 184\nMemory = 1", 1),
		"agent.ini":   strings.NewReplacer("CallerAddress = 10.1.0.13:8166\nReadyAddress", "AnnouncementAddress").Replace(entryText),
	} {
		assert.NilError(t, os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600))
	}

	return folder
}

// TestCheckConfiguration runs the command on files, and checks its exit status and all that it
// prints.
func TestCheckConfiguration(t *testing.T) {
	const notFound = "open FOLDER/none.json: no such file or directory\n"

	cases := map[string]struct {
		args     string
		status   int
		out      string
		problems string
	}{
		"Clean": {args: "FOLDER/good.json", out: "ok\n"},
		"Warning": {
			args:     "FOLDER/warned.json",
			out:      "ok\n",
			problems: "warning: FOLDER/warned.json: [service orders] admission_check: found nothing; allowed: a value; without it, the default of the processes applies\n",
		},
		"Differences": {
			args: "-in-force FOLDER/old.json FOLDER/good.json",
			out:  "~ [configuration] version: 4, was 3\n~ [route plain] stretch: 1.5, was 2\nok\n",
		},
		"Entry": {args: "-settings FOLDER/entry.ini FOLDER/good.json", out: "ok\n"},
		"Agent": {args: "-settings FOLDER/agent.ini FOLDER/good.json", out: "ok\n"},
		"Problems": {
			args:   "FOLDER/bad.json",
			status: 1,
			problems: `FOLDER/bad.json: [route plain] stretch: found "1.5"; allowed: a number
FOLDER/bad.json: [route plain] host: found "jobs.example:80"; allowed: a name such as jobs.example or an IP address, without scheme, port, path or final dot
FOLDER/bad.json: [route plain] service: found "orders", which is on standby; allowed: a service whose machines are on
`,
		},
		"LowerVersion": {
			args:     "-in-force FOLDER/later.json FOLDER/good.json",
			status:   1,
			out:      "~ [configuration] version: 4, was 5\n",
			problems: "FOLDER/good.json: [configuration] version: found 4; allowed: a version above 5, the one in FOLDER/later.json\n",
		},
		"RowLimit": {
			args:     "-settings FOLDER/small.ini FOLDER/good.json",
			out:      "ok\n",
			problems: "warning: FOLDER/good.json: [limits] max_body_bytes: found 262144; allowed: up to 65536, a row of the store by [Store] RowBytes of FOLDER/small.ini\n",
		},
		"NotJSON": {
			args:     "FOLDER/text.json",
			status:   1,
			problems: "FOLDER/text.json: [configuration]: found text that is not JSON (line 1, column 1: invalid character 'v' looking for beginning of value); allowed: a JSON object\n",
		},
		"InForceNotJSON": {
			args:     "-in-force FOLDER/text.json FOLDER/good.json",
			status:   1,
			problems: "FOLDER/text.json: [configuration]: found decode configuration: invalid character 'v' looking for beginning of value; allowed: a configuration that the processes can decode\n",
		},
		"Settings": {
			args:     "-settings FOLDER/memory.ini FOLDER/good.json",
			status:   1,
			problems: "FOLDER/memory.ini: [Node] Memory: found an unknown key; allowed: Name, DataCentre, IP, CallerAddress, ReadyAddress, AnnouncementAddress, MetricsAddress, PeerPort, MemoryMB, ProcessorShare\n",
		},
		"NoSuchFile":    {args: "FOLDER/none.json", status: 1, problems: "read configuration: " + notFound},
		"NoSuchInForce": {args: "-in-force FOLDER/none.json FOLDER/good.json", status: 1, problems: "read configuration in force: " + notFound},
		"NoFile":        {status: 2, problems: cmdCheckConfiguration().Usage()},
		"TwoFiles":      {args: "FOLDER/good.json FOLDER/good.json", status: 2, problems: cmdCheckConfiguration().Usage()},
	}

	folder := newFolder(t)

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var out, problems bytes.Buffer

			args := strings.Fields(strings.ReplaceAll(c.args, "FOLDER", folder))
			check := &configurationCheck{
				out:      &out,
				problems: &problems,
			}

			flags := flag.NewFlagSet(check.Name(), flag.ContinueOnError)
			check.SetFlags(flags)
			assert.NilError(t, flags.Parse(args))
			assert.Equal(t, int(check.Execute(context.Background(), flags)), c.status)
			assert.Equal(t, strings.ReplaceAll(out.String(), folder, "FOLDER"), c.out)
			assert.Equal(t, strings.ReplaceAll(problems.String(), folder, "FOLDER"), c.problems)
		})
	}
}

// TestExitStatus checks that the program has the command, and passes its exit status on.
func TestExitStatus(t *testing.T) {
	folder := newFolder(t)

	for name, c := range map[string]struct {
		file   string
		status int
	}{
		"Clean":    {"good.json", 0},
		"Problems": {"bad.json", 1},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, Main([]string{"check-configuration", filepath.Join(folder, c.file)}), c.status)
		})
	}

	assert.Equal(t, Main([]string{"check-configuration"}), 2)
	assert.Equal(t, Main([]string{"check-configuration", "-unknown", "x"}), 2)
	assert.Equal(t, Main([]string{"frobnicate"}), 2)
}
