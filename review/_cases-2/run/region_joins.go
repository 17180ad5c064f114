package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"sync"
	"time"

	"bitternwing/internal/wire"
	"bitternwing/review/_cases-2/lab"
)

func init() { cases["region_joins"] = regionJoins }

// gpusInUse counts the GPUs of one team's tasks on all machines, as the workers see it.
type gpusInUse struct {
	mu        sync.Mutex
	now, most float64
}

// regionJoins: the controllers of one region divide a team's limit. The limit falls, and the region's controllers are
// restarted one after the other with it. Then a second region joins. The team has work in both.
func regionJoins(folder string) {
	const team, before, limit = "riskdesk-00", 80.0, 40.0
	site := lab.Pos()
	site.Type.BootS = 1
	first := lab.New(site, folder)
	secondSite := site
	secondSite.Name = "uln"
	second := first.Sibling(secondSite)
	first.Prepare(10)
	second.Prepare(10)
	limits := func(l *lab.Lab, most float64) {
		l.Site.Teams = []lab.Team{{Name: team, GPUs: most / 2, Most: most}, {Name: "riskdesk-01", GPUs: 24, Most: 80}}
	}
	addresses := func(l *lab.Lab) (all []string) {
		for _, c := range l.Controllers {
			all = append(all, c.Internal)
		}
		return all
	}
	regions := []any{map[string]any{"name": "pos", "part": 1, "controllers": addresses(first)},
		map[string]any{"name": "uln", "part": 0, "controllers": addresses(second)}}
	for name, l := range map[string]*lab.Lab{"pos": first, "uln": second} {
		file := filepath.Join(first.Dir, "operator-"+name+".json")
		data, _ := json.Marshal(map[string]any{"regions": map[string]any{"name": name, "all": regions}})
		if err := os.WriteFile(file, data, 0o600); err != nil {
			first.Fail("operators' settings: %v", err)
		}
		l.Env = append(l.Env, "BITTERNWING_OPERATOR="+file)
	}
	var use gpusInUse
	add := func(gpus float64) {
		use.mu.Lock()
		defer use.mu.Unlock()
		use.now += gpus
		if use.now > use.most {
			use.most = use.now
			first.Log("the tasks of %s use %.0f GPUs", team, use.most)
		}
	}
	for _, l := range []*lab.Lab{first, second} { // all tasks are of this team and take one GPU
		l.Jobs.OnRun = func(string, string) { add(1) }
		l.Jobs.OnEnd = func(string, string) { add(-1) }
	}

	start := limit
	if first.Trouble {
		start = before
	}
	limits(first, start)
	limits(second, limit)
	first.Run()
	first.Log("region pos: the limit of %s is %.0f GPUs", team, start)
	first.AwaitLeader(10 * time.Second)
	first.SubmitUntilAccepted("user in pos", lab.Service("run-000101", team, 20, 1), 20*time.Second, first.Controllers...)
	awaitRunning(first, 20, 40*time.Second)
	if first.Trouble {
		limits(first, limit)
		for _, c := range first.Controllers {
			first.Log("region pos: %s is restarted, the limit of %s is %.0f GPUs", c.Name, team, limit)
			first.Kill(c)
			first.WriteSettings(c)
			first.Launch(c)
			first.AwaitHealthy(20*time.Second, c)
			time.Sleep(2 * time.Second)
		}
	}
	second.Run()
	second.AwaitLeader(10 * time.Second)
	first.Log("region uln joins, the limit of %s is %.0f GPUs", team, limit)
	job := lab.Batch("run-000201", team, 60, 1, 300)
	second.SubmitUntilAccepted("user in uln", job, 20*time.Second, second.Controllers...)
	var sample float64
	for deadline := time.Now().Add(25 * time.Second); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		use.mu.Lock()
		sample = use.now
		use.mu.Unlock()
	}
	use.mu.Lock()
	most := use.most
	use.mu.Unlock()
	a := second.Ask("user in uln", second.Controllers[0], "GET", wire.JobsPath+"/run-000201", nil, 2*time.Second)
	first.Verdict(most > limit, "the tasks of %s use %.0f GPUs at the end and %.0f at the most, its limit is %.0f; the job in uln: %s", team, sample, most, limit, a)
}

// awaitRunning waits until that many tasks run.
func awaitRunning(l *lab.Lab, tasks int, most time.Duration) {
	for deadline := time.Now().Add(most); l.Jobs.Count() < tasks; time.Sleep(200 * time.Millisecond) {
		if time.Now().After(deadline) {
			l.Fail("only %d tasks run", l.Jobs.Count())
		}
	}
}
