package harness

import "tarragonbay.example/tarragonbay/internal/ports/wire"

// BackupTable keeps a copy of the table service's rows.
func (c *Cluster) BackupTable() {
	c.T.Helper()
	postJSON(c.T, "http://"+c.Platform.Ready.Address+wire.PathAdminBackup, wire.Empty{})
}

// RestoreTable puts the copy back, as after a loss of data.
func (c *Cluster) RestoreTable() {
	c.T.Helper()
	c.fault("restore the table from a backup")
	postJSON(c.T, "http://"+c.Platform.Ready.Address+wire.PathAdminRestore, wire.Empty{})
}
