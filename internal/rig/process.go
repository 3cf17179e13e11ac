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

// pollInterval is the interval between two checks of a condition that is waited for.
const pollInterval = 20 * time.Millisecond

// Process is one program that the rig starts. It is controlled only through its process ID. Its
// methods are safe for concurrent use.
type Process struct {
	Name string
	// LogPath is the file to which standard output and standard error are appended.
	LogPath string

	path string
	args []string
	// env contains environment variables, as name=value, in addition to those of this process.
	env []string

	// mu guards the fields below. done is closed when the process has ended, after code, its exit
	// code, is set.
	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	code int
}

func newProcess(name, logPath, path string, args ...string) *Process {
	return &Process{Name: name, LogPath: logPath, path: path, args: args}
}

// NewProcess returns a process that is not part of a Rig and is not started yet. env contains
// environment variables, as name=value, in addition to those of this process.
func NewProcess(name, logPath, path string, env []string, args ...string) *Process {
	p := newProcess(name, logPath, path, args...)
	p.env = env
	return p
}

// startRequests returns the channel of the functions that the starter goroutine runs. The first call
// starts that goroutine.
var startRequests = sync.OnceValue(func() chan func() {
	ch := make(chan func())
	go func() {
		// The kernel sends the parent-death signal when the thread that started the child
		// ends, not when the process ends. Without a locked thread, children would be killed
		// whenever the runtime terminates the thread that started them.
		runtime.LockOSThread()
		for f := range ch {
			f()
		}
	}()
	return ch
})

func startCommand(cmd *exec.Cmd) error {
	result := make(chan error)
	startRequests() <- func() { result <- cmd.Start() }
	return <-result
}

// Start starts the process, or restarts it after it has ended.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return eris.Errorf("start %s: process is already running", p.Name)
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
	// The process must not outlive the process that controls it.
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
	// The error is ignored, because the process state contains the same information.
	_ = cmd.Wait()
	p.mu.Lock()
	p.code = cmd.ProcessState.ExitCode()
	p.mu.Unlock()
	close(done)
}

// running implements Running. The caller holds p.mu.
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

// Running reports whether the process was started and has not ended.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running()
}

// PID returns the process ID of the latest start, or 0 before the first start.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Freeze checks every freezePollInterval whether the process has stopped, for at most 2 s in total.
const (
	freezePollInterval = 2 * time.Millisecond
	maxFreezePolls     = 1000
)

// Kill sends SIGKILL to the process and waits until it has ended.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	_, _ = p.Wait(context.Background())
}

// Freeze stops the process with SIGSTOP, which it cannot observe. It returns when every thread has
// stopped, or after 2 s: on a busy machine, a thread that is still running would answer a request
// sent after the signal. Thaw continues the process.
func (p *Process) Freeze() {
	p.signal(syscall.SIGSTOP)
	for range maxFreezePolls {
		if procstat.Stopped(p.PID()) {
			return
		}
		time.Sleep(freezePollInterval)
	}
}

// Thaw continues a frozen process.
func (p *Process) Thaw() { p.signal(syscall.SIGCONT) }

// Terminate requests a graceful shutdown with SIGTERM. It does not wait.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

func (p *Process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		// The error is ignored, because the process can end on its own before the signal arrives.
		_ = p.cmd.Process.Signal(s)
	}
}

// Wait waits until the process has ended and returns its exit code, which is -1 if a signal
// terminated it. For a process that was never started it returns 0 immediately.
func (p *Process) Wait(ctx context.Context) (int, error) {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return 0, nil
	}
	select {
	case <-ctx.Done():
		return 0, eris.Wrapf(ctx.Err(), "wait for process %s to end", p.Name)
	case <-done:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.code, nil
}

// stop requests a graceful shutdown, and kills the process if it has not ended within the
// timeout.
func (p *Process) stop(timeout time.Duration) {
	p.Thaw()
	p.Terminate()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if _, err := p.Wait(ctx); err != nil {
		p.Kill()
	}
}
