package sched

import "slices"

// A queue may be sent from one service to another and back while a job waits or runs. The next leader finds the job's runs only if it
// knows all services that may hold them, so the job's progress names each one before tasks start there. A job whose queue stays with the
// service that it had at acceptance needs no record.

// possibleServices returns the services whose servers may hold runs of the job: those of its record and the present one of its queue.
func (j *job) possibleServices(present ServiceID) []ServiceID {
	all := append([]ServiceID{j.spec.Queue.Service}, j.services...)
	if !slices.Contains(all, present) {
		all = append(all, present)
	}
	return all
}

// serviceRecorded reports whether the records of a job name a service.
func (j *job) serviceRecorded(id ServiceID) bool {
	return id == j.spec.Queue.Service || slices.Contains(j.services[:j.recordedServices], id)
}

// recordService reports whether tasks of a job may start on a service's servers. If the records of the job don't name the service, it is
// added to the progress.
func (s *Scheduler) recordService(j *job, id ServiceID) bool {
	if j.serviceRecorded(id) {
		return true
	}
	if !slices.Contains(j.services, id) {
		j.services = append(j.services, id)
		s.markDirty(j)
	}
	return false
}

// noteRecordedServices notes that the store has a job's progress.
func (s *Scheduler) noteRecordedServices(j *job, p Progress) {
	if len(p.Services) > j.recordedServices {
		j.recordedServices = len(p.Services)
		s.passNeeded = true
	}
}

// mayRunUnlisted reports whether a former leader may have started tasks of a group on a server whose inventory isn't known.
func (p *pass) mayRunUnlisted(r *rankedGroup) bool {
	j, longRunning := r.group.job, r.group.step.LongRunning
	if p.isBlocked(unknownInventory{r.queue.Service, longRunning}) || p.isBlocked(unknownInventory{j.spec.Queue.Service, longRunning}) {
		return true
	}
	return slices.ContainsFunc(j.services, func(id ServiceID) bool { return p.isBlocked(unknownInventory{id, longRunning}) })
}
