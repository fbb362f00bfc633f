package sched

import (
	"iter"
	"slices"
)

// numberRange are the numbers from First to Last. It is recorded as a pair.
type numberRange [2]int

// numberSet is a set of numbers as sorted ranges that neither overlap nor touch.
type numberSet []numberRange

// find returns the index of the first range that ends at a number or later.
func (s numberSet) find(n int) int {
	i, _ := slices.BinarySearchFunc(s, n, func(r numberRange, n int) int {
		if r[1] < n {
			return -1
		}
		return 1
	})
	return i
}

func (s numberSet) contains(n int) bool {
	i := s.find(n)
	return i < len(s) && s[i][0] <= n
}

// count returns the number of elements.
func (s numberSet) count() int {
	n := 0
	for _, r := range s {
		n += r[1] - r[0] + 1
	}
	return n
}

// add adds the numbers from first to last.
func (s *numberSet) add(first, last int) {
	if first > last {
		return
	}
	from := s.find(first - 1)
	to := from
	for to < len(*s) && (*s)[to][0] <= last+1 {
		first, last = min(first, (*s)[to][0]), max(last, (*s)[to][1])
		to++
	}
	*s = slices.Replace(*s, from, to, numberRange{first, last})
}

// remove removes the numbers from first to last.
func (s *numberSet) remove(first, last int) {
	if first > last {
		return
	}
	from := s.find(first)
	to := from
	var rest []numberRange
	for ; to < len(*s) && (*s)[to][0] <= last; to++ {
		if r := (*s)[to]; r[0] < first {
			rest = append(rest, numberRange{r[0], first - 1})
		}
		if r := (*s)[to]; r[1] > last {
			rest = append(rest, numberRange{last + 1, r[1]})
		}
	}
	*s = slices.Replace(*s, from, to, rest...)
}

// removeAll removes the numbers of another set.
func (s *numberSet) removeAll(other numberSet) {
	for _, r := range other {
		s.remove(r[0], r[1])
	}
}

// ascending iterates over the elements from the lowest on.
func (s numberSet) ascending() iter.Seq[int] {
	return func(yield func(int) bool) {
		for _, r := range s {
			for n := r[0]; n <= r[1]; n++ {
				if !yield(n) {
					return
				}
			}
		}
	}
}

// ends returns the lowest and the highest elements, up to n of each, in ascending order.
func (s numberSet) ends(n int) []int {
	var low, high []int
	for k := range s.ascending() {
		if len(low) == n {
			break
		}
		low = append(low, k)
	}
	for i := len(s) - 1; i >= 0 && len(high) < n; i-- {
		for k := s[i][1]; k >= s[i][0] && len(high) < n; k-- {
			high = append(high, k)
		}
	}
	low = append(low, high...)
	slices.Sort(low)
	return slices.Compact(low)
}
