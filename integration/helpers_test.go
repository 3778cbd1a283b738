package integration

import "tarragonbay.example/tarragonbay/internal/ports/fake"

// outage makes the table service and the object store refuse every call.
func outage() fake.Faults {
	return fake.Faults{
		Table:   fake.TableFaults{Outage: true},
		Objects: fake.ObjectFaults{Outage: true},
	}
}

func healthy() fake.Faults { return fake.Faults{} }
