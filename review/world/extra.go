package main

import (
	"bytes"
	"net/http"
	"syscall"
	"time"
)

// owner returns the daemon that the store's claim of a zone names.
func (w *world) owner(zone string) *daemon {
	w.store.mu.Lock()
	var value []byte
	for id := range w.store.rows {
		if id.table == "owners" && id.key == zone {
			value = nil
			w.store.mu.Unlock()
			value = w.store.value("owners", zone)
			w.store.mu.Lock()
			break
		}
	}
	w.store.mu.Unlock()
	for _, d := range w.daemons {
		if bytes.Contains(value, []byte(d.name)) {
			return d
		}
	}
	return nil
}

func pendingCase(signal syscall.Signal) func(w *world, trouble bool) bool {
	return func(w *world, trouble bool) bool {
		for range 4 {
			w.submit(w.newJob("fill", zones[0], normal, step{Count: 1, CPU: 30000, Mem: 64, Estimate: 60000, takes: 80 * time.Second}))
		}
		time.Sleep(time.Second)
		for range 20 {
			w.submit(w.newJob("waits", zones[0], patient, step{Count: 1, CPU: 30000, Mem: 64, Estimate: 60000, takes: 80 * time.Second}))
		}
		time.Sleep(6 * time.Second)
		var far *daemon
		for _, d := range w.daemons {
			if d.zone == zones[1] {
				far = d
			}
		}
		o := w.owner(zones[0])
		if o == nil {
			return false
		}
		if trouble {
			w.disrupt("%s, owner of %s, gets %v", o.name, zones[0], signal)
			o.signal(signal)
		}
		began := time.Now()
		least, at := 1e9, time.Duration(0)
		low := 0
		for time.Since(began) < 10*time.Second {
			status, answer := w.call(far, http.MethodGet, patient, nil)
			n, _ := answer["pending"].(float64)
			w.rec.line("pending %d %v", status, n)
			begun := 0
			for _, j := range w.order {
				if j.label == "waits" && w.starts[j.ID+".0.0.0"] > 0 {
					begun++
				}
			}
			if status == 200 && 2*n < float64(20-begun) {
				low++
				if n < least {
					least, at = n, time.Since(began)
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
		if low > 0 {
			w.broken("MIXED: pending was %v at %v, %d low answers of 20 ms", least, at, low)
		}
		return true
	}
}
