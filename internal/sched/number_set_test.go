package sched

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

// Guards against occurrences that are lost or kept twice when ranges of them are split and joined.
func TestNumberSetAgainstAMap(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		var s numberSet
		model := map[int]bool{}
		for range 60 {
			first := r.IntN(40)
			last := first + r.IntN(6) - 1
			switch r.IntN(4) {
			case 0, 1:
				s.add(first, last)
				for n := first; n <= last; n++ {
					model[n] = true
				}
			case 2:
				s.remove(first, last)
				for n := first; n <= last; n++ {
					delete(model, n)
				}
			case 3:
				s.removeAll(numberSet{{first, first}, {first + 2, first + 3}})
				for _, n := range []int{first, first + 2, first + 3} {
					delete(model, n)
				}
			}
			want := slices.Sorted(maps.Keys(model))
			if got := slices.Collect(s.ascending()); !slices.Equal(got, want) || s.count() != len(want) {
				t.Fatalf("seed %d: got %v, count %d, want %v", seed, got, s.count(), want)
			}
			for i := 1; i < len(s); i++ {
				if s[i][0] <= s[i-1][1]+1 {
					t.Fatalf("seed %d: ranges %v touch", seed, s)
				}
			}
			ends := append(slices.Clone(want[:min(3, len(want))]), want[max(0, len(want)-3):]...)
			slices.Sort(ends)
			if got := s.ends(3); !slices.Equal(got, slices.Compact(ends)) {
				t.Fatalf("seed %d: ends %v of %v", seed, got, want)
			}
			if n := r.IntN(45); s.contains(n) != model[n] {
				t.Fatalf("seed %d: contains %d: %v", seed, n, s.contains(n))
			}
		}
	}
}

// Guards against done tasks that are forgotten, or found again under another index, when their memory is released.
func TestTaskTableAgainstAMap(t *testing.T) {
	for _, count := range []int{1, 7, 8, 9, 16, 17, 40, 100} {
		r := rand.New(rand.NewPCG(uint64(count), 1))
		table := newTaskTable(nil, count)
		done, used := map[int]bool{}, map[int]*task{}
		for range 300 {
			i := r.IntN(count)
			switch r.IntN(3) {
			case 0:
				used[i] = table.at(i)
			case 1:
				table.setDone(i)
				done[i] = true
			case 2:
				if done[i] {
					table.drop(i)
					delete(used, i)
				}
			}
			if table.isDone(i) != done[i] || used[i] != nil && table.at(i) != used[i] {
				t.Fatalf("%d tasks: task %d is done: %v, want %v", count, i, table.isDone(i), done[i])
			}
			n := 0
			for x := range table.used() {
				n += boolToInt(used[x.index] == x)
			}
			if n != len(used) {
				t.Fatalf("%d tasks: %d of %d used tasks are found", count, n, len(used))
			}
			if x := table.firstUnused(); x != nil && (done[x.index] || used[x.index] != nil) {
				t.Fatalf("%d tasks: task %d counts as unused", count, x.index)
			}
			restored := newTaskTable(nil, count)
			if n := restored.restoreDone(table.doneBits()); n != len(done) {
				t.Fatalf("%d tasks: %d of %d done tasks are restored", count, n, len(done))
			}
		}
	}
}
