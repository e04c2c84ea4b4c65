package deploy

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	platformstandin "github.com/burdockward/burdockward/lab/standin/platform"
	"github.com/burdockward/burdockward/lab/standin/target"
)

// targetGroup is the process that serves the targets of one failure domain.
type targetGroup struct {
	process *process
	control string
	ids     []string
}

// startTargets starts a process with the targets of each failure domain.
func (d *Deployment) startTargets(context.Context) error {
	for _, domain := range d.options.Domains {
		if err := d.startTargetGroup(domain); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) startTargetGroup(domain string) error {
	name := domain + "-target"
	p, err := start(name, d.logPath(name), d.options.Lab, "target",
		"--count", strconv.Itoa(d.options.Targets),
		"--slots", strconv.Itoa(d.options.Slots),
		"--domain", domain,
		"--id-prefix", name,
		"--platform", d.platformURL)
	if err != nil {
		return err
	}
	group := &targetGroup{process: p}
	d.targets = append(d.targets, group)
	var line struct {
		Control string `json:"control"`
		Targets []struct {
			ID string `json:"id"`
		} `json:"targets"`
	}
	if err := p.firstLine(&line); err != nil {
		return err
	}
	group.control = "http://" + line.Control
	for _, t := range line.Targets {
		group.ids = append(group.ids, t.ID)
	}
	return nil
}

// TargetFault sets the faults of the first n targets of a failure domain and returns their ids.
func (d *Deployment) TargetFault(domain, n int, faults target.Faults) ([]string, error) {
	group := d.targets[domain]
	ids := group.ids[:n]
	query := url.Values{"target": ids}
	return ids, d.post(group.control+"/fault?"+query.Encode(), faults)
}

// PlatformFault sets the faults of the platform's stand-in.
func (d *Deployment) PlatformFault(faults platformstandin.Faults) error {
	return d.post(d.platformURL+"/fault", faults)
}

func (d *Deployment) post(url string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	_, err = d.call(context.Background(), http.MethodPost, url, bytes.NewReader(data))
	return err
}

// Starts returns every start that the targets logged.
func (d *Deployment) Starts(ctx context.Context) ([]target.Start, error) {
	var all []target.Start
	for _, group := range d.targets {
		data, err := d.get(ctx, group.control+"/starts?full=1")
		if err != nil {
			return nil, err
		}
		decoder := json.NewDecoder(bytes.NewReader(data))
		for decoder.More() {
			var s target.Start
			if err := decoder.Decode(&s); err != nil {
				return nil, err
			}
			all = append(all, s)
		}
	}
	return all, nil
}

// TargetStats returns the counters of all targets.
func (d *Deployment) TargetStats(ctx context.Context) ([]target.Stats, error) {
	var all []target.Stats
	for _, group := range d.targets {
		data, err := d.get(ctx, group.control+"/stats")
		if err != nil {
			return nil, err
		}
		var stats []target.Stats
		if err := json.Unmarshal(data, &stats); err != nil {
			return nil, err
		}
		all = append(all, stats...)
	}
	return all, nil
}
