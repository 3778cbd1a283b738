// Package bench measures an entry and an agent against the same load sent
// straight to the engine stand-in, and checks the counts that the targets
// bound. Nothing stands on the links between the processes.
package bench
