package deploy

import (
	"encoding/json"
	"net/netip"
	"os"
)

// vmSettings holds the keys of a daemon's settings file that the lab sets. The daemon's defaults
// hold for all other keys.
type vmSettings struct {
	VMID           string            `json:"vm_id"`
	FailureDomain  string            `json:"failure_domain"`
	FailureDomains []string          `json:"failure_domains"`
	Listen         listenSettings    `json:"listen"`
	Platform       platformSettings  `json:"platform"`
	Peers          peerSettings      `json:"peers"`
	Dispatch       *dispatchSettings `json:"dispatch,omitempty"`
	Log            logSettings       `json:"log"`
}

type listenSettings struct {
	Callers netip.AddrPort `json:"callers"`
	Peers   netip.AddrPort `json:"peers"`
	Admin   netip.AddrPort `json:"admin"`
}

type platformSettings struct {
	URL string `json:"url"`
}

type peerSettings struct {
	Seeds []netip.AddrPort `json:"seeds"`
}

type dispatchSettings struct {
	Policy string `json:"policy"`
}

type logSettings struct {
	Level string `json:"level"`
}

// write writes the settings file.
func (s vmSettings) write(path string) error {
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}
