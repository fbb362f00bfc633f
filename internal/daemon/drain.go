package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// drainKey is the store key of the hosts drained by operators, in addition to those that the platform marks as leaving.
const drainKey = "drained-hosts"

// maxDrainAttempts bounds the compare-and-swap attempts on drainKey while other operators change it or replies are lost.
const maxDrainAttempts = 10

// drainRecord is the stored value of drainKey.
type drainRecord struct {
	Hosts []ident.HostID `json:"hosts"`
	Nonce string         `json:"nonce"`
}

// drainedHosts caches the last set of drained hosts read from the store, for use while the store is unavailable.
type drainedHosts struct {
	mu    sync.Mutex
	hosts []ident.HostID
}

func readDrainedHosts(ctx context.Context, store platform.Store) (drainRecord, platform.Revision, error) {
	var r drainRecord
	item, err := store.Get(ctx, drainKey)
	if errors.Is(err, platform.ErrNotFound) {
		return r, 0, nil
	}
	if err != nil {
		return r, 0, fmt.Errorf("read drained hosts: %w", err)
	}
	if err := json.Unmarshal(item.Value, &r); err != nil {
		return r, 0, fmt.Errorf("decode drained hosts: %w", err)
	}
	return r, item.Revision, nil
}

// listHosts returns the platform's host list, with the hosts drained by operators marked as leaving.
func (d *Daemon) listHosts(ctx context.Context) ([]platform.Host, error) {
	hosts, err := d.hosts.Hosts(ctx)
	if err != nil {
		return nil, fmt.Errorf("read host list: %w", err)
	}
	record, _, err := readDrainedHosts(ctx, d.store)
	d.drainedHosts.mu.Lock()
	defer d.drainedHosts.mu.Unlock()
	if err == nil {
		d.drainedHosts.hosts = record.Hosts
	}
	for i := range hosts {
		if slices.Contains(d.drainedHosts.hosts, hosts[i].ID) {
			hosts[i].State = platform.HostLeaving
		}
	}
	return hosts, nil
}

// drainHost adds a host to the set of drained hosts, or removes it if undo is set, and returns the new set.
func (d *Daemon) drainHost(ctx context.Context, host ident.HostID, undo bool) ([]ident.HostID, error) {
	for range maxDrainAttempts {
		record, revision, err := readDrainedHosts(ctx, d.store)
		if err != nil {
			return nil, err
		}
		if slices.Contains(record.Hosts, host) != undo {
			return record.Hosts, nil
		}
		if undo {
			record.Hosts = slices.DeleteFunc(record.Hosts, func(h ident.HostID) bool { return h == host })
		} else {
			record.Hosts = append(record.Hosts, host)
		}
		record.Nonce = ident.Random("n")
		value, err := json.Marshal(record)
		if err != nil {
			return nil, fmt.Errorf("encode drained hosts: %w", err)
		}
		_, err = d.store.CompareAndSwap(ctx, drainKey, revision, value, 0)
		switch {
		case err == nil:
			return record.Hosts, nil
		case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrUnknownOutcome):
			// The next attempt reads the stored set again and writes only if the change is still missing.
		default:
			return nil, fmt.Errorf("write drained hosts: %w", err)
		}
	}
	return nil, fmt.Errorf("write drained hosts: all %d attempts had a conflict or no reply", maxDrainAttempts)
}
