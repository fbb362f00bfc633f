package coordinator

import (
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
)

// Guards against a job that is cancelled by a mark that expired before it was submitted, when a late watch returns both.
func TestExpiredMarkDoesNotRemain(t *testing.T) {
	mark, job := platform.Item{Key: CancelKey("1")}, platform.Item{Key: JobKey("1")}
	items := remaining([]platform.Event{{Item: mark}, {Item: platform.Item{Key: mark.Key}, Deleted: true}, {Item: job}})
	if len(items) != 1 || items[0].Key != job.Key {
		t.Errorf("got %v, want the job only", items)
	}
}
