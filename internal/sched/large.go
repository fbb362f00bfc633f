package sched

import "slices"

// isLargeInService reports whether a task of the group is large for some server of the service.
func (s *Scheduler) isLargeInService(g *group, id ServiceID) bool {
	if g.isLargeVersion != s.fleetVersion {
		large := func(v *server) bool { return large(g.step, v) }
		g.isLargeVersion, g.isLarge = s.fleetVersion, slices.ContainsFunc(s.services[id], large)
	}
	return g.isLarge
}

// large reports whether a task of a step needs so much of a server that a stream of small tasks would starve it.
func large(step *Step, v *server) bool {
	c, whole := step.Charge(), v.info.Capacity
	return float64(c.CPU) >= largeShare*float64(whole.CPU) || float64(c.GPUs) >= largeShare*float64(whole.GPUs) && c.GPUs > 1
}
