package placement

import (
	"math/bits"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// Levels that classify hosts by free capacity. Each level covers twice the amount of the one below it; the highest has
// no upper bound.
const (
	cpuLevels    = 12 // below 128 milli-CPU, below 256, ..., from 131 cores
	memoryLevels = 12 // below 128 MB, below 256 MB, ..., from 128 GB
	slotLevels   = 5  // 0, 1, 2, 4, 8 and more
	gpuLevels    = 6  // host without GPUs; otherwise free GPUs 0, 1, 2, 4, 8 and more
	columns      = memoryLevels * slotLevels
)

// capacityClass groups hosts with similar free capacity by their GPU level, CPU level and column. A column is a
// combination of memory level and slot level.
type capacityClass struct{ gpu, cpu, column int8 }

// noClass is the class of hosts that are not in the index: leaving ones and those with a negative free amount.
var noClass = capacityClass{gpu: -1}

// levelOf returns the number of bits of the amount in units, at most the highest level.
func levelOf[N ~int64](amount N, unit int64, levels int) int8 {
	return int8(min(bits.Len64(uint64(max(int64(amount), 0)/unit)), levels-1))
}

// classOf returns the class of a host with the given free and total capacity.
func classOf(free, capacity resource.Vector) capacityClass {
	if free.Negative() {
		return noClass
	}
	c := capacityClass{
		cpu:    levelOf(free.CPU, 128, cpuLevels),
		column: levelOf(free.Memory, 128, memoryLevels)*slotLevels + levelOf(free.Slots, 1, slotLevels),
	}
	if capacity.GPUs > 0 {
		c.gpu = 1 + levelOf(free.GPUs, 1, gpuLevels-1)
	}
	return c
}

// classGroup holds the hosts of one class.
type classGroup struct {
	hosts []*host
	// maxFree is an upper bound of the free capacity of each host in the group. Adding a host raises it, and a full
	// scan resets it to the exact maximum, so that a demand that no host fits is not searched for again.
	maxFree resource.Vector
}

// index finds hosts by free capacity. For each pair of GPU and CPU level, a bitmap marks the columns that have hosts.
type index struct {
	nonEmpty [gpuLevels][cpuLevels]uint64
	groups   map[capacityClass]*classGroup
}

// update moves a host to the class that matches its free capacity.
func (x *index) update(h *host) {
	c := classOf(h.free, h.capacity)
	if c == h.class {
		if c != noClass {
			g := x.groups[c]
			g.maxFree = g.maxFree.Max(h.free)
		}
		return
	}
	x.remove(h)
	h.class = c
	if c == noClass {
		return
	}
	g, ok := x.groups[c]
	if !ok {
		if x.groups == nil {
			x.groups = map[capacityClass]*classGroup{}
		}
		g = &classGroup{}
		x.groups[c] = g
	}
	if len(g.hosts) == 0 {
		g.maxFree = h.free
		x.nonEmpty[c.gpu][c.cpu] |= 1 << c.column
	} else {
		g.maxFree = g.maxFree.Max(h.free)
	}
	h.indexPosition = len(g.hosts)
	g.hosts = append(g.hosts, h)
}

// remove deletes a host from the index.
func (x *index) remove(h *host) {
	if h.class == noClass {
		return
	}
	g := x.groups[h.class]
	end := len(g.hosts) - 1
	g.hosts[h.indexPosition] = g.hosts[end]
	g.hosts[h.indexPosition].indexPosition = h.indexPosition
	g.hosts[end] = nil
	g.hosts = g.hosts[:end]
	if end == 0 {
		x.nonEmpty[h.class.gpu][h.class.cpu] &^= 1 << h.class.column
	}
	h.class = noClass
}

// columnMask returns the columns whose hosts may have enough memory and slots.
func columnMask(demand resource.Vector) uint64 {
	slots := levelOf(demand.Slots, 1, slotLevels)
	row := uint64(1)<<slotLevels - 1
	row &^= 1<<slots - 1
	var mask uint64
	for m := levelOf(demand.Memory, 128, memoryLevels); m < memoryLevels; m++ {
		mask |= row << (m * slotLevels)
	}
	return mask
}

// hostQuery describes a bounded search in the index of one shard.
type hostQuery struct {
	demand       resource.Vector
	largestFirst bool   // start with the classes with the most free capacity instead of the least
	maxPerClass  int    // hosts accepted per class, of at most twice as many examined; 0 means no bound
	maxTotal     int    // hosts accepted in total
	start        uint64 // offset of the first host examined in a class
}

// find calls visit for hosts with enough free capacity until it has accepted maxTotal of them. It returns the number
// of accepted hosts and whether hosts that may fit were left out because of the bound per class.
func (x *index) find(q hostQuery, visit func(*host) bool) (accepted int, more bool) {
	columnsFitting := columnMask(q.demand)
	lowest := levelOf(q.demand.CPU, 128, cpuLevels)
	gpu := int8(0)
	if q.demand.GPUs > 0 {
		gpu = 1 + levelOf(q.demand.GPUs, 1, gpuLevels-1)
	}
	for ; gpu < gpuLevels; gpu++ {
		// Hosts with GPUs are used for work without GPUs only when no other host fits.
		if q.demand.GPUs == 0 && accepted > 0 {
			break
		}
		for step := range cpuLevels - lowest {
			cpu := lowest + step
			if q.largestFirst {
				cpu = cpuLevels - 1 - step
			}
			for filled := x.nonEmpty[gpu][cpu] & columnsFitting; filled != 0; {
				column := bits.TrailingZeros64(filled)
				if q.largestFirst {
					column = 63 - bits.LeadingZeros64(filled)
				}
				filled &^= 1 << column
				n, truncated := x.groups[capacityClass{gpu, cpu, int8(column)}].find(q, q.maxTotal-accepted, visit)
				accepted += n
				more = more || truncated
				if accepted >= q.maxTotal {
					return accepted, more
				}
			}
		}
	}
	return accepted, more
}

// find is like index.find for the hosts of one class, with total as the bound of accepted hosts.
func (g *classGroup) find(q hostQuery, total int, visit func(*host) bool) (accepted int, more bool) {
	if !q.demand.Fits(g.maxFree) {
		return 0, false
	}
	n := len(g.hosts)
	examine, accept := n, total
	if q.maxPerClass > 0 {
		examine, accept = min(n, 2*q.maxPerClass), min(total, q.maxPerClass)
	}
	var maxFree resource.Vector
	at := int(q.start % uint64(n))
	for range examine {
		h := g.hosts[at]
		if at++; at == n {
			at = 0
		}
		maxFree = maxFree.Max(h.free)
		if q.demand.Fits(h.free) && visit(h) {
			if accepted++; accepted == accept {
				return accepted, examine < n
			}
		}
	}
	if examine == n {
		g.maxFree = maxFree
	}
	return accepted, examine < n
}
