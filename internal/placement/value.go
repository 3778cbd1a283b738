package placement

// RequestValue estimates how much an answer is worth to its caller, relative to the mean of
// the requests of its route: the users' rules weigh a generation by its size. It answers
// long prompts in a burst, which were kept at the small model since a larger one holds up
// the others: an answer that is worth several others may. The zero value is ready to use.
type RequestValue struct{ meanSize float64 }

const (
	// fixedValue is the part of the value that does not depend on the size.
	fixedValue = 0.3
	// maxRelativeSize bounds the size relative to the mean.
	maxRelativeSize = 4
	// sizeWeight is the weight of one request in the mean size.
	sizeWeight = 0.02
)

// Of adds a request of a size in tokens to the mean and returns its value.
func (v *RequestValue) Of(size float64) float64 {
	if v.meanSize == 0 {
		v.meanSize = size
	}
	v.meanSize += sizeWeight * (size - v.meanSize)
	if v.meanSize <= 0 {
		return 1
	}
	return fixedValue + (1-fixedValue)*min(maxRelativeSize, size/v.meanSize)
}
