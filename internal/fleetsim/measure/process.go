package measure

import (
	"github.com/prometheus/procfs"
)

// Sample is the resource usage of a process since the previous sample.
type Sample struct {
	AtS       float64 `json:"at_s"`
	Cores     float64 `json:"cores"`
	MemoryMB  float64 `json:"memory_mb"`
	ReadKB    float64 `json:"read_kb_per_s"`
	WrittenKB float64 `json:"written_kb_per_s"`
	Files     int     `json:"open_files"`
}

// Process samples the resource usage of a process, also across restarts.
type Process struct {
	Name    string
	Samples []Sample

	pid          int
	lastCounters counters
}

// counters holds a process's cumulative counters at a time.
type counters struct {
	atS           float64
	cpuSeconds    float64
	read, written uint64
}

// NewProcess returns a sampler of the process with an id. atS is the present time in seconds since the start.
func NewProcess(name string, pid int, atS float64) *Process {
	p := &Process{Name: name}
	p.Restart(pid, atS)
	return p
}

// Restart continues the samples with a new process.
func (p *Process) Restart(pid int, atS float64) {
	p.pid = pid
	p.lastCounters = counters{atS: atS}
	if proc, err := procfs.NewProc(pid); err == nil {
		p.lastCounters, _, _ = readCounters(proc, atS) // if this fails, counters start from 0
	}
}

// readCounters reads a process's counters, and its resident memory in bytes.
func readCounters(proc procfs.Proc, atS float64) (counters, int, error) {
	stat, err := proc.Stat()
	if err != nil {
		return counters{atS: atS}, 0, err
	}
	io, err := proc.IO()
	if err != nil {
		return counters{atS: atS}, 0, err
	}
	return counters{atS, stat.CPUTime(), io.RChar, io.WChar}, stat.ResidentMemory(), nil
}

const (
	bytesPerKB = 1 << 10
	bytesPerMB = 1 << 20
)

// Sample takes a sample. It returns an error if the process has ended.
func (p *Process) Sample(atS float64) error {
	proc, err := procfs.NewProc(p.pid)
	if err != nil {
		return err
	}
	now, resident, err := readCounters(proc, atS)
	if err != nil {
		return err
	}
	files, err := proc.FileDescriptorsLen()
	if err != nil {
		return err
	}
	elapsed := now.atS - p.lastCounters.atS
	if elapsed <= 0 {
		return nil
	}
	p.Samples = append(p.Samples, Sample{
		AtS:       atS,
		Cores:     (now.cpuSeconds - p.lastCounters.cpuSeconds) / elapsed,
		MemoryMB:  float64(resident) / bytesPerMB,
		ReadKB:    float64(now.read-p.lastCounters.read) / elapsed / bytesPerKB,
		WrittenKB: float64(now.written-p.lastCounters.written) / elapsed / bytesPerKB,
		Files:     files,
	})
	p.lastCounters = now
	return nil
}

// LastMemoryMB returns the resident memory in the last sample, or 0 if there is none.
func (p *Process) LastMemoryMB() float64 {
	if len(p.Samples) == 0 {
		return 0
	}
	return p.Samples[len(p.Samples)-1].MemoryMB
}

// Usage is the resource usage of a process over a simulation: means and peaks of its samples.
type Usage struct {
	Cores       float64 `json:"cores"`
	PeakCores   float64 `json:"peak_cores"`
	PeakMB      float64 `json:"peak_memory_mb"`
	ReadKB      float64 `json:"read_kb_per_s"`
	WrittenKB   float64 `json:"written_kb_per_s"`
	PeakFiles   int     `json:"peak_open_files"`
	SampleCount int     `json:"samples"`
}

// Usage summarizes the samples since fromS.
func (p *Process) Usage(fromS float64) Usage {
	var usage Usage
	for _, s := range p.Samples {
		if s.AtS < fromS {
			continue
		}
		usage.SampleCount++
		usage.Cores += s.Cores
		usage.ReadKB += s.ReadKB
		usage.WrittenKB += s.WrittenKB
		usage.PeakCores = max(usage.PeakCores, s.Cores)
		usage.PeakMB = max(usage.PeakMB, s.MemoryMB)
		usage.PeakFiles = max(usage.PeakFiles, s.Files)
	}
	if n := float64(usage.SampleCount); n > 0 {
		usage.Cores /= n
		usage.ReadKB /= n
		usage.WrittenKB /= n
	}
	return usage
}

// HalfOfMemoryMB returns half of the machine's memory, or 0 if that is unknown.
func HalfOfMemoryMB() (float64, error) {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return 0, err
	}
	info, err := fs.Meminfo()
	if err != nil {
		return 0, err
	}
	if info.MemTotalBytes == nil {
		return 0, nil
	}
	return float64(*info.MemTotalBytes) / 2 / bytesPerMB, nil
}
