package coordinator

import (
	"fmt"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
)

// registerAdmissionGauges registers how the forecasts of the present term have turned out.
func (c *Coordinator) registerAdmissionGauges() {
	for kind, read := range map[string]func(sched.AdmissionCounts) uint64{
		"never-in-time":    func(n sched.AdmissionCounts) uint64 { return n.NeverInTime },
		"forecast-late":    func(n sched.AdmissionCounts) uint64 { return n.Forecast },
		"forecast-in-time": func(n sched.AdmissionCounts) uint64 { return n.ForecastInTime },
	} {
		c.config.Metrics.NewGauge(fmt.Sprintf("rosemaryspoke_admission{kind=%q}", kind), c.schedulerGauge(func(s *sched.Scheduler) float64 {
			return float64(read(s.AdmissionCounts()))
		}))
	}
}
