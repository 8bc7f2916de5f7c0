package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoildeck/settings"
)

const entry = `
[Entry]
Name = entry-1
DataCentre = lannion
CallerAddress = 127.0.0.1:1
OperatorAddress = 127.0.0.1:2
PeerAddress = 127.0.0.1:3
AdminAddress = 127.0.0.1:4
[Table]
Name = t
Region = r
SecretKeyFile = f
`

const agent = `
[Agent]
Name = agent-1
DataCentre = lannion
EntryAddresses = 127.0.0.1:3, 127.0.0.1:5
AdminAddress = 127.0.0.1:4
[Endpoint]
Service = booking
Address = 127.0.0.1:6
`

// TestEntry checks the defaults of an entry's settings, and that each error names the
// file, the section and the key.
func TestEntry(t *testing.T) {
	e, err := settings.ParseEntry("e.ini", []byte(entry))
	assert.NilError(t, err)
	assert.Equal(t, e.Entry.AdvertisedAddress, e.Entry.PeerAddress)
	assert.Equal(t, e.Entry.TaskLease, 20*time.Second)

	cases := map[string]struct {
		from, to string
		want     []string
	}{
		"no name":              {"Name = entry-1", "", []string{"[Entry] Name"}},
		"unknown key":          {"Name = entry-1", "Nom = x", []string{"Nom", "an unknown key"}},
		"unknown section":      {"[Table]", "[Tabel]", []string{"[Tabel]", "an unknown section", "[Table] Region"}},
		"bad address":          {"127.0.0.1:1", "localhost:1", []string{"CallerAddress", "an IP address and port"}},
		"unspecified address":  {"127.0.0.1:3", "0.0.0.0:3", []string{"AdvertisedAddress"}},
		"plaintext":            {"127.0.0.1:3", "10.0.0.1:3", []string{"[TLS]", "AllowPlaintext"}},
		"short lease":          {"[Table]", "TaskLease = 1s\n[Table]", []string{"TaskLease", "2s to"}},
		"bad token":            {"[Table]", "[Operator a]\nTokenSHA256 = abc\n[Table]", []string{"[Operator a] TokenSHA256", "64 hexadecimal digits"}},
		"incomplete TLS files": {"[Table]", "[TLS]\nKeyFile = k\n[Table]", []string{"all or none"}},
		"all problems":         {"Region = r", "Regoin = r\nX = 1", []string{"Regoin", "X", "[Table] Region"}},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := settings.ParseEntry("e.ini", []byte(strings.Replace(entry, c.from, c.to, 1)))
			assert.Assert(t, err != nil)

			for _, s := range append(c.want, "e.ini") {
				assert.ErrorContains(t, err, s)
			}
		})
	}
}

// TestAgent checks the defaults of an agent's settings, and that an error names each
// problem.
func TestAgent(t *testing.T) {
	a, err := settings.ParseAgent("a.ini", []byte(agent))
	assert.NilError(t, err)
	assert.Equal(t, a.Endpoint.Slots, int64(8))
	assert.Equal(t, len(a.Agent.EntryAddresses), 2)

	cases := map[string]struct {
		from, to string
		want     string
	}{
		"no entries":            {"EntryAddresses = 127.0.0.1:3, 127.0.0.1:5", "", "at least one address"},
		"bad list":              {"127.0.0.1:5", "here", "with commas between"},
		"no endpoint or worker": {"Service = booking", "", "one or both"},
		"no slots":              {"Service = booking", "Service = booking\nSlots = 0", "1 to 10000"},
		"incomplete worker":     {"[Endpoint]", "[Worker]\nName = w\n[Endpoint]", "[Worker] MilliCores"},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := settings.ParseAgent("a.ini", []byte(strings.Replace(agent, c.from, c.to, 1)))
			assert.ErrorContains(t, err, c.want)
		})
	}
}

// TestExamples checks the settings of entries and agents in the folder examples.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../examples/*/*.ini")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 10)

	for _, f := range files {
		data, err := os.ReadFile(f)
		assert.NilError(t, err)

		switch {
		case strings.Contains(string(data), "[Entry]"):
			_, err = settings.ParseEntry(f, data)
		case strings.Contains(string(data), "[Agent]"):
			_, err = settings.ParseAgent(f, data)
		}

		assert.NilError(t, err)
	}
}
