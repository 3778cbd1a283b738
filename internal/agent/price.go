package agent

import (
	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
)

// price fills in the cost of a charge from the configuration in force.
func price(c *linkv1.Charge, set *catalog.Set) {
	if set == nil {
		return
	}
	if c.Service != "" {
		if svc, ok := set.Services[c.Service]; ok {
			c.Micros = svc.MicrosPerCall
		}
		return
	}
	if v, ok := set.Versions[catalog.VersionName(c.Version)]; ok {
		c.Micros = c.InputTokens*v.InputMicros + c.OutputTokens*v.OutputMicros
	}
}
