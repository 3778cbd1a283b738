package bench

import (
	"flag"
	"strconv"
	"strings"
)

// sizeList is a flag of numbers with commas.
type sizeList struct{ numbers []int }

func sizes(name, value, usage string) *sizeList {
	var s sizeList
	if err := s.Set(value); err != nil {
		panic(err)
	}
	flag.Var(&s, name, usage)
	return &s
}

// String returns the numbers as they are written.
func (s *sizeList) String() string {
	var out []string
	for _, n := range s.numbers {
		out = append(out, strconv.Itoa(n))
	}
	return strings.Join(out, ",")
}

// Set reads the numbers.
func (s *sizeList) Set(text string) error {
	s.numbers = nil
	for part := range strings.SplitSeq(text, ",") {
		n, err := strconv.Atoi(part)
		if err != nil {
			return err
		}
		s.numbers = append(s.numbers, n)
	}
	return nil
}
