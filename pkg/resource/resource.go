// Package resource defines quantities of host capacity and task demand.
package resource

import "fmt"

// MilliCPU is an amount of CPU in thousandths of a core.
type MilliCPU int64

// Megabytes is an amount of memory in units of 2^20 bytes.
type Megabytes int64

// Count is a number of GPUs, slots or connections.
type Count int64

// Cores returns n cores as MilliCPU.
func Cores(n int64) MilliCPU { return MilliCPU(n * 1000) }

// Gigabytes returns n units of 2^30 bytes as Megabytes.
func Gigabytes(n int64) Megabytes { return Megabytes(n * 1024) }

// Vector holds an amount of each kind of resource.
type Vector struct {
	CPU         MilliCPU  `json:"milli-cpu"`
	Memory      Megabytes `json:"memory-mb"`
	GPUs        Count     `json:"gpus"`
	Slots       Count     `json:"slots"`
	Connections Count     `json:"connections"`
}

// Add returns v plus w.
func (v Vector) Add(w Vector) Vector {
	return Vector{v.CPU + w.CPU, v.Memory + w.Memory, v.GPUs + w.GPUs, v.Slots + w.Slots, v.Connections + w.Connections}
}

// Sub returns v minus w.
func (v Vector) Sub(w Vector) Vector {
	return Vector{v.CPU - w.CPU, v.Memory - w.Memory, v.GPUs - w.GPUs, v.Slots - w.Slots, v.Connections - w.Connections}
}

// Times returns v multiplied by n.
func (v Vector) Times(n int64) Vector {
	return Vector{v.CPU * MilliCPU(n), v.Memory * Megabytes(n), v.GPUs * Count(n), v.Slots * Count(n), v.Connections * Count(n)}
}

// Fits reports whether no amount of v exceeds that of available.
func (v Vector) Fits(available Vector) bool {
	return v.CPU <= available.CPU && v.Memory <= available.Memory && v.GPUs <= available.GPUs &&
		v.Slots <= available.Slots && v.Connections <= available.Connections
}

// Negative reports whether any amount is negative.
func (v Vector) Negative() bool {
	return v.CPU < 0 || v.Memory < 0 || v.GPUs < 0 || v.Slots < 0 || v.Connections < 0
}

// IsZero reports whether every amount is zero.
func (v Vector) IsZero() bool { return v == Vector{} }

// Max returns the larger of v and w for each kind of resource.
func (v Vector) Max(w Vector) Vector {
	return Vector{
		max(v.CPU, w.CPU), max(v.Memory, w.Memory), max(v.GPUs, w.GPUs),
		max(v.Slots, w.Slots), max(v.Connections, w.Connections),
	}
}

// Min returns the smaller of v and w for each kind of resource.
func (v Vector) Min(w Vector) Vector {
	return Vector{
		min(v.CPU, w.CPU), min(v.Memory, w.Memory), min(v.GPUs, w.GPUs),
		min(v.Slots, w.Slots), min(v.Connections, w.Connections),
	}
}

// DominantShare returns the largest fraction of total that v uses of any kind of resource, as defined by Ghodsi et al.,
// "Dominant Resource Fairness", NSDI 2011. It ignores kinds of which total has none.
func (v Vector) DominantShare(total Vector) float64 {
	share := 0.0
	for _, p := range [...][2]int64{
		{int64(v.CPU), int64(total.CPU)},
		{int64(v.Memory), int64(total.Memory)},
		{int64(v.GPUs), int64(total.GPUs)},
		{int64(v.Slots), int64(total.Slots)},
		{int64(v.Connections), int64(total.Connections)},
	} {
		if p[1] > 0 {
			share = max(share, float64(p[0])/float64(p[1]))
		}
	}
	return share
}

// String formats v for logs and the reasons of scheduling decisions.
func (v Vector) String() string {
	return fmt.Sprintf("%.1f cores, %d MB, %d GPUs, %d slots, %d connections",
		float64(v.CPU)/1000, v.Memory, v.GPUs, v.Slots, v.Connections)
}
