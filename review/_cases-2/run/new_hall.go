package main

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"time"

	"bitternwing/internal/wire"
	"bitternwing/review/_cases-2/lab"
)

func init() { cases["new_hall"] = newHall }

// newHall: the cloud offers a machine type in a further zone. All controllers are restarted one after the other. Then
// jobs are submitted that ask for the zone.
func newHall(folder string) {
	const hall = "zamyn-edge"
	l := lab.New(lab.Uln(), folder)
	var grown atomic.Bool
	grown.Store(!l.Trouble)
	l.CloudVia = func(c *lab.Controller, direct string) string {
		proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: direct})
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			l.Fail("proxy: %v", err)
		}
		go func() {
			_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/catalog" {
					proxy.ServeHTTP(w, r)
					return
				}
				rig := l.Site.Type
				rig.Zones = append([]string(nil), rig.Zones...)
				if grown.Load() {
					rig.Zones = append(rig.Zones, hall)
				}
				l.Log("cloud: %s asks for the catalog, %s is in %v", c.Name, rig.Name, rig.Zones)
				w.Header().Set("Content-Type", "application/json")
				_ = json.NewEncoder(w).Encode(wire.Catalog{Types: []wire.MachineType{rig}})
			}))
		}()
		return listener.Addr().String()
	}
	l.Start(2)
	l.AwaitLeader(10 * time.Second)
	time.Sleep(5 * time.Second)
	grown.Store(true)
	l.Log("cloud: the catalog offers %s in %s", l.Site.Type.Name, hall)
	for _, c := range l.Controllers {
		l.Log("restart of %s", c.Name)
		l.Kill(c)
		time.Sleep(3 * time.Second)
		l.Launch(c)
		l.AwaitHealthy(20*time.Second, c)
		time.Sleep(10 * time.Second)
	}
	refused := 0
	var last lab.Answer
	for i, c := range l.Controllers {
		job := lab.Batch("run-00050"+string(rune('0'+i)), "altanbroker", 1, 1, 5)
		job.Zone = hall
		body := l.Submission(job)
		for try := 0; try < 5; try++ {
			last = l.Ask("user", c, "POST", wire.JobsPath, body, 5*time.Second)
			if last.Status == 422 {
				refused++
			}
			if last.Status == 201 || last.Status == 200 || last.Status == 422 {
				break
			}
			time.Sleep(time.Second)
		}
	}
	l.Verdict(refused > 0, "%d of 3 controllers refused a job that fits a machine type of the catalog; the last answer: %s", refused, last)
}
