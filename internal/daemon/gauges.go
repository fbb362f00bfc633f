package daemon

// registerGauges registers the gauges that read the current state of the daemon's components.
func registerGauges(d *Daemon) {
	for name, read := range map[string]func() float64{
		"rosemaryspoke_queued_tasks":          func() float64 { return float64(d.dispatcher.Backlog()) },
		"rosemaryspoke_queued_bytes":          func() float64 { return float64(d.dispatcher.QueuedBytes()) },
		"rosemaryspoke_held_requests":         func() float64 { return float64(d.requests.Held()) },
		"rosemaryspoke_owned_backend_servers": func() float64 { return float64(len(d.table.OwnedHosts())) },
		"rosemaryspoke_running_tasks":         d.runningTasks,
		"rosemaryspoke_member_epoch":          func() float64 { return float64(d.members.View().Epoch) },
		"rosemaryspoke_configuration_version": func() float64 { return float64(d.rollout.Current().Version()) },
		"rosemaryspoke_configuration_fresh":   func() float64 { return boolGauge(d.rollout.Fresh()) },
		"rosemaryspoke_store_healthy":         func() float64 { return boolGauge(d.members.StoreHealthy()) },
		"rosemaryspoke_ready":                 func() float64 { return boolGauge(d.Ready()) },
		"rosemaryspoke_quarantined_hosts":     func() float64 { return float64(d.blame.Dump().Quarantined) },
		"rosemaryspoke_unconfirmed_results":   func() float64 { return float64(d.dispatcher.UnconfirmedResults()) },
	} {
		d.metrics.NewGauge(name, read)
	}
}

func (d *Daemon) runningTasks() float64 {
	n := 0
	for _, u := range d.pool.TeamUsage() {
		n += u.Running
	}
	return float64(n)
}

func boolGauge(on bool) float64 {
	if on {
		return 1
	}
	return 0
}
