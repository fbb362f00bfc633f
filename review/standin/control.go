package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
)

// The one tenant and queue of the scripts.
const (
	callerHost = "quotes.example"
	callerKey  = "key-1"
	queueName  = "price"
	service    = "quoting"
)

// world is the platform with its backend servers.
type world struct {
	store *store

	mu      sync.Mutex
	workers map[string]*worker
}

// runPlatform serves the store and the control interface until the process is ended.
func runPlatform(storeAddress, controlAddress string) {
	w := &world{store: newStore(), workers: map[string]*worker{}}
	go w.store.expire()
	server := &http.Server{
		Addr: storeAddress, Handler: w.store,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return net0.withCaller(w.store.withChannel(ctx), c)
		},
	}
	go func() { fatal("store: %v", server.ListenAndServe()) }()
	mux := http.NewServeMux()
	mux.HandleFunc("/store", w.controlStore)
	mux.HandleFunc("/config", w.controlConfig)
	mux.HandleFunc("/worker", w.controlWorker)
	mux.HandleFunc("/leader", w.controlLeader)
	mux.HandleFunc("/network", w.controlNetwork)
	mux.HandleFunc("/entry", w.controlEntry)
	fatal("control: %v", http.ListenAndServe(controlAddress, mux))
}

// controlStore sets how the store treats calls: mode is up, busy (503) or silent (no response); silence=channels makes the
// channels that are open now silent for good, while new ones work.
func (w *world) controlStore(_ http.ResponseWriter, r *http.Request) {
	if mode := r.FormValue("mode"); mode != "" {
		w.store.setMode(mode)
		record("store is %s", mode)
	}
	if r.FormValue("silence") == "channels" {
		record("store: %d open channels go silent", w.store.silenceChannels())
	}
}

// controlConfig writes a configuration with one tenant and one queue, as the operator.
func (w *world) controlConfig(out http.ResponseWriter, r *http.Request) {
	version, _ := strconv.Atoi(r.FormValue("version"))
	attempts, _ := strconv.Atoi(r.FormValue("attempts"))
	value, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": queueName, "host": callerHost, "prefix": "/price/", "service": service, "priority": 0, "maxAttempts": attempts,
			"stretch": 3.0, "targetDurationMs": 3000,
		}},
		"services": []any{map[string]any{"name": service, "enforcesCapacity": false}},
		"tenants":  []any{map[string]any{"name": "team-1", "apiKeys": []string{callerKey}, "weight": 100, "maxCount": map[string]int{}}},
		"limits":   map[string]any{"maxBodyBytes": 262144},
	})
	if !w.store.writeAsOutsider("op/config", value) {
		http.Error(out, "the store is down", http.StatusServiceUnavailable)
		return
	}
	record("operator: configuration %d accepted by the store", version)
}

// controlWorker starts a life of a backend server (do=start with id, address, cpu, mem, label), crashes it (do=crash), makes it
// drain (do=drain with remaining) or is reached over a link with a delay (do=link with ms).
func (w *world) controlWorker(out http.ResponseWriter, r *http.Request) {
	id := r.FormValue("id")
	number := func(name string) int64 { n, _ := strconv.ParseInt(r.FormValue(name), 10, 64); return n }
	w.mu.Lock()
	v := w.workers[id]
	w.mu.Unlock()
	switch r.FormValue("do") {
	case "start":
		started, err := startWorker(w.store, id, r.FormValue("address"), r.FormValue("label"), number("cpu"), number("mem"))
		if err != nil {
			http.Error(out, err.Error(), http.StatusInternalServerError)
			return
		}
		w.mu.Lock()
		w.workers[id] = started
		w.mu.Unlock()
	case "crash":
		v.crash()
	case "drain":
		v.drain(number("remaining"))
	case "link":
		v.setLinkDelay(number("ms"))
	default:
		http.Error(out, "unknown action", http.StatusBadRequest)
	}
}

// controlEntry writes an entry of the registry as another writer than a server.
func (w *world) controlEntry(out http.ResponseWriter, r *http.Request) {
	key, value := "servers/"+r.FormValue("id"), r.FormValue("value")
	if !w.store.writeAsOutsider(key, []byte(value)) {
		http.Error(out, "the store is down", http.StatusServiceUnavailable)
		return
	}
	record("another writer: %s = %s", key, value)
}

// controlLeader prints the member that the system's leader record names, for scripts that stop the leader.
func (w *world) controlLeader(out http.ResponseWriter, _ *http.Request) {
	value := string(w.store.read("cell/leader"))
	_, rest, _ := strings.Cut(value, `"member":"`)
	member, _, _ := strings.Cut(rest, `"`)
	fmt.Fprintln(out, member)
	if os.Getenv("VERBOSE") != "" {
		record("leader record %s", value)
	}
}
