package harness

import "testing"

// maxClusters bounds the clusters that stand at a time.
const maxClusters = 4

var clusterSlots = make(chan struct{}, maxClusters)

// takeSlot waits until another cluster may start, and frees the place when the
// test ends and its processes are gone.
func takeSlot(t testing.TB) {
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
}
