package rig

import (
	"context"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel/internal/procstat"
)

// pollInterval is the pause between two looks at something that is awaited.
const pollInterval = 20 * time.Millisecond

// Process is one program that the rig started. It is steered by its process ID
// only.
type Process struct {
	Name string
	// LogPath names the file that gets its standard output and error.
	LogPath string

	path string
	args []string
	// env are variables beside those of this process, as name=value.
	env []string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	code int
}

func newProcess(name, logPath, path string, args ...string) *Process {
	return &Process{Name: name, LogPath: logPath, path: path, args: args}
}

// NewProcess describes a program that is not part of a Rig, with variables as
// name=value beside those of this process.
func NewProcess(name, logPath, path string, env []string, args ...string) *Process {
	p := newProcess(name, logPath, path, args...)
	p.env = env
	return p
}

// starts carries the commands to the goroutine that starts them.
var starts = sync.OnceValue(func() chan func() {
	ch := make(chan func())
	go func() {
		// The kernel sends the parent-death signal when the thread that started the
		// child ends, not the process. Without a thread of its own, children would be
		// killed whenever the runtime retires a thread.
		runtime.LockOSThread()
		for f := range ch {
			f()
		}
	}()
	return ch
})

func startCommand(cmd *exec.Cmd) error {
	result := make(chan error)
	starts() <- func() { result <- cmd.Start() }
	return <-result
}

// Start starts the process, or starts it again after it ended.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return eris.Errorf("%s is running", p.Name)
	}
	log, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = log, log
	if len(p.env) > 0 {
		cmd.Env = append(os.Environ(), p.env...)
	}
	// A process must not outlive the one that steers it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startCommand(cmd); err != nil {
		return eris.Wrapf(err, "start %s", p.Name)
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go p.reap(cmd, done)
	return nil
}

func (p *Process) reap(cmd *exec.Cmd, done chan struct{}) {
	// The error repeats what the process state tells.
	_ = cmd.Wait()
	p.mu.Lock()
	p.code = cmd.ProcessState.ExitCode()
	p.mu.Unlock()
	close(done)
}

func (p *Process) running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Running tells whether the process was started and has not ended.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running()
}

// PID is the process ID, 0 before the first start.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Freezing is checked so often, for two seconds at most.
const (
	freezePoll  = 2 * time.Millisecond
	freezePolls = 1000
)

// Kill ends the process at once and waits until it is gone.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	_, _ = p.Wait(context.Background())
}

// Freeze stops the process without its knowledge; Thaw lets it go on. It returns
// once every thread has stopped: on a busy machine a thread that still runs would
// answer a request sent after the signal.
func (p *Process) Freeze() {
	p.signal(syscall.SIGSTOP)
	for range freezePolls {
		if procstat.Stopped(p.PID()) {
			return
		}
		time.Sleep(freezePoll)
	}
}

// Thaw lets a frozen process go on.
func (p *Process) Thaw() { p.signal(syscall.SIGCONT) }

// Terminate asks for a graceful shutdown; it does not wait.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

func (p *Process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		// The process may end by itself before the signal arrives.
		_ = p.cmd.Process.Signal(s)
	}
}

// Wait waits for the end of the process and returns its exit code, -1 if a signal
// ended it.
func (p *Process) Wait(ctx context.Context) (int, error) {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return 0, nil
	}
	select {
	case <-ctx.Done():
		return 0, eris.Wrapf(ctx.Err(), "wait for %s", p.Name)
	case <-done:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.code, nil
}

// stop ends the process gracefully within limit, and then by force.
func (p *Process) stop(limit time.Duration) {
	p.Thaw()
	p.Terminate()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if _, err := p.Wait(ctx); err != nil {
		p.Kill()
	}
}
