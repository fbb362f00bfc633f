package main

import (
	"encoding/json"
	"fmt"
	"net/http"
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
		ConnContext: links.withCaller,
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

// controlStore sets how the store treats calls: mode is up or silent (no response).
func (w *world) controlStore(_ http.ResponseWriter, r *http.Request) {
	mode := r.FormValue("mode")
	w.store.setMode(mode)
	record("store is %s", mode)
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

// controlWorker starts a backend server (do=start with id, address, cpu, mem, label) or puts it behind a link with a delay
// (do=link with ms).
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

// controlLeader prints the member that the system's leader record names.
func (w *world) controlLeader(out http.ResponseWriter, _ *http.Request) {
	value := string(w.store.read("cell/leader"))
	_, rest, _ := strings.Cut(value, `"member":"`)
	member, _, _ := strings.Cut(rest, `"`)
	fmt.Fprintln(out, member)
}
