package scale

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// writeSettings writes the settings file of one controller. Each controller has a separate file, which may list the
// controllers of other regions with the addresses of relays.
func (c *ControlCluster) writeSettings(self *Controller) error {
	if err := os.WriteFile(self.settings, []byte(c.settingsOf(self)), 0o600); err != nil {
		return fmt.Errorf("scale: write settings of controller %s: %w", self.Name, err)
	}
	return nil
}

// settingsOf returns the text of a controller's settings file.
func (c *ControlCluster) settingsOf(self *Controller) string {
	var text strings.Builder
	fmt.Fprintf(&text, "controllers {\n  folder = %q\n}\n", filepath.Dir(self.Folder))
	for _, controller := range c.Controllers {
		fmt.Fprintf(&text, "controller %q {\n  listen = %q\n  raft   = %q\n  region = %q\n  zone   = %q\n  dial   = %q\n}\n", controller.Name,
			controller.Address, self.dialAddress(controller.Raft), controller.Region, controller.Zone, self.dialAddress(controller.Address))
	}
	return text.String()
}

// dialAddress returns the address that this controller dials to reach an address of another controller: its relay if
// there is one.
func (c *Controller) dialAddress(address string) string {
	if relay, ok := c.Via[address]; ok {
		return relay
	}
	return address
}
