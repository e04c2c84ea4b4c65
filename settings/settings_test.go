package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/settings"
)

// valid has only the required keys.
const valid = `{
  // A comment.
  "vm_id": "vm-1",
  "failure_domain": "a",
  "failure_domains": ["a", "b"],
  "listen": {"callers": "192.0.2.1:1", "peers": "192.0.2.1:2", "admin": "192.0.2.1:3"},
  "platform": {"url": "http://192.0.2.9:7000"},
}`

func TestParseTakesDefaults(t *testing.T) {
	s, problems := settings.Parse([]byte(valid))
	must.SliceEmpty(t, problems)
	must.Eq(t, 2*time.Second, s.Membership.HeartbeatInterval)
	must.Eq(t, settings.PolicyShared, s.Dispatch.Policy)
	must.True(t, s.Listen == s.Advertise)
}

func TestParseOverridesDefaults(t *testing.T) {
	text := strings.Replace(valid, `"vm_id"`, `"advertise": {"peers": "192.0.2.8:9"}, "peers": {"seeds": ["192.0.2.2:2"]},
	  "membership": {"epoch_length": "1m30s"}, "trace": {"ratio": 1}, "vm_id"`, 1)
	s, problems := settings.Parse([]byte(text))
	must.SliceEmpty(t, problems)
	must.Eq(t, "192.0.2.8:9", s.Advertise.Peers.String())
	must.Eq(t, s.Listen.Callers, s.Advertise.Callers)
	must.Eq(t, "192.0.2.2:2", s.Peers.Seeds[0].String())
	must.Eq(t, 90*time.Second, s.Membership.EpochLength)
	must.Eq(t, 2*time.Second, s.Membership.HeartbeatInterval)
	must.Eq(t, 1.0, s.Trace.Ratio)
}

// Each case replaces one piece of the valid file and expects exactly one problem, with its line.
func TestParseNamesTheFault(t *testing.T) {
	cases := map[string]struct{ old, new, want string }{
		"unknown key":           {`"vm_id"`, `"colour": 1, "vm_id"`, `line 3: colour = 1: is not a known key; remove it or use one of`},
		"unknown key below":     {`"admin": `, `"extra": "x", "admin": `, `line 6: listen.extra = "x": is not a known key; remove it or use one of admin, callers, peers`},
		"key of another case":   {`"url":`, `"timeout": "1s", "URL": 1, "url":`, `line 7: platform.URL = 1: is not a known key`},
		"key twice":             {`"vm_id": "vm-1"`, `"vm_id": "vm-1", "vm_id": "vm-2"`, `line 3: vm_id = "vm-2": is given twice`},
		"wrong type":            {`"vm-1"`, `7`, `line 3: vm_id = 7: is not a string`},
		"null":                  {`"vm_id"`, `"limits": {"submissions": null}, "vm_id"`, `line 3: limits.submissions = null: is not a whole number`},
		"fraction":              {`"vm_id"`, `"limits": {"submissions": 1.5}, "vm_id"`, `line 3: limits.submissions = 1.5: is not a whole number`},
		"not an object":         {`"vm_id"`, `"limits": [1], "vm_id"`, `line 3: limits = [1]: is not an object; write {...} with the keys answer_bytes`},
		"not a list":            {`["a", "b"]`, `"a"`, `line 5: failure_domains = "a": is not a list`},
		"duration number":       {`"vm_id"`, `"drain_timeout": 30, "vm_id"`, `line 3: drain_timeout = 30: is not a duration; write a string with a unit`},
		"duration without unit": {`"vm_id"`, `"drain_timeout": "30", "vm_id"`, `line 3: drain_timeout = "30": is not a duration`},
		"duration too short":    {`"vm_id"`, `"drain_timeout": "-3s", "vm_id"`, `line 3: drain_timeout = "-3s": is less than "10ms"`},
		"host name":             {`"192.0.2.1:1"`, `"localhost:1"`, `line 6: listen.callers = "localhost:1": is not an IP address with a port`},
		"port zero":             {`"192.0.2.1:1"`, `"192.0.2.1:0"`, `line 6: listen.callers = "192.0.2.1:0": has no fixed port`},
		"address missing":       {`"peers": "192.0.2.1:2", `, ``, `listen.peers: is missing`},
		"address twice":         {`"192.0.2.1:2"`, `"192.0.2.1:1"`, `line 6: listen.peers = "192.0.2.1:1": is the same as listen.callers`},
		"unspecified address":   {`"192.0.2.1:1"`, `"0.0.0.0:1"`, `advertise.callers = "0.0.0.0:1": is an address that others can't reach; set advertise.callers`},
		"seed":                  {`"vm_id"`, `"peers": {"seeds": ["192.0.2.2:2", "x"]}, "vm_id"`, `line 3: peers.seeds[1] = "x": is not an IP address`},
		"seed port":             {`"vm_id"`, `"peers": {"seeds": ["192.0.2.2:0"]}, "vm_id"`, `line 3: peers.seeds[0] = "192.0.2.2:0": has no fixed port`},
		"domain seed":           {`"vm_id"`, `"peers": {"domain_seeds": {"b": ["192.0.2.2:0"]}}, "vm_id"`, `peers.domain_seeds.b[0] = "192.0.2.2:0": has no fixed port`},
		"domain seed unlisted":  {`"vm_id"`, `"peers": {"domain_seeds": {"c": []}}, "vm_id"`, `line 3: peers.domain_seeds.c: is not in failure_domains`},
		"domain seed own":       {`"vm_id"`, `"peers": {"domain_seeds": {"a": []}}, "vm_id"`, `line 3: peers.domain_seeds.a: names the VM's own failure domain; list its addresses in peers.seeds`},
		"domain seeds many":     {`"vm_id"`, `"peers": {"domain_seeds": {"b": ["192.0.2.2:1", "192.0.2.2:2", "192.0.2.2:3", "192.0.2.2:4"]}}, "vm_id"`, `line 3: peers.domain_seeds.b: has more than 3 addresses`},
		"vm id missing":         {`"vm_id": "vm-1",`, ``, `vm_id: is missing`},
		"vm id characters":      {`"vm-1"`, `"vm.1"`, `line 3: vm_id = "vm.1": has characters that are not allowed in names`},
		"vm id length":          {`"vm-1"`, `"` + strings.Repeat("v", 64) + `"`, `is longer than 63 characters`},
		"domain not listed":     {`["a", "b"]`, `["b", "c"]`, `line 4: failure_domain = "a": is not in failure_domains`},
		"domain twice":          {`["a", "b"]`, `["a", "a"]`, `line 5: failure_domains[1] = "a": is listed twice`},
		"domains missing":       {`"failure_domains": ["a", "b"],`, ``, `failure_domains: is missing`},
		"platform missing":      {`"http://192.0.2.9:7000"`, `""`, `line 7: platform.url: is missing`},
		"platform TLS":          {`http://`, `https://`, `line 7: platform.url = "https://192.0.2.9:7000": asks for TLS`},
		"platform scheme":       {`http://`, `ftp://`, `line 7: platform.url = "ftp://192.0.2.9:7000": is not an HTTP URL`},
		"platform host":         {`192.0.2.9:7000`, `platform:7000`, `line 7: platform.url = "http://platform:7000": has a host that is not an IP address`},
		"view lease":            {`"vm_id"`, `"membership": {"view_lease": "4s"}, "vm_id"`, `line 3: membership.view_lease = "4s": does not outlast 2 heartbeat intervals; set it to more than "4s"`},
		"reclaim too early":     {`"vm_id"`, `"leases": {"reclaim_after": "4s"}, "vm_id"`, `line 3: leases.reclaim_after = "4s": is less than membership.view_lease, so that two VMs could use the same unit; set it to at least "5s"`},
		"probes":                {`"vm_id"`, `"membership": {"probe_attempts": 0}, "vm_id"`, `line 3: membership.probe_attempts = 0: is out of range`},
		"epoch length":          {`"vm_id"`, `"membership": {"epoch_length": "30ms"}, "vm_id"`, `line 3: membership.epoch_length = "30ms": is less than "1s"`},
		"retained epochs":       {`"vm_id"`, `"membership": {"retained_epochs": 1}, "vm_id"`, `line 3: membership.retained_epochs = 1: is out of range; give a number from 2 to 1000`},
		"body":                  {`"vm_id"`, `"limits": {"max_body_bytes": 4194305}, "vm_id"`, `line 3: limits.max_body_bytes = 4194305: is out of range`},
		"memory":                {`"vm_id"`, `"limits": {"memory_bytes": 70956647}, "vm_id"`, `line 3: limits.memory_bytes = 70956647: is less than the daemon, limits.answer_bytes and membership.record_limit may take; give at least 70956648, or 0`},
		"requests":              {`"vm_id"`, `"limits": {"request_bytes": 16777215}, "vm_id"`, `line 3: limits.request_bytes = 16777215: is less than the largest request takes while it is decoded; give at least 16777216, or lower limits.max_body_bytes`},
		"submission bytes":      {`"vm_id"`, `"limits": {"submission_bytes": 4194303}, "vm_id"`, `line 3: limits.submission_bytes = 4194303: is out of range; give a number from 4194304 to 1073741824`},
		"connections":           {`"vm_id"`, `"limits": {"connections": 0}, "vm_id"`, `line 3: limits.connections = 0: is out of range; give a number from 1 to 1000000`},
		"memory below answers":  {`"vm_id"`, `"limits": {"answer_bytes": 50000000}, "vm_id"`, `limits.memory_bytes = 100663296: is less than the daemon, limits.answer_bytes`},
		"memory below records":  {`"vm_id"`, `"membership": {"record_limit": 800000}, "vm_id"`, `limits.memory_bytes = 100663296: is less than the daemon, limits.answer_bytes`},
		"policy":                {`"vm_id"`, `"dispatch": {"policy": "best"}, "vm_id"`, `line 3: dispatch.policy = "best": is not a known value; use one of "shared", "random"`},
		"order":                 {`"vm_id"`, `"dispatch": {"order": ""}, "vm_id"`, `line 3: dispatch.order = "": is not a known value`},
		"log level":             {`"vm_id"`, `"log": {"level": "loud"}, "vm_id"`, `line 3: log.level = "loud": is not a known value`},
		"collector":             {`"vm_id"`, `"trace": {"exporter": "otlp"}, "vm_id"`, `trace.endpoint: is missing`},
		"ratio":                 {`"vm_id"`, `"trace": {"ratio": 1.1}, "vm_id"`, `line 3: trace.ratio = 1.1: is not a share`},
		"syntax":                {`"vm_id": `, `"vm_id" `, `correct the JSON syntax`},
		"long value":            {`"vm-1"`, `["` + strings.Repeat("x", 100) + `"]`, `xx...: is not a string`},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			must.StrContains(t, valid, tc.old)
			_, problems := settings.Parse([]byte(strings.Replace(valid, tc.old, tc.new, 1)))
			must.Len(t, 1, problems, must.Sprintf("%v", problems))
			must.StrContains(t, problems[0].String(), tc.want)
		})
	}
}

// Without a memory limit, any size of answers and records is accepted.
func TestNoMemoryLimitAcceptsAnySize(t *testing.T) {
	text := strings.Replace(valid, `"vm_id"`, `"limits": {"memory_bytes": 0, "answer_bytes": 1073741824}, "vm_id"`, 1)
	_, problems := settings.Parse([]byte(text))
	must.SliceEmpty(t, problems)
}

func TestLoadReportsEveryFault(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bad.jsonc")
	text := strings.NewReplacer(`"vm-1"`, `"vm 1"`, `"192.0.2.1:1"`, `"host:1"`, `"platform"`, `"platfrom"`).Replace(valid)
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))

	_, err := settings.Load(path)
	var all *settings.Error
	must.True(t, errors.As(err, &all))
	must.ErrorIs(t, err, settings.ErrFile)
	var paths []string
	for _, p := range all.Problems {
		paths = append(paths, p.Path)
	}
	must.Eq(t, []string{"vm_id", "listen.callers", "platfrom", "platform.url"}, paths)
	must.StrContains(t, err.Error(), path+": 4 problems\n  line 3: vm_id")
}

func TestLoadOfMissingFileIsAnError(t *testing.T) {
	_, err := settings.Load(filepath.Join(t.TempDir(), "none.jsonc"))
	must.ErrorIs(t, err, os.ErrNotExist)
	must.StrContains(t, err.Error(), "give the path")
}

// The reference file has each key with its default.
func TestReferenceMatchesDefaults(t *testing.T) {
	text, err := os.ReadFile("../examples/reference.jsonc")
	must.NoError(t, err)
	s, problems := settings.Parse(text)
	must.SliceEmpty(t, problems)
	for _, name := range keys(reflect.TypeFor[settings.Settings]()) {
		must.StrContains(t, string(text), `"`+name+`":`)
	}

	want := settings.Default()
	want.VMID, want.FailureDomain, want.FailureDomains = s.VMID, s.FailureDomain, s.FailureDomains
	want.Listen, want.Advertise = s.Listen, s.Advertise
	want.Platform.URL = s.Platform.URL
	must.SliceEmpty(t, s.Peers.Seeds)
	want.Peers = s.Peers
	must.True(t, reflect.DeepEqual(want, s), must.Sprintf("reference %+v, defaults %+v", s, want))
}

// keys lists the keys of a struct and of the structs within it.
func keys(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		field := t.Field(i)
		names = append(names, field.Tag.Get("json"))
		if field.Type.Kind() == reflect.Struct && field.Type.PkgPath() == t.PkgPath() {
			names = append(names, keys(field.Type)...)
		}
	}
	return names
}
