package publish

// The bounds of publication, from the target of 320 daemons, 4,100 upstreams,
// 24,000 revisions a day, 2,000 table reads and several hundred table writes a
// second, and 6 KB a second and 128 MB of control for each daemon.
const (
	// boundDaemons and boundUpstreams are the target size.
	boundDaemons   = 320
	boundUpstreams = 4100
	// boundReadsPerDaemon is table rows read a second by one daemon. Half of
	// the 2,000 reads are left for leases, claims, the ledger and operators.
	boundReadsPerDaemon = 1000.0 / boundDaemons
	// boundWritesPerRevision is rows written by one publication. At one
	// revision in 3.6 s it is under 2 of several hundred writes a second.
	boundWritesPerRevision = 6
	// boundBytesPerDaemon is bytes a second for polls and pulls, with
	// callOverhead for each call. A third of the 6 KB; heartbeats have
	// another third, and a third is spare.
	boundBytesPerDaemon = 2048
	// boundHerdSeconds is the time in which every daemon has a configuration
	// after all were restarted at once: within seconds.
	boundHerdSeconds = 10
	// boundStateBytesPerObject is memory for one upstream in the set in
	// force. Two sets exist while a revision is applied, so 4,100 upstreams
	// take at most 32 MB, a quarter of the 128 MB.
	boundStateBytesPerObject = 4 << 10
	// boundDeltaBytes is the size of a delta that changes one upstream. A
	// revision in 3.6 s is then at most 0.3 KB a second.
	boundDeltaBytes = 1 << 10
	// boundSnapshotBytes is the size of a packed snapshot at 4,100 upstreams,
	// so that 320 daemons that start at once read at most 160 MB from the
	// object store.
	boundSnapshotBytes = 512 << 10
)

// callOverhead is the bytes of HTTP around one call. TestBoundsWireBytes in
// the client keeps it true.
const callOverhead = 512
