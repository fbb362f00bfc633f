package soak

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/platform/standin"
)

// restartDelay is the pause before a process that ended is started again.
const restartDelay = 300 * time.Millisecond

var errStopped = errors.New("stopped")

// process is a daemon in a process of its own. It is started again whenever it ends, until stop.
type process struct {
	binary       string
	node         standin.Node
	settingsPath string
	logFile      *os.File

	mu              sync.Mutex
	command         *exec.Cmd
	unexpectedExits int  // processes that ended by themselves
	stopping        bool // the present process was told to end
	stopped         bool
	done            chan struct{}
}

// newProcess writes the settings and starts a daemon.
func newProcess(binary, dir string, node standin.Node) (*process, error) {
	settings, err := node.Settings()
	if err != nil {
		return nil, fmt.Errorf("encode settings: %w", err)
	}
	p := &process{binary: binary, node: node, settingsPath: filepath.Join(dir, string(node.Member)+".toml"), done: make(chan struct{})}
	if err = os.WriteFile(p.settingsPath, settings, 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	p.logFile, err = os.Create(filepath.Join(dir, string(node.Member)+".log"))
	if err != nil {
		return nil, fmt.Errorf("create the log: %w", err)
	}
	if err := p.start(); err != nil {
		return nil, err
	}
	go p.restartLoop()
	return p, nil
}

func (p *process) start() error {
	c := exec.Command(p.binary, "serve", "--log-level", "1")
	c.Env = append(os.Environ(), "ROSEMARYSPOKE_BOOT="+p.settingsPath)
	c.Stdout, c.Stderr = p.logFile, p.logFile
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return errStopped // a process that started now would outlive stop
	}
	if err := c.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.node.Member, err)
	}
	p.command, p.stopping = c, false
	return nil
}

// keep starts the daemon again when its process has ended.
func (p *process) restartLoop() {
	defer close(p.done)
	for {
		p.mu.Lock()
		c := p.command
		p.mu.Unlock()
		_ = c.Wait() // its end by a signal is no error here
		p.mu.Lock()
		if !p.stopping {
			p.unexpectedExits++
		}
		stopped := p.stopped
		p.mu.Unlock()
		if stopped {
			return
		}
		time.Sleep(restartDelay)
		if err := p.start(); err != nil {
			_, _ = fmt.Fprintln(p.logFile, err) // also errStopped, which is no fault
			return
		}
	}
}

// signal sends a signal to the present process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.stopping = true
	}
	_ = p.command.Process.Signal(s) // it may have ended
}

// stop ends the daemon for good.
func (p *process) stop() {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
	_ = p.logFile.Close()
}

// ownEnds returns how often a process ended by itself.
func (p *process) unexpectedExitCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unexpectedExits
}
